"""Answers without end, or with a broken head, at the HTTP client of all processes."""

import attrs
import pytest
from twisted.internet import defer, error, protocol, task
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure
from twisted.web import client

from dunlinpoint import http_client
from dunlinpoint.experts import engine

HEAD = b"HTTP/1.1 200 OK\r\n"
BLOCK = b"x" * 16 * 1024
BLOCKS = 2000


class Transport(StringTransport):
    """A connection that tells its protocol when it is aborted or closed."""

    def abortConnection(self):
        super().abortConnection()
        self.end()

    def loseConnection(self):
        super().loseConnection()
        self.end()

    def end(self, reason=protocol.connectionDone):
        if self.protocol is not None:
            ended, self.protocol = self.protocol, None
            ended.connectionLost(reason)


def connect():
    """A bounded connection with a request under way, and the results of that."""
    found = http_client.BoundedProtocol(lambda _: None)
    transport = Transport()
    transport.protocol = found
    found.makeConnection(transport)
    return found, transport, send(found)


def send(connection):
    """The results of a request that is sent on *connection*."""
    headers = client.Headers({b"host": [b"h"]})
    request = client.Request(b"GET", b"/", headers, None, persistent=True)
    results = []
    connection.request(request).addBoth(results.append)
    return results


def feed(found, transport, block):
    """The bytes that *found* took before it closed the connection."""
    taken = 0
    for _ in range(BLOCKS):
        if transport.protocol is None:
            break
        found.dataReceived(block)
        taken += len(block)
    return taken


