"""Answers whose end the endpoint did not mark, and second runs that are something else.

The end of an answer is marked by a length, a last chunk, or a status without a body. An
end that is not marked may be that of the endpoint's process; the endpoints here go on
running, those of ``test_close_delimited_ends`` may crash. Callers are raw sockets, so
that it is seen how the entry ends an answer.
"""

import itertools
import json
import socket
import struct
import threading
import time

import attrs
import pytest

from tests.integration import platform_lab, waits

# Routes of the platform, and two that are added to its document.
RESUMABLE, ONCE_STREAM = "/stream/", "/stream-once/"
OFTEN, ONCE, BRIEF = "/often/", "/once/", "/brief/"
# Each test may need a retry, and they follow one another quickly.
RETRY_WINDOW_S = 0.1
# Longer than the deadline of a request.
TIMEOUT_S = 6
# How long an endpoint waits before it ends a connection: a reset discards bytes that
# have not been read.
PAUSE_S = 0.05
EVENT_COUNT = 8

# How an endpoint ends its answer: it keeps the connection, or closes it in order or by
# a reset. The same for the connection of a caller.
KEPT, IN_ORDER, RESET = "kept", "in order", "reset"

OK, OK_1_0 = b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK"
CLOSE = b"Connection: close"
CHUNKED = b"Transfer-Encoding: chunked"
EVENT_STREAM = b"Content-Type: text/event-stream"


def events(first, last):
    """The events with numbers *first* to *last*, one after the other."""
    return b"".join(platform_lab.event(n) for n in range(first, last + 1))


ALL_EVENTS = events(1, EVENT_COUNT)
# Events of a stream of which nobody can ask for the rest.
UNNUMBERED = [b"data: piece %d\n\n" % n for n in range(1, EVENT_COUNT + 1)]
# Plain answers of a first run and of a second one, each of 4,000 bytes.
BODY, OTHER_BODY = b"0123456789" * 400, b"abcdefghij" * 400
CUT_BYTES = 1800
LENGTH, LENGTH_0 = b"Content-Length: %d" % len(BODY), b"Content-Length: 0"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = chunk(b"")


def rest_in_chunks(last):
    """The events after number *last*, and the last chunk."""
    rest = events(last + 1, EVENT_COUNT)
    return (chunk(rest) if rest else b"") + LAST_CHUNK


@attrs.frozen
class Run:
    """One run of a request: the answer that an endpoint sends, and how it ends it.

    *body* holds its bytes, or is a function that returns them for the number of the
    last event that the caller has.
    """

    status_line: bytes
    fields: tuple
    body: object
    end: str = KEPT

    def answer(self, attempt, endpoint_id, last):
        """The bytes of the answer to *attempt* that *endpoint_id* sends."""
        own = [
            f"{platform_lab.ATTEMPT}: {attempt}".encode(),
            f"{platform_lab.SIGNATURE}: {endpoint_id}".encode(),
        ]
        body = self.body if isinstance(self.body, bytes) else self.body(last)
        return b"\r\n".join([self.status_line, *own, *self.fields, b"", body])


def stream(body, end, *fields, status_line=OK):
    return Run(status_line, (EVENT_STREAM, *fields), body, end)


# Heads with neither length nor chunks: status line and fields.
ANNOUNCED = {
    "close": (OK, (CLOSE,)),
    "http-1.0": (OK_1_0, ()),
}
NOT_ANNOUNCED = {
    "no-field": (OK, ()),
    "misspelt-coding": (OK, (b"Transfer-Encodng: chunked",)),
}
UNMARKED = ANNOUNCED | NOT_ANNOUNCED
COUNTS = [4, EVENT_COUNT]
REST = stream(rest_in_chunks, KEPT, CHUNKED)


def unmarked_stream(head, body):
    status_line, fields = UNMARKED[head]
    return stream(body, IN_ORDER, *fields, status_line=status_line)


