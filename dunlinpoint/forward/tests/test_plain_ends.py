"""Ends of plain answers: whole, unmarked, cut or too long."""

import types

import pytest
from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python import failure
from twisted.web import http_headers

from dunlinpoint import clock, metrics
from dunlinpoint.forward import bodies, events, pool, state
from dunlinpoint.routing import backpressure

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MEMORY_BYTES = 1_000_000
DEADLINE_MS = 1000


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_plain(reads, ended):
    """Read an answer that comes as *reads*, whose connection then ends with *ended*.

    Returns its body, or the ``Broken``, and whether its end was marked.
    """
    buffers = backpressure.EntryBuffers(MEMORY_BYTES)
    forwarder = types.SimpleNamespace(
        clock=clock.Clock(task.Clock()),
        counters=metrics.Counters(None),
        buffers=buffers,
    )
    stream = events.EventStream()
    call = state.Call(None, None, "s", None, DEADLINE_MS, None, stream, False)
    connection = pool.Connection(lambda _: None)
    connection.makeConnection(StringTransport())
    headers = http_headers.Headers({b"host": [b"h"]})
    heads, results = [], []
    pool.send(connection, pool.Message(b"POST", b"/a/b", headers, b"x")).addCallback(
        heads.append
    )
    connection.dataReceived(reads[0])
    bodies.read_plain(forwarder, call, connection, heads[0]).addBoth(results.append)
    for data in reads[1:]:
        connection.dataReceived(data)
    connection.connectionLost(failure.Failure(ended))
    (result,) = results
    if isinstance(result, failure.Failure):
        return result.value, call.has_marked_end
    return b"".join(result.pieces), result.has_marked_end


@pytest.mark.parametrize(
    "reads, is_marked",
    [
        ([HEAD + b"Content-Length: 4\r\n\r\n", b"body"], True),
        ([CHUNKED, chunk(b"body") + b"0\r\n\r\n"], True),
        ([HEAD + b"Connection: close\r\n\r\n", b"body"], False),
    ],
)
def test_the_end_of_an_answer_is_marked_by_its_endpoint_only(reads, is_marked):
    # Guards against an answer that a crash cut short and that counts as whole.
    assert read_plain(reads, error.ConnectionDone()) == (b"body", is_marked)


def test_an_answer_that_this_entry_gives_up_has_not_ended_in_order():
    # Guards against an answer of which some pieces were lost here and that counts as
    # ended, as the HTTP library reports the same for both.
    broken, _ = read_plain(
        [HEAD + b"Connection: close\r\n\r\n", b"body"], error.ConnectionAborted()
    )
    assert isinstance(broken, pool.Broken)


def test_an_answer_that_is_too_long_is_broken_also_if_it_ends_at_once():
    # Guards against an answer without its last pieces that its caller gets as whole:
    # the mark of its end came in the read with the bytes that were too many.
    limit = int(backpressure.EntryBuffers(MEMORY_BYTES).max_answer_bytes)
    reads = [CHUNKED, chunk(b"x" * limit), chunk(b"y" * 9) + b"0\r\n\r\n"]
    broken, _ = read_plain(reads, error.ConnectionDone())
    assert isinstance(broken, pool.Broken)