@pytest.mark.parametrize(
    "first, block",
    [
        (HEAD, b"X-A: b\r\n" * 2000),
        (HEAD + b"X-A: b\r\n", b" folded\r\n" * 2000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
    ],
)
def test_a_head_without_end_closes_the_connection(first, block):
    # Failure: a process reads the lines of a head, or interim responses, for as long as
    # they come, and takes gigabytes for them.
    found, transport, results = connect()
    found.dataReceived(first)
    assert feed(found, transport, block) <= http_client.MAX_HEAD_BYTES + len(block)
    assert len(results) == 1 and results[0].check(client.ResponseFailed)


def test_a_head_up_to_the_limit_is_read():
    found, transport, results = connect()
    lines = b"X-A: b\r\n" * (http_client.MAX_HEAD_BYTES // 8 - 10)
    found.dataReceived(HEAD + lines + b"Content-Length: 1\r\n\r\nx")
    assert results[0].code == 200


def read(block, reactor, **bounds):
    """The failure of a body that is read while *block* comes again and again."""
    found, transport, results = connect()
    found.dataReceived(HEAD + b"\r\n")
    reading = http_client.read(reactor, results[0], **bounds)
    failures = []
    reading.addErrback(failures.append)
    taken = feed(found, transport, block) if block else 0
    return taken, failures


def test_a_body_without_end_is_given_up():
    # Failure: a report of an engine that has no end fills the memory of its agent.
    taken, failures = read(BLOCK, task.Clock(), max_bytes=100_000)
    assert taken <= 100_000 + len(BLOCK)
    assert failures[0].check(http_client.AnswerError)


def test_a_body_that_stays_incomplete_is_given_up():
    # Failure: an agent waits for ever for the body of a report, as the timeout of a
    # request ends with its head.
    reactor = task.Clock()
    _, failures = read(b"", reactor, timeout_ms=700)
    assert not failures
    reactor.advance(0.7)
    assert failures[0].check(http_client.AnswerError)


# Heads of bodies that end with their connection alone.
UNMARKED = [
    HEAD,
    HEAD + b"Connection: close\r\n",
    HEAD + b"Transfer-Encodxng: chunked\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 409 Conflict\r\n",
]
ENDS = [error.ConnectionDone(), error.ConnectionLost(), error.ConnectionAborted()]


def read_whole(response):
    return http_client.read(task.Clock(), response)


def collect_whole(response):
    body = bytearray()
    ended = http_client.collect(response, body.extend)
    return ended.addCallback(lambda _: bytes(body))


def discard(response):
    return http_client.discard(task.Clock(), response)


def results_of(reader, sent, end=None):
    """The results of *reader* for an answer *sent*, before and after its *end*."""
    found, transport, responses = connect()
    found.dataReceived(sent)
    results = []
    reader(responses[0]).addBoth(results.append)
    before = list(results)
    if end is not None:
        transport.end(failure.Failure(end))
    return before, results


@pytest.mark.parametrize("end", ENDS, ids=repr)
@pytest.mark.parametrize("head", UNMARKED)
@pytest.mark.parametrize("reader", [read_whole, collect_whole])
def test_a_body_whose_end_is_not_marked_is_incomplete(reader, head, end):
    # Failure: the half of a body that a peer sent before it crashed is taken for the
    # outcome of a call, for a report or for weights.
    before, results = results_of(reader, head + b"\r\nbody", end)
    assert before == []
    assert len(results) == 1 and results[0].check(http_client.AnswerError)


def read_object(response):
    return http_client.read_object(task.Clock(), response)


OBJECT = b'{"rank": 0, "counts": [1, {"a": 2}]}'
ORDERLY, *RESETS = ENDS


@pytest.mark.parametrize("head", UNMARKED)
def test_an_object_is_whole_by_its_content(head):
    # Failure: the reports of a peer that marks no ends count as faults, and its group
    # is not planned for.
    before, results = results_of(read_object, head + b"\r\n" + OBJECT, ORDERLY)
    assert before == []
    assert results == [{"rank": 0, "counts": [1, {"a": 2}]}]


@pytest.mark.parametrize("count", range(len(OBJECT)))
def test_no_part_of_an_object_is_read(count):
    # Failure: the part of a report that a peer sent before it crashed counts as whole.
    _, results = results_of(read_object, HEAD + b"\r\n" + OBJECT[:count], ORDERLY)
    assert len(results) == 1 and results[0].check(http_client.UnmarkedEnd)


@pytest.mark.parametrize("end", RESETS, ids=repr)
def test_an_object_whose_connection_was_reset_is_not_read(end):
    # Failure: the report of a peer in trouble is used.
    _, results = results_of(read_object, HEAD + b"\r\n" + OBJECT, end)
    assert len(results) == 1 and results[0].check(http_client.UnmarkedEnd)


@pytest.mark.parametrize("is_marked", [True, False])
@pytest.mark.parametrize(
    "body", [b"12", b"true", b'"a"', b"[1]", b"", b"{}{}", b"{\xff}"]
)
def test_what_is_no_object_is_not_read(body, is_marked):
    # Failure: the first digits of a number count as the number.
    length = b"Content-Length: %d\r\n" % len(body) if is_marked else b""
    _, results = results_of(read_object, HEAD + length + b"\r\n" + body, ORDERLY)
    assert len(results) == 1 and results[0].check(http_client.AnswerError)


@pytest.mark.parametrize("is_whole", [True, False])
def test_an_unmarked_body_is_read_if_its_reader_takes_it_for_whole(is_whole):
    # Failure: a part of a body counts as whole before it is known that its peer goes
    # on, or a whole one as a part.
    asked = []

    def ask(body):
        asked.append((body, defer.Deferred()))
        return asked[0][1]

    def read(response):
        return http_client.read(task.Clock(), response, is_whole=ask)

    _, results = results_of(read, HEAD + b"\r\nbody", ORDERLY)
    assert results == [] and asked[0][0] == b"body"
    asked[0][1].callback(is_whole)
    assert len(asked) == len(results) == 1
    if is_whole:
        assert results == [b"body"]
    else:
        assert results[0].check(http_client.UnmarkedEnd)


@pytest.mark.parametrize(
    "fields, end",
    [(b"", end) for end in RESETS]
    + [(b"Content-Length: 5\r\n", end) for end in ENDS]
    + [(b"Content-Length: 4\r\n", end) for end in ENDS],
)
def test_a_body_with_another_end_is_not_asked_about(fields, end):
    # Failure: a body that its peer cut counts as whole because the peer goes on.
    def read(response):
        return http_client.read(task.Clock(), response, is_whole=lambda _: 1 / 0)

    _, results = results_of(read, HEAD + fields + b"\r\nbody", end)
    if b"4" in fields:
        assert results == [b"body"]
    else:
        assert len(results) == 1 and results[0].check(http_client.AnswerError)


@pytest.mark.parametrize("end", [None, *ENDS], ids=repr)
@pytest.mark.parametrize(
    "sent, body",
    [
        (HEAD + b"Content-Length: 4\r\n\r\nbody", b"body"),
        (HEAD + b"Connection: close\r\nContent-Length: 4\r\n\r\nbody", b"body"),
        (HEAD + b"Content-Length: 0\r\n\r\n", b""),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", b"body"),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", b"body"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    ],
)
@pytest.mark.parametrize("reader", [read_whole, collect_whole])
def test_a_body_whose_end_is_marked_is_read(reader, sent, body, end):
    before, results = results_of(reader, sent, end)
    assert before == results == [body]


@pytest.mark.parametrize("end", ENDS, ids=repr)
@pytest.mark.parametrize("head", UNMARKED)
def test_a_body_that_does_not_matter_may_end_with_its_connection(head, end):
    # Failure: an order that was executed counts as unanswered, and is sent again, as
    # nothing marked the end of a body that nobody uses.
    before, results = results_of(discard, head + b"\r\nbody", end)
    assert before == []
    assert results == [None]


@pytest.mark.parametrize("end", ENDS, ids=repr)
@pytest.mark.parametrize(
    "sent",
    [
        HEAD + b"Content-Length: 5\r\n\r\nbody",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    ],
)
@pytest.mark.parametrize("reader", [read_whole, collect_whole, discard])
def test_a_body_that_ends_before_its_mark_is_incomplete(reader, sent, end):
    before, results = results_of(reader, sent, end)
    assert before == []
    assert len(results) == 1 and results[0].check(http_client.AnswerError)


def test_an_engine_whose_report_has_no_end_did_not_answer():
    # Failure: the leader of a group waits for one rank's report without a limit.
    reactor = MemoryReactorClock()
    rank = engine.Engine.from_config(reactor, "127.0.0.1:1", engine.EnginePaths(), None)

    class Http:
        def get(self, url, **options):
            found, self.transport, results = connect()
            found.dataReceived(HEAD + b"\r\n{")
            return defer.succeed(results[0])

    failures = []
    attrs.evolve(rank, http=Http()).state().addErrback(failures.append)
    reactor.advance(engine.TIMEOUT_MS / 1000)
    assert failures[0].check(engine.RankError)


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 000 Trouble",
        b"HTTP/1.1 099 Trouble",
        b"HTTP/1.1 600 Trouble",
        b"HTTP/1.1 0200 OK",
        b"HTTP/1.1 +200 OK",
        b"HTTP/1.1 2_00 OK",
        b"HTTP/2.0 200 OK",
        b"HTTP/1.1 200 \x00",
        b"HTTP/1.1 200 OK\rX-A: b",
    ],
)
def test_a_status_that_does_not_exist_fails_the_request(line):
    # Failure: the status 000 of a service in trouble is the outcome of a call, of an
    # order or of a command.
    found, transport, _ = connect()
    found.dataReceived(HEAD + b"Content-Length: 0\r\n\r\n")
    results = send(found)
    found.dataReceived(line + b"\r\nContent-Length: 1\r\n\r\nx")
    assert len(results) == 1 and results[0].check(client.ResponseFailed)
    assert transport.protocol is None