# First runs that are cut after four events by what the entry can see.
VISIBLE_CUTS = {
    "within-an-event": stream(events(1, 5)[:-9], IN_ORDER, CLOSE),
    "reset": stream(events(1, 4), RESET, CLOSE),
    "in-chunks": stream(chunk(events(1, 4)), IN_ORDER, CHUNKED),
    "with-a-length": stream(
        events(1, 4), IN_ORDER, b"Content-Length: %d" % len(ALL_EVENTS)
    ),
}
THREE_OF_EIGHT = stream(chunk(events(1, 3)), RESET, CHUNKED)
# Second runs that don't end the stream of which three events came, and the events that
# the caller has in the end.
NO_ENDS = {
    "no-content": (Run(b"HTTP/1.1 204 No Content", (), b""), 3),
    "no-content-of-the-type": (
        stream(b"", KEPT, status_line=b"HTTP/1.1 204 No Content"),
        3,
    ),
    "other-status": (
        stream(rest_in_chunks, KEPT, CHUNKED, status_line=b"HTTP/1.1 201 Created"),
        3,
    ),
    "other-type": (
        Run(OK, (b"Content-Type: text/plain", b"Content-Length: 6"), b"done\n\n"),
        3,
    ),
    "other-type-without-body": (
        Run(OK, (b"Content-Type: text/plain", b"Content-Length: 0"), b""),
        3,
    ),
    "unmarked-without-event": (stream(b"", IN_ORDER, CLOSE), 3),
    "length-0": (stream(b"", KEPT, LENGTH_0), 3),
    "last-chunk": (stream(LAST_CHUNK, KEPT, CHUNKED), 3),
}
# Second runs that end it.
ENDS = {
    "unmarked-after-6": (stream(events(4, 6), IN_ORDER, CLOSE), 6),
    "from-the-first": (stream(chunk(ALL_EVENTS) + LAST_CHUNK, KEPT, CHUNKED), 8),
}
# Second runs that don't confirm a whole stream of a live endpoint, but show no part.
NO_CONFIRMATIONS = {
    "empty": stream(LAST_CHUNK, KEPT, CHUNKED),
    "comment": stream(chunk(b": here\n\n") + LAST_CHUNK, KEPT, CHUNKED),
    "cut": stream(chunk(events(EVENT_COUNT, EVENT_COUNT)), RESET, CHUNKED),
}
# A second run of a stream of which four events came that leaves out the last of these.
OUT_OF_STEP = stream(chunk(events(5, EVENT_COUNT)) + LAST_CHUNK, KEPT, CHUNKED)
# Streams of events without ids that are cut after three, and then sent from the first.
UNNUMBERED_WHOLE = stream(chunk(b"".join(UNNUMBERED)) + LAST_CHUNK, KEPT, CHUNKED)
UNNUMBERED_CUTS = {
    "reset": stream(chunk(b"".join(UNNUMBERED[:3])), RESET, CHUNKED),
    "in-chunks": stream(chunk(b"".join(UNNUMBERED[:3])), IN_ORDER, CHUNKED),
}
LENGTHS = [CUT_BYTES, len(BODY)]
OTHER_ANSWER = Run(OK, (LENGTH,), OTHER_BODY)


def unmarked_plain(head, length, end=IN_ORDER):
    status_line, fields = UNMARKED[head]
    return Run(status_line, fields, BODY[:length], end)


