"""Ends of streams: marked, between two events, or cut."""

import types

import pytest
from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python import failure
from twisted.web import http_headers

from dunlinpoint import clock, metrics
from dunlinpoint.forward import bodies, events, pool, quarantine, state
from dunlinpoint.routing import outage, pick
from dunlinpoint.wire.gen.dunlin import ttypes

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
EVENT = b"id: 1\ndata: piece\n\n"
DEADLINE_MS = 1000
CLOSED, RESET = error.ConnectionDone(), error.ConnectionLost()


class Request:
    """A caller's request that keeps what is written to it."""

    def __init__(self):
        self.responseHeaders, self.written = http_headers.Headers(), b""

    def setResponseCode(self, code, phrase):
        pass

    def write(self, data):
        self.written += data


def relay(sent, ended, fields=b"", left_ms=DEADLINE_MS):
    """Relay a stream of the bytes *sent*, whose connection then ends with *ended*.

    *fields* are lines that its head has besides. The end comes *left_ms* before the
    deadline of the request.

    Returns the bytes that the caller got, and the ``Broken`` or ``None``.
    """
    reactor = task.Clock()
    forwarder = types.SimpleNamespace(
        clock=clock.Clock(reactor),
        counters=metrics.Counters(None),
        picker=pick.Picker("z"),
        outages=outage.Outages(),
        quarantine=quarantine.Quarantine(None),
        groups=lambda call: None,
    )
    request = Request()
    stream = events.EventStream()
    call = state.Call(
        request, None, "s", None, DEADLINE_MS, None, stream, streaming=True
    )
    connection = pool.Connection(lambda _: None)
    connection.makeConnection(StringTransport())
    headers = http_headers.Headers({b"host": [b"h"]})
    heads, results = [], []
    pool.send(connection, pool.Message(b"POST", b"/a/b", headers, b"x")).addCallback(
        heads.append
    )
    connection.dataReceived(HEAD + fields + b"\r\n" + sent)
    call.framing = heads[0].framing
    reactor.advance(clock.seconds(DEADLINE_MS - left_ms))
    member = ttypes.Member(endpoint_id="a", host="h", port=1)
    bodies.relay(forwarder, call, member, connection, heads[0]).addBoth(results.append)
    connection.connectionLost(failure.Failure(ended))
    (result,) = results
    return request.written, None if result is None else result.value


@pytest.mark.parametrize(
    "fields, sent",
    [
        (b"Content-Length: %d\r\n" % len(EVENT), EVENT),
        (
            b"Transfer-Encoding: chunked\r\n",
            b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENT), EVENT),
        ),
    ],
)
def test_a_stream_whose_end_is_marked_is_whole(fields, sent):
    assert relay(sent, CLOSED, fields) == (EVENT, None)


@pytest.mark.parametrize("fields", [b"", b"Connection: close\r\n"])
def test_a_stream_may_end_between_two_events_with_its_connection(fields):
    assert relay(EVENT, CLOSED, fields) == (EVENT, None)


@pytest.mark.parametrize(
    "sent, ended",
    [
        (b"", CLOSED),
        (b": comment\n\n", CLOSED),
        (EVENT + EVENT[:7], CLOSED),
        (EVENT, RESET),
        (b"", RESET),
    ],
)
@pytest.mark.parametrize("fields", [b"", b"Connection: close\r\n"])
def test_a_stream_that_its_connection_cuts_is_broken(sent, ended, fields):
    # Guards against callers that get the beginning of an answer, or none of it, as a
    # whole one.
    _, broken = relay(sent, ended, fields)
    assert isinstance(broken, pool.Broken)


@pytest.mark.parametrize("left_ms, is_whole", [(20, True), (0, False), (-20, False)])
def test_a_stream_that_its_endpoint_may_have_ended_at_the_deadline(left_ms, is_whole):
    # Guards against a part that looks whole, because an endpoint stopped at its
    # deadline and this process had not noticed its own yet.
    sent = b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENT), EVENT)
    fields = b"Transfer-Encoding: chunked\r\n"
    _, broken = relay(sent, CLOSED, fields, left_ms)
    assert (broken is None) is is_whole


def test_a_stream_with_a_length_is_whole_at_the_deadline():
    # Guards against a whole stream that is dropped though no byte of it is missing.
    fields = b"Content-Length: %d\r\n" % len(EVENT)
    assert relay(EVENT, CLOSED, fields, left_ms=0) == (EVENT, None)