def test_a_status_that_does_not_exist_is_no_interim_response():
    # Failure: what looks like an interim response to the library is skipped, and an
    # answer is read from the bytes after it.
    found, transport, results = connect()
    found.dataReceived(b"HTTP/1.1 0100 Continue\r\n\r\n" + HEAD + b"\r\n")
    assert len(results) == 1 and results[0].check(client.ResponseFailed)


@pytest.mark.parametrize(
    "line, status",
    [
        (b"HTTP/1.1 200", 200),
        (b"HTTP/1.0 200 OK", 200),
        (b"HTTP/1.1 599 ", 599),
        (b"HTTP/1.1 404 Not\tFound, pas trouv\xe9", 404),
        (b"HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\nHTTP/1.1 201 Created", 201),
    ],
)
def test_every_status_line_of_the_protocol_is_read(line, status):
    found, transport, results = connect()
    found.dataReceived(line + b"\r\nContent-Length: 1\r\n\r\nx")
    assert results[0].code == status


@pytest.mark.parametrize(
    "field",
    [
        b"X-A : b",
        b"X A: b",
        b"X-A\x00: b",
        b"X-A: b\r\n folded",
        b"X-A: b\r\n\tfolded",
        b"X-A: \x00",
        b"X-A: b\rX-B: c",
        b": b",
        b"X-A",
    ],
)
def test_a_line_that_is_no_field_fails_the_request(field):
    # Failure: a line that the protocol does not know becomes a part of an answer.
    found, transport, results = connect()
    found.dataReceived(HEAD + field + b"\r\nContent-Length: 1\r\n\r\nx")
    assert len(results) == 1 and results[0].check(client.ResponseFailed)
    assert transport.protocol is None