# The runs of each kind of request; the last one stands for all that follow.
KINDS = (
    {"whole": [REST], "plain-whole": [OTHER_ANSWER]}
    | {
        f"{head}-{count}": [unmarked_stream(head, events(1, count)), REST]
        for head, count in itertools.product(UNMARKED, COUNTS)
    }
    | {
        f"confirmed-{kind}": [unmarked_stream("close", ALL_EVENTS), run]
        for kind, run in NO_CONFIRMATIONS.items()
    }
    | {"out-of-step": [unmarked_stream("close", events(1, 4)), OUT_OF_STEP]}
    | {f"{head}-0": [unmarked_stream(head, b""), REST] for head in UNMARKED}
    | {f"cut-{cut}": [run, REST] for cut, run in VISIBLE_CUTS.items()}
    | {
        f"second-{kind}": [THREE_OF_EIGHT, run]
        for kind, (run, _) in (NO_ENDS | ENDS).items()
    }
    | {
        f"unnumbered-{cut}": [run, UNNUMBERED_WHOLE]
        for cut, run in UNNUMBERED_CUTS.items()
    }
    | {
        f"plain-{head}-{length}": [unmarked_plain(head, length), OTHER_ANSWER]
        for head, length in itertools.product(UNMARKED, LENGTHS)
    }
    | {
        f"plain-reset-{length}": [unmarked_plain("close", length, RESET), OTHER_ANSWER]
        for length in LENGTHS
    }
    | {
        "failure": [
            Run(b"HTTP/1.1 500 Internal Server Error", (CLOSE,), BODY, IN_ORDER),
            OTHER_ANSWER,
        ]
    }
)


class Server(platform_lab.Server):
    """A server that sends the raw answer selected by the last segment of the path."""

    def do_POST(self):
        kind = self.path.rsplit("/", 1)[1]
        if kind not in KINDS:
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        attempt = self.headers[platform_lab.ATTEMPT]
        earlier = sum(attempt == ran for _, ran in self.server.runs)
        self.server.runs.append((self.server.id, attempt))
        runs = KINDS[kind]
        run = runs[min(earlier, len(runs) - 1)]
        last = int(self.headers.get("Last-Event-Id", 0))
        self.connection.sendall(run.answer(attempt, self.server.id, last))
        self.close_connection = run.end != KEPT
        if self.close_connection:
            time.sleep(PAUSE_S)
        if run.end == RESET:
            reset(self.connection)


def reset(connection):
    """Close *connection* by a reset, without an orderly end before it."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    socket.close(connection.detach())


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """A platform with two more routes.

    One is for streams that may run once, the other for a service without an endpoint.
    """
    folder = tmp_path_factory.mktemp("unmarked-ends")
    settings = {"server_class": Server, "retry_window_s": RETRY_WINDOW_S}
    for found in platform_lab.run(folder, **settings):
        add_routes(found)
        yield found


def add_routes(platform):
    """Send the document with two more routes, and wait until the entry knows them."""
    doc = platform_lab.document(4)
    once_stream = platform_lab.route(ONCE_STREAM, "streaming")
    brief = platform_lab.route(BRIEF, "non_idempotent")
    doc["routes"].append(once_stream | {"resumable": False})
    doc["routes"].append(brief | {"service": "brief"})
    doc["services"].append(doc["services"][0] | {"name": "brief"})
    status, text = platform.admin("POST", "/api/config/replace", json.dumps(doc))
    assert status == 200, text
    waits.wait_for(lambda: call(platform, f"{ONCE_STREAM}whole").status == 200)


@attrs.frozen
class Received:
    """What a caller got, and how the entry ended its connection.

    ``is_marked`` tells whether the end of the body came that a length or a last chunk
    marks. ``end`` is ``KEPT`` if the entry had not ended the connection by then.
    """

    attempt: str
    status: int
    fields: dict
    body: bytes
    is_marked: bool
    end: str


def without_chunks(data):
    """The body that *data* holds in chunks, and whether the last chunk came."""
    body = b""
    while (line_end := data.find(b"\r\n")) >= 0:
        size = int(data[:line_end], 16)
        begin, end = line_end + 2, line_end + 2 + size
        is_whole = data[end : end + 2] == b"\r\n"
        body += data[begin:end]
        data = data[end + 2 :]
        if size == 0 and is_whole:
            assert not data, f"bytes after the last chunk: {data!r}"
            return body, True
    return body, False


def parsed(attempt, received, end):
    """The answer in the bytes *received*, or ``None`` if they hold no whole head."""
    head, blank, data = received.partition(b"\r\n\r\n")
    if not blank:
        return None
    status_line, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(": ", 1) for line in lines]
    fields = {name.lower(): value for name, value in pairs}
    if fields.get("transfer-encoding") == "chunked":
        body, is_marked = without_chunks(data)
    else:
        length = int(fields.get("content-length", -1))
        assert length < 0 or len(data) <= length, data
        body, is_marked = data, len(data) == length
    status = int(status_line.split(" ")[1])
    return Received(attempt, status, fields, body, is_marked, end)


numbers = itertools.count()


def exchange(caller, path, version="1.1", attempt=None):
    """Send a request for *path* and return the answer to it.

    The caller of HTTP/1.1 doesn't ask for the end of the connection.
    """
    attempt = attempt or f"attempt-{next(numbers)}"
    head = [
        f"POST {path} HTTP/{version}",
        f"Host: {platform_lab.HOST}",
        f"{platform_lab.ATTEMPT}: {attempt}",
        "X-Dunlinpoint-Deadline-Ms: 4000",
        "Authorization: Bearer key-1",
        "Content-Length: 2",
    ]
    caller.sendall("\r\n".join(head).encode() + b"\r\n\r\n{}")
    received = b""
    while True:
        try:
            data = caller.recv(65536)
        except ConnectionResetError:
            end = RESET
            break
        if not data:
            end = IN_ORDER
            break
        received += data
        found = parsed(attempt, received, KEPT)
        if found is not None and found.is_marked:
            return found
    found = parsed(attempt, received, end)
    assert found is not None, (received, end)
    return found


def connect(platform):
    address = ("127.0.0.1", platform.entry_port)
    return socket.create_connection(address, timeout=TIMEOUT_S)


def call(platform, path, version="1.1"):
    """The answer to one request for *path* on a connection of its own."""
    with connect(platform) as caller:
        received = exchange(caller, path, version)
        if received.end == KEPT:
            caller.shutdown(socket.SHUT_WR)
            assert caller.recv(1) == b"", "bytes after the end of the answer"
        return received


def assert_complete(received, body):
    """Assert that the stream *received* holds *body* and ends as complete."""
    assert received.status == 200, received
    assert received.body == body, received
    assert received.fields.get("transfer-encoding") == "chunked", received
    assert received.is_marked, received


def assert_incomplete(received, body):
    """Assert that the stream *received* holds *body* and doesn't end as complete."""
    assert received.status == 200, received
    assert not received.is_marked, received
    assert received.fields.get("transfer-encoding") == "chunked", received
    assert received.body == body, received


def assert_unmarked(received, status, body, endpoint_id):
    """Assert that an answer was passed on, with an end that isn't marked either."""
    assert received.status == status, received
    assert received.fields.get("x-dunlinpoint-server-signature") == endpoint_id
    assert "content-length" not in received.fields, received
    assert "transfer-encoding" not in received.fields, received
    assert received.fields.get("connection") == "close", received
    assert received.body == body, received
    assert received.end == IN_ORDER, received


def assert_refused(received):
    """Assert that a 502 came, with nothing of the endpoint's answer."""
    assert received.status == 502, received
    assert "x-dunlinpoint-server-signature" not in received.fields, received
    assert BODY[:10] not in received.body, received


def assert_both_ran(platform, received):
    ran = platform.servers_that_ran(received.attempt)
    assert sorted(ran) == ["i-0", "i-1"], ran


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("head", UNMARKED)
@pytest.mark.parametrize("prefix", [RESUMABLE, ONCE_STREAM])
def test_a_stream_of_an_endpoint_that_goes_on_ends_with_its_connection(
    platform, prefix, head, count
):
    # Failure: a stream that its endpoint ended in order with its connection is taken
    # for broken, or one that it cut so is taken for whole, though another endpoint may
    # be asked for the rest.
    received = call(platform, f"{prefix}{head}-{count}")
    if prefix == RESUMABLE:
        assert_complete(received, ALL_EVENTS)
        assert_both_ran(platform, received)
    else:
        assert_complete(received, events(1, count))
        assert len(platform.servers_that_ran(received.attempt)) == 1