def test_every_field_line_of_the_protocol_is_read():
    found, transport, results = connect()
    fields = b'X-A:b\nX!#$%&\'*+-.^_`|~0: \t\xc3\xa9, "c" \t\r\nX-Empty:\r\n'
    found.dataReceived(HEAD + fields + b"Content-Length: 1\r\n\r\nx")
    headers = results[0].headers
    assert headers.getRawHeaders(b"x-a") == [b"b"]
    assert headers.getRawHeaders(b"x!#$%&'*+-.^_`|~0") == [b'\xc3\xa9, "c"']
    assert headers.getRawHeaders(b"x-empty") == [b""]


@pytest.mark.parametrize(
    "fields",
    [
        [b"Transfer-Encoding: chunked", b"Content-Length: 1"],
        [b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip"],
    ],
)
def test_a_head_with_two_ends_of_its_body_fails_the_request(fields):
    # Failure: the body that is read is not the one that was sent.
    found, transport, results = connect()
    found.dataReceived(HEAD + b"\r\n".join(fields) + b"\r\n\r\n1\r\nx\r\n0\r\n\r\n")
    assert len(results) == 1 and results[0].check(client.ResponseFailed)
    assert transport.protocol is None


@pytest.mark.parametrize(
    "head, framing",
    [
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", "chunks"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4", "length"),
        (b"HTTP/1.1 204 No Content", "empty"),
        (b"HTTP/1.1 200 OK\r\nConnection: close", "close"),
        (b"HTTP/1.1 200 OK\r\nConnection: X-A, Close", "close"),
        (b"HTTP/1.0 200 OK", "close"),
        (b"HTTP/1.0 200 OK\r\nConnection: keep-alive", "none"),
        (b"HTTP/1.1 200 OK", "none"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encodxng: chunked", "none"),
    ],
)
def test_a_response_tells_how_its_body_is_framed(head, framing):
    # Failure: an answer that a crash cut short cannot be told from a whole one, as the
    # lines do not say what marked the end of its body.
    found, transport, results = connect()
    found.dataReceived(head + b"\r\n\r\n")
    assert results[0].framing.value == framing


CHUNK = b"4\r\nbody\r\n"


@pytest.mark.parametrize(
    "rest, is_whole",
    [
        (b"0\r\n\r\n", True),
        (b"0\r\nX-A: b\r\n\r\n", True),
        (b"0\r\n" + CHUNK + b"0\r\n\r\n", False),
        (b"0\r\nbody\r\n" + CHUNK + b"0\r\n\r\n", False),
        (b"0\r\nX-A: b\r\n folded\r\n\r\n", False),
    ],
)
@pytest.mark.parametrize("reads", ["one", "parts"])
def test_a_trailer_consists_of_field_lines(rest, is_whole, reads):
    # Failure: a chunk whose size came as 0 ends a body as complete, and the chunks
    # behind it are dropped as a trailer.
    found, transport, responses = connect()
    found.dataReceived(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    results = []
    http_client.read(task.Clock(), responses[0]).addBoth(results.append)
    sent = CHUNK + rest
    for part in (
        [sent] if reads == "one" else [sent[n : n + 1] for n in range(len(sent))]
    ):
        if transport.protocol is not None:
            found.dataReceived(part)
    if is_whole:
        assert results == [b"body"]
    else:
        assert results[0].check(http_client.AnswerError)