@pytest.mark.parametrize("prefix", [RESUMABLE, ONCE_STREAM])
@pytest.mark.parametrize("head", UNMARKED)
def test_a_stream_without_an_event_has_not_begun(platform, prefix, head):
    # Failure: the caller gets an empty stream, because the connection of an endpoint
    # that had begun none ended in order.
    received = call(platform, f"{prefix}{head}-0")
    if prefix == RESUMABLE:
        assert_complete(received, ALL_EVENTS)
        assert_both_ran(platform, received)
    else:
        assert_refused(received)
        assert len(platform.servers_that_ran(received.attempt)) == 1


@pytest.mark.parametrize("kind", NO_CONFIRMATIONS)
def test_a_whole_stream_stays_whole_if_nobody_confirms_it(platform, kind):
    # Failure: a whole stream of an endpoint that lives on breaks off, because the one
    # that was asked for the rest failed.
    received = call(platform, f"{RESUMABLE}confirmed-{kind}")
    assert received.status == 200 and received.is_marked, received
    assert received.body.replace(b": here\n\n", b"") == ALL_EVENTS, received
    assert_both_ran(platform, received)


def test_a_run_that_goes_on_at_another_event_shows_a_part(platform):
    # Failure: events of two runs with other borders are joined, or a part of a stream
    # ends as complete though another endpoint has sent more.
    received = call(platform, f"{RESUMABLE}out-of-step")
    assert_incomplete(received, events(1, 4))
    assert_both_ran(platform, received)


@pytest.mark.parametrize("cut", VISIBLE_CUTS)
def test_a_resumable_stream_that_is_cut_is_completed(platform, cut):
    # Failure: the caller gets a last chunk, half an event or one event twice after a
    # cut that can be seen.
    received = call(platform, f"{RESUMABLE}cut-{cut}")
    assert_complete(received, ALL_EVENTS)
    assert_both_ran(platform, received)


@pytest.mark.parametrize("cut", VISIBLE_CUTS)
def test_a_stream_that_may_run_once_and_is_cut_is_incomplete(platform, cut):
    # Failure: the caller gets a last chunk or half an event after a cut that can be
    # seen, or the request runs twice.
    received = call(platform, f"{ONCE_STREAM}cut-{cut}")
    assert_incomplete(received, events(1, 4))
    assert len(platform.servers_that_ran(received.attempt)) == 1


@pytest.mark.parametrize("kind", NO_ENDS)
def test_a_second_run_that_does_not_end_the_stream(platform, kind):
    # Failure: an answer that isn't the rest of the stream, or a rest that breaks off,
    # ends it as complete.
    _, count = NO_ENDS[kind]
    received = call(platform, f"{RESUMABLE}second-{kind}")
    assert_incomplete(received, events(1, count))
    assert_both_ran(platform, received)


@pytest.mark.parametrize("kind", ENDS)
def test_a_second_run_that_ends_the_stream(platform, kind):
    # Failure: a stream that the second endpoint ends is taken for broken, or the
    # caller gets events twice that the second endpoint sends again.
    _, count = ENDS[kind]
    received = call(platform, f"{RESUMABLE}second-{kind}")
    assert_complete(received, events(1, count))
    assert_both_ran(platform, received)


@pytest.mark.parametrize("cut", UNNUMBERED_CUTS)
def test_events_without_ids_come_once(platform, cut):
    # Failure: the caller gets the first events twice, because the second endpoint can't
    # be told which were passed on.
    received = call(platform, f"{RESUMABLE}unnumbered-{cut}")
    assert_incomplete(received, b"".join(UNNUMBERED[:3]))


@pytest.mark.parametrize("length", LENGTHS)
@pytest.mark.parametrize("head", UNMARKED)
@pytest.mark.parametrize("prefix", [OFTEN, ONCE])
def test_an_end_of_a_plain_answer_is_passed_on_unmarked(platform, prefix, head, length):
    # Failure: the caller takes a part of an answer for the whole, because the entry
    # adds a Content-Length that fits the part; or it gets a 502, or the request runs
    # twice, though its endpoint ended the answer in order and goes on.
    received = call(platform, f"{prefix}plain-{head}-{length}")
    (endpoint_id,) = platform.servers_that_ran(received.attempt)
    assert_unmarked(received, 200, BODY[:length], endpoint_id)


@pytest.mark.parametrize("length", LENGTHS)
def test_a_plain_answer_that_is_reset_is_a_failure(platform, length):
    # Failure: the caller gets an answer whose connection was reset.
    received = call(platform, f"{ONCE}plain-reset-{length}")
    assert_refused(received)
    assert len(platform.servers_that_ran(received.attempt)) == 1


@pytest.mark.parametrize("length", LENGTHS)
def test_a_plain_answer_that_is_reset_is_asked_for_again(platform, length):
    # Failure: the caller gets a 502 or a part of an answer, though another endpoint
    # would have sent the whole.
    received = call(platform, f"{OFTEN}plain-reset-{length}")
    assert received.status == 200 and received.is_marked, received
    assert received.body == OTHER_BODY, received
    assert_both_ran(platform, received)


def test_a_failure_with_an_unmarked_end_is_passed_on_unmarked(platform):
    # Failure: the caller gets a failure with a Content-Length that the endpoint never
    # sent, or a status that isn't the endpoint's.
    received = call(platform, f"{ONCE}failure")
    (endpoint_id,) = platform.servers_that_ran(received.attempt)
    assert_unmarked(received, 500, BODY, endpoint_id)


def serve_once(listener, endpoint_id, length, goes_on, requests):
    """Answer one request at *listener* with an announced end after *length* bytes.

    If it *goes_on*, it answers one health check as well; if not, the listener is closed
    before the connection.
    """
    connection, _ = listener.accept()
    with connection, connection.makefile("rb") as reader:
        head = dict(
            line.decode().rstrip("\r\n").split(": ", 1)
            for line in itertools.islice(iter(reader.readline, b"\r\n"), 1, None)
        )
        fields = {name.lower(): value for name, value in head.items()}
        reader.read(int(fields["content-length"]))
        attempt = fields[platform_lab.ATTEMPT.lower()]
        requests.append(attempt)
        run = unmarked_plain("close", length)
        connection.sendall(run.answer(attempt, endpoint_id, 0))
        time.sleep(PAUSE_S)
        if not goes_on:
            listener.close()
        connection.shutdown(socket.SHUT_WR)
    if goes_on:
        answer_health_check(listener, endpoint_id)


def answer_health_check(listener, endpoint_id):
    """Answer the next request at *listener* with the id of the endpoint."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        instance = f"X-Dunlinpoint-Instance-Id: {endpoint_id}".encode()
        connection.sendall(b"\r\n".join([OK, instance, LENGTH_0, b"", b""]))


def call_brief(platform, endpoint_id, listener):
    """The first answer of the service that *endpoint_id* at *listener* provides."""
    heartbeat = {
        "service": "brief",
        "address": f"127.0.0.1:{listener.getsockname()[1]}",
        "zone": "z1",
        "slots": 4,
        "state": "ready",
    }
    path = f"/api/instances/{endpoint_id}/heartbeat"
    for number in itertools.count(1):
        body = json.dumps(heartbeat | {"seqNo": number})
        status, text = platform.admin("POST", path, body)
        assert status == 200, text
        received = call(platform, f"{BRIEF}plain")
        # Until the entry knows the endpoint, the service has none.
        if received.status != 503 or number == 50:
            return received
        time.sleep(0.1)


@pytest.mark.parametrize("length", LENGTHS)
@pytest.mark.parametrize("goes_on", [True, False], ids=["goes-on", "stops"])
def test_an_endpoint_that_stops_listening_has_not_ended_its_answer(
    platform, goes_on, length
):
    # Failure: the caller gets what an endpoint sent before it crashed as its answer,
    # or a 502 for that of an endpoint that goes on.
    endpoint_id = f"i-brief-{goes_on}-{length}".lower()
    listener = socket.create_server(("127.0.0.1", 0))
    requests = []
    server = threading.Thread(
        target=serve_once,
        args=(listener, endpoint_id, length, goes_on, requests),
        daemon=True,
    )
    server.start()
    try:
        received = call_brief(platform, endpoint_id, listener)
        assert requests == [received.attempt]
        if goes_on:
            assert_unmarked(received, 200, BODY[:length], endpoint_id)
        else:
            assert_refused(received)
    finally:
        server.join(TIMEOUT_S)
        listener.close()


@pytest.mark.parametrize("kind", ["whole", *(f"{h}-{EVENT_COUNT}" for h in UNMARKED)])
@pytest.mark.parametrize("prefix", [RESUMABLE, ONCE_STREAM])
def test_a_caller_without_chunks_gets_a_whole_stream(platform, prefix, kind):
    # Failure: a caller of HTTP/1.0 can't tell a whole stream from a broken one.
    received = call(platform, f"{prefix}{kind}", version="1.0")
    assert received.status == 200
    assert "transfer-encoding" not in received.fields
    assert received.body == ALL_EVENTS
    assert received.end == IN_ORDER


@pytest.mark.parametrize(
    "path",
    [
        f"{ONCE_STREAM}cut-in-chunks",
        f"{ONCE_STREAM}cut-reset",
        f"{RESUMABLE}second-no-content",
    ],
)
def test_a_caller_without_chunks_sees_that_a_stream_broke(platform, path):
    # Failure: the caller of HTTP/1.0, who only has the end of the connection, gets an
    # orderly one after a part of the events.
    received = call(platform, path, version="1.0")
    assert received.status == 200
    assert "transfer-encoding" not in received.fields
    # A reset may discard events that the caller has not read.
    assert ALL_EVENTS.startswith(received.body)
    assert received.end == RESET, received


@pytest.mark.parametrize("path", [f"{RESUMABLE}whole", f"{OFTEN}plain-whole"])
def test_a_connection_goes_on_after_a_whole_answer(platform, path):
    # Failure: each answer costs the caller a new connection.
    with connect(platform) as caller:
        for _ in range(3):
            received = exchange(caller, path)
            assert received.status == 200 and received.is_marked, received
            assert received.fields.get("connection") != "close"


def last_line(platform, received):
    """The entry's line about the end of the last run of a request, once it is there."""
    text = (platform.folder / "entry.log").read_text()
    lines = [json.loads(line) for line in text.split("\n")[:-1]]
    own = [line for line in lines if line.get("request") == received.attempt]
    ends = [line for line in own if line["event"] in ("answered", "try_ended")]
    runs = len(platform.servers_that_ran(received.attempt))
    return ends[-1] if len(ends) == runs else None


def logged_end(platform, path):
    """What the line about the last run of a request for *path* tells of its end."""
    received = call(platform, path)
    line = waits.wait_for(lambda: last_line(platform, received))
    return line["framing"], line["marked"], line["events_by_attempt"]


def test_lines_tell_how_an_answer_ended(platform):
    # Failure: the lines of a caller's complaint don't tell a whole stream from one
    # that nobody ended, or that another answer ended.
    whole = logged_end(platform, f"{ONCE_STREAM}whole")
    assert whole == ("chunks", True, [EVENT_COUNT])
    unmarked = logged_end(platform, f"{ONCE_STREAM}no-field-4")
    assert unmarked == ("none", False, [4])
    announced = logged_end(platform, f"{ONCE_STREAM}close-4")
    assert announced == ("close", False, [4])
    framing, _, (first, *others) = logged_end(platform, f"{RESUMABLE}second-no-content")
    assert (framing, first, sum(others)) == ("empty", 3, 0)
