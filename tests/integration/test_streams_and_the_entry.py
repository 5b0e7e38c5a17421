"""Streams under decisions of the entry: none of them may pass for the end of a stream.

Callers read raw bytes. An answer counts as whole if its caller must take it for whole:
its last chunk or its length has come, or, without both, its connection was closed in
order.
"""

import concurrent.futures
import contextlib
import json
import signal
import socket
import threading
import time

import attrs
import pytest

from dunlinpoint.lab import deploy
from dunlinpoint.platform import settings
from dunlinpoint.routing import backpressure
from tests.integration import platform_lab
from tests.integration.platform_lab import ATTEMPT, EVENT_COUNT, HOST, SIGNATURE
from tests.integration.waits import wait_for

EVENT_INTERVAL_S = 0.2
# Between the writes of an answer that are to be read one by one.
WRITE_INTERVAL_S = 0.02
# A server sends no longer than this on a stream that no test ends.
MAX_STREAM_S = 20
READ_TIMEOUT_S = 20
GRACE_S = 3
# The deadline of a caller, and the timeout of the route "/brief/".
BRIEF_MS = 800
LONG_MS = 30_000
# How long the head of a request may take.
HEADER_MS = 1000
# The operating system is not made to have less memory: only the bounds follow from it.
MEMORY_MB = 8
ANSWER_LIMIT_BYTES = int(MEMORY_MB * 1024 * 1024 * backpressure.ANSWER_FRACTION)
PIECE_BYTES = 8 * 1024
LAST_CHUNK = b"0\r\n\r\n"
FIRST_EVENTS = 3


def framed(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def events(first, last):
    return b"".join(map(platform_lab.event, range(first, last + 1)))


FOURTH = platform_lab.event(4)
# The whole body of a "flood" stream.
FLOOD = b"".join(
    platform_lab.flood_event(n) for n in range(1, platform_lab.FLOOD_EVENTS + 1)
)
# What follows on ``FIRST_EVENTS`` sound events, in the place of the fourth one.
BROKEN_CHUNKS = {
    "size-no-number": b"size\r\n" + FOURTH + b"\r\n",
    "size-empty": b"\r\n" + FOURTH + b"\r\n",
    "size-negative": b"-%x\r\n%s\r\n" % (len(FOURTH), FOURTH),
    "size-with-prefix": b"0x%x\r\n%s\r\n" % (len(FOURTH), FOURTH),
    "size-too-small": b"%x\r\n%s\r\n" % (len(FOURTH) - 1, FOURTH),
    "size-too-large": b"%x\r\n%s\r\n" % (len(FOURTH) + 1, FOURTH),
    "size-far-too-large": b"%x\r\n%s\r\n" % (len(FOURTH) + 1000, FOURTH),
    "size-zero": b"0\r\n%s\r\n" % FOURTH,
    "no-size": FOURTH + b"\r\n",
    "no-end-of-size": b"%x%s\r\n" % (len(FOURTH), FOURTH),
    "no-end-of-chunk": b"%x\r\n%s" % (len(FOURTH), FOURTH),
    "bare-newlines": b"%x\n%s\n" % (len(FOURTH), FOURTH),
}
# An id that Python does not convert to an integer.
LONG_ID = b"id: " + b"9" * 5000 + b"\ndata: piece 4\n\n"


class Server(platform_lab.Server):
    """A server whose streams go on until a test ends them, or are broken midway.

    The last segment of the path selects the kind of the answer. ``ended`` holds the ids
    of the requests whose streams are to end, ``last_sent`` the number of the last event
    by the id of the request.
    """

    ended = set()
    last_sent = {}

    def handle(self):
        # The entry closes many connections during an answer.
        with contextlib.suppress(ConnectionError):
            super().handle()

    def do_POST(self):
        kind = self.path.rsplit("/", 1)[1]
        found = getattr(self, "send_" + kind.split(".")[0], None)
        if found is None:
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.runs.append((self.server.id, self.headers[ATTEMPT]))
        with contextlib.suppress(OSError):
            found(*kind.split(".")[1:])

    @property
    def attempt(self):
        return self.headers[ATTEMPT]

    def send_slow(self, silent_after=None):
        """Send events until the test ends the stream; first be silent at one event."""
        self.begin_stream()
        number = int(self.headers.get("Last-Event-Id", 0))
        is_first = number == 0
        end_s = time.monotonic() + MAX_STREAM_S
        while self.attempt not in self.ended and time.monotonic() < end_s:
            number += 1
            self.last_sent[self.attempt] = number
            self.chunk(platform_lab.event(number))
            if silent_after and is_first and number == int(silent_after):
                self.close_connection = True
                self.connection.settimeout(MAX_STREAM_S)
                self.rfile.read(1)
                return
            time.sleep(EVENT_INTERVAL_S)
        self.chunk(b"")

    def send_broken_chunks(self, kind, writes):
        """Break the framing behind the first events, then go on as if it were sound."""
        self.begin_plain(200, b"Transfer-Encoding: chunked\r\nConnection: close")
        self.last_sent[self.attempt] = EVENT_COUNT
        self.close_connection = True
        parts = [framed(platform_lab.event(n)) for n in range(1, FIRST_EVENTS + 1)]
        parts.append(BROKEN_CHUNKS[kind])
        parts += [framed(platform_lab.event(n)) for n in range(5, EVENT_COUNT + 1)]
        self.send_parts([*parts, LAST_CHUNK], writes)

    def send_parts(self, parts, writes):
        if writes == "one":
            parts = [b"".join(parts)]
        for part in parts:
            self.connection.sendall(part)
            time.sleep(WRITE_INTERVAL_S)

    def send_long_id(self, framing):
        """Send an event with an id of thousands of digits in the last write."""
        body = events(1, FIRST_EVENTS) + LONG_ID + events(5, EVENT_COUNT)
        self.last_sent[self.attempt] = EVENT_COUNT
        self.close_connection = True
        if framing == "chunks":
            self.begin_stream()
            self.send_parts([framed(body) + LAST_CHUNK], "one")
            return
        self.begin_plain(200, b"Content-Length: %d" % len(body))
        first = len(events(1, FIRST_EVENTS))
        self.send_parts([body[:first], body[first:]], "parts")

    def begin_plain(self, status, framing):
        own = f"{ATTEMPT}: {self.attempt}\r\n{SIGNATURE}: {self.server.id}\r\n"
        head = b"HTTP/1.1 %d Some\r\n" % status + own.encode() + framing
        self.connection.sendall(head + b"\r\n\r\n")

    def send_long(self, status, over, writes="parts"):
        """Send a plain answer in chunks, *over* bytes longer than the limit."""
        self.begin_plain(int(status), b"Transfer-Encoding: chunked")
        left = ANSWER_LIMIT_BYTES
        while left:
            self.chunk(b"x" * min(left, PIECE_BYTES))
            left -= min(left, PIECE_BYTES)
        # The entry has read all before the next write comes.
        time.sleep(EVENT_INTERVAL_S)
        rest = framed(b"y" * int(over)) if int(over) else b""
        self.send_parts([rest, LAST_CHUNK], writes)

    def send_long_event(self, writes):
        """Send an event that is longer than the limit, and one more."""
        self.begin_stream()
        self.chunk(b"id: 1\ndata: " + b"x" * ANSWER_LIMIT_BYTES)
        time.sleep(EVENT_INTERVAL_S)
        parts = [framed(b"yy"), framed(b"\n\n"), framed(platform_lab.event(2))]
        self.send_parts([*parts, LAST_CHUNK], writes)


@attrs.define
class Answer:
    """What a caller must take its bytes for."""

    status: int
    body: bytes
    is_whole: bool


def decoded(received, was_closed_in_order):
    """The ``Answer`` of the bytes of one answer."""
    head, _, rest = bytes(received).partition(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    if b"content-length" in fields:
        return Answer(status, rest, len(rest) >= int(fields[b"content-length"]))
    if fields.get(b"transfer-encoding") != b"chunked":
        return Answer(status, rest, was_closed_in_order)
    body, at = [], 0
    while (line_end := rest.find(b"\r\n", at)) >= 0 and rest[at:] != LAST_CHUNK:
        count = int(rest[at:line_end], 16)
        assert count or len(rest) <= line_end + 2, "bytes behind the last chunk"
        body.append(rest[line_end + 2 : line_end + 2 + count])
        at = line_end + 2 + count + 2
    return Answer(status, b"".join(body), rest[at:] == LAST_CHUNK)


def passes_for_whole(answer, whole):
    """Whether its caller takes *answer* for whole, though its body is not *whole*.

    An answer of the entry itself, which says so, is not meant.
    """
    return answer.status != 502 and answer.is_whole and answer.body != whole


@attrs.define
class Caller:
    """A caller at *port*.

    ``was_closed_in_order`` is known once its connection has ended.
    """

    port: int
    connection: socket.socket = None
    received: bytearray = attrs.field(factory=bytearray)
    was_closed_in_order: bool | None = None

    def connect(self, is_slow=False):
        self.connection = socket.socket()
        if is_slow:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.connection.settimeout(READ_TIMEOUT_S)
        self.connection.connect(("127.0.0.1", self.port))
        return self

    def send(self, path, attempt, version="1.1", deadline_ms=LONG_MS, body=b"{}"):
        lines = [
            f"POST {path} HTTP/{version}",
            f"Host: {HOST}",
            f"{ATTEMPT}: {attempt}",
            f"X-Dunlinpoint-Deadline-Ms: {deadline_ms}",
            "Authorization: Bearer key-1",
            f"Content-Length: {len(body)}",
        ]
        self.connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return self

    def read_until(self, is_enough):
        """Read until ``is_enough(received)`` or the connection has ended."""
        while not is_enough(self.received) and self.was_closed_in_order is None:
            try:
                data = self.connection.recv(65536)
            except ConnectionError:
                self.was_closed_in_order = False
                return self
            self.received += data
            if not data:
                self.was_closed_in_order = True
        return self

    def read_events(self, count):
        return self.read_until(lambda received: received.count(b"data: ") >= count)

    def read_answer(self):
        """The ``Answer``, as soon as it is whole or its connection has ended."""

        def is_enough(received):
            return b"\r\n\r\n" in received and decoded(received, False).is_whole

        self.read_until(is_enough)
        return decoded(self.received, self.was_closed_in_order)

    def read_to_end(self):
        """The ``Answer``, once its connection has ended."""
        self.read_until(lambda received: False)
        return decoded(self.received, self.was_closed_in_order)


def ask(platform, path, attempt, version="1.1", is_slow=False, port=None, **options):
    """Return the ``Caller`` that has sent a request."""
    caller = Caller(port or platform.entry_port).connect(is_slow)
    return caller.send(path, attempt, version, **options)


def assert_whole(answer, attempt):
    """Check that *answer* has all events that the server has sent, and its end."""
    assert (answer.status, answer.is_whole) == (200, True), answer
    assert answer.body == events(1, Server.last_sent[attempt])


def assert_cut(answer):
    """Check that *answer* is recognisably incomplete, and has no strange bytes."""
    assert (answer.status, answer.is_whole) == (200, False), answer
    assert answer.body.startswith(events(1, 2))
    assert events(1, 200).startswith(answer.body)


def end(*attempts):
    """Let the servers end the streams of *attempts* after their next event."""
    Server.ended.update(attempts)


def document(version, **changes):
    """A document with long, brief and single streams; *changes* of the long route."""
    doc = platform_lab.document(version)
    stream = platform_lab.route("/stream/", "streaming")
    brief = platform_lab.route("/brief/", "streaming") | {"timeoutMs": BRIEF_MS}
    single = platform_lab.route("/single/", "streaming", 1) | {"resumable": False}
    doc["routes"] = [r for r in doc["routes"] if r["name"] != "stream"]
    doc["routes"] += [stream | {"timeoutMs": LONG_MS} | changes, brief, single]
    doc["services"].append(doc["services"][0] | {"name": "other"})
    doc["limits"] = {"headerTimeoutMs": HEADER_MS}
    return doc


def logged(platform, event):
    """The lines of *event* that the entry has logged."""
    text = (platform.folder / "entry.log").read_text()
    lines = [json.loads(line) for line in text.split("\n")[:-1]]
    return [line for line in lines if line["event"] == event]


def replace(platform, doc):
    """Send *doc* with the next version, and wait until it is in force."""
    before = len(logged(platform, "document_in_force"))
    text = platform.admin("GET", "/api/config/read")[1]
    body = json.dumps(doc | {"version": json.loads(text)["version"] + 1})
    status, text = platform.admin("POST", "/api/config/replace", body)
    assert status == 200, text
    wait_for(lambda: len(logged(platform, "document_in_force")) > before)


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """A platform with little memory and a settings file, whose streams may be long."""
    folder = tmp_path_factory.mktemp("own-side")
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv(settings.FILE_VARIABLE, str(folder / "node.json"))
        for platform in platform_lab.run(
            folder, server_class=Server, memory_mb=MEMORY_MB
        ):
            replace(platform, document(0))
            wait_for(lambda p=platform: p.call("stream", "w", "/brief/")[0] == 200)
            yield platform


def counter(platform, name):
    text = platform_lab.ask(platform.metrics_port, "GET", "/metrics")[2].decode()
    lines = [line for line in text.splitlines() if f'"{name}"' in line]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


# Stops of an entry.


@pytest.fixture(scope="module", params=["SIGTERM", "SIGKILL"])
def stopped(platform, request):
    """A signal's name, and the callers by name of an entry that it has ended."""
    port, ready = deploy.free_port(), deploy.free_port()
    entry = platform_lab.start(
        platform.folder,
        "entry",
        zone="z1",
        seeds=f"127.0.0.1:{platform.admin_port}",
        inner_ports=platform.inner_port,
        listen=f"127.0.0.1:{port}",
        ready=f"127.0.0.1:{ready}",
        grace_s=GRACE_S,
    )
    name = request.param
    try:
        wait_for(lambda: deploy.listening(ready))
        wait_for(lambda: platform_lab.ask(ready, "GET", "/api/readyz")[0] == 200)
        by_name = {
            "1.1": ask(platform, "/stream/slow", f"{name}-a", port=port),
            "1.0": ask(platform, "/stream/slow", f"{name}-b", "1.0", port=port),
            "ends": ask(platform, "/stream/slow", f"{name}-c", port=port),
        }
        for caller in by_name.values():
            caller.read_events(2)
        by_name["unread"] = ask(
            platform, "/stream/flood", f"{name}-d", port=port, is_slow=True
        )
        wait_for(lambda: platform.servers_that_ran(f"{name}-d"))
        time.sleep(EVENT_INTERVAL_S)
        entry.send_signal(signal.Signals[name])
        time.sleep(EVENT_INTERVAL_S)
        end(f"{name}-c")
        with concurrent.futures.ThreadPoolExecutor() as pool:
            readers = [n for n in by_name if n != "unread"]
            list(pool.map(lambda n: by_name[n].read_to_end(), readers))
        entry.wait(GRACE_S + 3)
        by_name["unread"].read_to_end()
        yield name, by_name
    finally:
        entry.kill()
        entry.wait(10)
        end(*(f"{name}-{letter}" for letter in "abc"))


def test_a_stop_of_the_entry_does_not_end_a_stream(stopped):
    # Failure: a stream that still runs at the end of the grace time, or when the entry
    # is killed, gets a last chunk.
    name, callers = stopped
    print(f"{name}: {bytes(callers['1.1'].received[-60:])}")
    assert_cut(callers["1.1"].read_to_end())


def test_a_stop_of_the_entry_does_not_end_a_stream_that_is_not_read(stopped):
    # Failure: the rest of a stream that waits in the entry for its caller is lost, and
    # the caller gets a last chunk.
    _, callers = stopped
    answer = callers["unread"].read_to_end()
    assert not answer.is_whole
    assert answer.body and FLOOD.startswith(answer.body)


def test_a_stream_that_ends_during_a_stop_is_whole(stopped):
    # Failure: the entry cuts, or marks as complete, a stream that ends within its grace
    # time. A killed entry can only cut it.
    name, callers = stopped
    answer = callers["ends"].read_to_end()
    if name == "SIGKILL":
        assert_cut(answer)
    else:
        assert_whole(answer, f"{name}-c")


def test_a_stop_of_the_entry_does_not_end_a_stream_of_http_1_0(stopped):
    # Failure: a caller that gets no chunks sees its stream closed in order before its
    # last event.
    name, callers = stopped
    print(f"{name}: {bytes(callers['1.0'].received[-60:])}")
    assert_cut(callers["1.0"].read_to_end())


# Decisions about one stream.


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("limit", ["deadline", "timeout"])
def test_a_deadline_does_not_end_a_stream(platform, limit, version):
    # Failure: the entry ends a stream as complete at its caller's deadline or at its
    # route's timeout.
    path, deadline_ms = {
        "deadline": ("/stream/slow", BRIEF_MS),
        "timeout": ("/brief/slow", LONG_MS),
    }[limit]
    caller = ask(platform, path, f"{limit}-{version}", version, deadline_ms=deadline_ms)
    answer = caller.read_to_end()
    print(f"{version}: {bytes(caller.received[-60:])} {caller.was_closed_in_order}")
    assert_cut(answer)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_stream_that_breaks_twice_is_not_ended(platform, version):
    # Failure: the entry ends a stream as complete when no further attempt is allowed.
    attempt = f"breaks-{version}"
    caller = ask(platform, "/stream/broken", attempt, version)
    answer = caller.read_to_end()
    print(f"{version}: {bytes(caller.received[-60:])} {caller.was_closed_in_order}")
    assert len(platform.servers_that_ran(attempt)) == 2
    assert_cut(answer)


def test_callers_that_read_slowly_get_their_stream_whole_or_cut(platform):
    # Failure: a stream whose endpoint was paused lacks events, or one whose caller is
    # closed because it reads nothing gets a last chunk.
    closed = counter(platform, "slow_reader.closed")
    unread = ask(platform, "/stream/flood", "reads-nothing", is_slow=True)
    slow = ask(platform, "/stream/flood", "reads-slowly", is_slow=True)
    while counter(platform, "slow_reader.closed") == closed:
        slow.received += slow.connection.recv(2000)
        time.sleep(EVENT_INTERVAL_S)
    answer = unread.read_to_end()
    assert not answer.is_whole
    assert answer.body and FLOOD.startswith(answer.body)
    slow.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    slow.read_until(lambda received: received.endswith(b"\r\n" + LAST_CHUNK))
    answer = decoded(slow.received, slow.was_closed_in_order)
    assert answer.is_whole and answer.body == FLOOD


@pytest.mark.parametrize("body", [b"{}", b""])
def test_a_further_request_on_the_connection_leaves_a_stream_alone(platform, body):
    # Failure: a request that is sent during a stream, whole or in part, or after it,
    # ends the stream or mixes its answer with it.
    name = f"reused-{len(body)}"
    caller = ask(platform, "/stream/slow", f"{name}-1", body=body).read_events(2)
    caller.send("/stream/slow", f"{name}-2", body=body)
    caller.connection.sendall(b"POST /stream/slow HTTP/1.1\r\nHost: ")
    # Longer than a header may take.
    caller.read_events(HEADER_MS // int(EVENT_INTERVAL_S * 1000) + 5)
    end(f"{name}-1")
    caller.read_until(lambda received: received.count(b"id: 2\n") == 2)
    end(f"{name}-2")
    caller.read_until(lambda received: received.count(b"\r\n" + LAST_CHUNK) == 2)
    line = b"HTTP/1.1 200 OK\r\n"
    before, *answers = caller.received.split(line)
    assert before == b"" and len(answers) == 2
    for number, received in enumerate(answers, 1):
        assert_whole(decoded(line + received, None), f"{name}-{number}")


def test_a_request_that_waits_is_not_answered_after_a_broken_stream(platform):
    # Failure: the answer to a request that was sent during a stream follows on the
    # broken stream and is taken for its rest.
    caller = ask(platform, "/brief/slow", "before").read_events(2)
    caller.send("/once/plain", "waits")
    assert_cut(caller.read_to_end())
    assert not platform.servers_that_ran("waits")


def begin_at_both(platform):
    """Return the attempts of streams by server, once each server has one."""
    by_server = {}
    for _ in range(40):
        attempt = f"both-{time.monotonic()}"
        caller = ask(platform, "/stream/slow", attempt).read_events(1)
        threading.Thread(target=caller.read_answer, daemon=True).start()
        (ran,) = platform.servers_that_ran(attempt)
        by_server.setdefault(ran, []).append(attempt)
        if len(by_server) == len(platform.servers):
            return by_server
        # An endpoint at which something broke is avoided for a while.
        time.sleep(EVENT_INTERVAL_S)
    raise AssertionError(f"all streams run at {by_server}")


def test_a_stream_that_falls_silent_goes_on_at_another_endpoint(platform):
    # Failure: the entry gives up a silent endpoint, and what it had sent counts as the
    # whole stream, or events are lost on the way to the other one.
    by_server = begin_at_both(platform)
    # The connection must have been in use: a new one makes the entry wait.
    for number in range(20):
        platform.call("plain", f"use-{number}")
    caller = ask(platform, "/stream/slow.4", "silent").read_events(4)
    (first,) = platform.servers_that_ran("silent")
    # The other streams of a silent endpoint are silent, too.
    end(*by_server[first])
    caller.read_events(8)
    end("silent")
    assert_whole(caller.read_answer(), "silent")
    assert len(set(platform.servers_that_ran("silent"))) == 2
    for attempts in by_server.values():
        end(*attempts)


# Changes of settings, documents and endpoints.


def change_settings(platform):
    """Write two settings files, each with a signal: the first is taken as known."""
    path = platform.folder / "node.json"
    seeds = [f"127.0.0.1:{platform.admin_port}"]
    for count in (1, 2):
        path.write_text(json.dumps({"seeds": seeds}))
        platform.entry.send_signal(signal.SIGHUP)
        wait_for(lambda n=count: len(logged(platform, "settings_read")) >= n)
        seeds.append(f"127.0.0.1:{deploy.free_port()}")


def status_of_new_stream(platform):
    attempt = f"new-{time.monotonic()}"
    end(attempt)
    return platform.call("slow", attempt, "/stream/")[0]


def remove_route(platform):
    doc = document(0)
    doc["routes"] = [r for r in doc["routes"] if r["name"] != "stream"]
    replace(platform, doc)
    assert status_of_new_stream(platform) == 404


def move_route(platform):
    replace(platform, document(0, service="other"))
    assert status_of_new_stream(platform) == 503


def take_key_away(platform):
    doc = document(0)
    doc["tenants"][0]["apiKeys"] = ["key-2"]
    replace(platform, doc)
    assert status_of_new_stream(platform) == 401


def shorten_timeout(platform):
    replace(platform, document(0, timeoutMs=int(EVENT_INTERVAL_S * 1000)))


def generation(platform):
    """The number of the entry's list of endpoints, which grows with each change."""
    assert platform.call("plain", f"probe-{time.monotonic()}")[0] == 200
    return logged(platform, "answered")[-1]["generation"]


def drain(platform, server):
    before = generation(platform)
    server.state = "draining"
    wait_for(lambda: generation(platform) > before)


def fall_silent(platform, server):
    before = generation(platform)
    platform.servers.remove(server)
    wait_for(lambda: generation(platform) > before)


def deregister(platform, server):
    before = generation(platform)
    platform.servers.remove(server)
    path = f"/api/instances/{server.id}/deregister"
    assert platform.admin("POST", path, "{}")[0] == 200
    wait_for(lambda: generation(platform) > before)


def say_leaving(platform, server):
    server.extra_headers["Server-Leaving"] = "1"
    # Every server fails it, so that it goes to each of them.
    platform.call("unsigned", "leaving", "/often/")
    assert server.id in platform.servers_that_ran("leaving")


DOCUMENTS = [change_settings, remove_route, move_route, take_key_away, shorten_timeout]
# An endpoint that drains is listed until its lease ends, which changes the list again.
ENDPOINTS = [deregister, fall_silent, drain, say_leaving]


@pytest.fixture
def changed(platform, request):
    """The change of a test, undone after it: its endpoint comes back as another one."""
    servers = list(platform.servers)
    yield request.param
    if request.param in DOCUMENTS:
        replace(platform, document(0))
        return
    for server in servers:
        is_away = server.state != "ready" or server not in platform.servers
        if is_away or server.extra_headers:
            server.state = "ready"
            server.extra_headers.clear()
            server.id += "-again"
    platform.servers[:] = servers
    for attempts in begin_at_both(platform).values():
        end(*attempts)


@pytest.mark.parametrize(
    "changed", DOCUMENTS + ENDPOINTS, ids=lambda f: f.__name__, indirect=True
)
def test_a_change_leaves_running_streams_alone(platform, changed):
    # Failure: a new document, new settings or the leave of its endpoint ends a stream,
    # as complete or at all.
    attempt = f"changed-{changed.__name__}"
    caller = ask(platform, "/stream/slow", attempt).read_events(2)
    (ran,) = platform.servers_that_ran(attempt)
    if changed in ENDPOINTS:
        changed(platform, next(s for s in platform.servers if s.id == ran))
    else:
        changed(platform)
    caller.read_events(Server.last_sent[attempt] + 2)
    end(attempt)
    assert_whole(caller.read_answer(), attempt)
    assert platform.servers_that_ran(attempt) == [ran]


# Memory, and endpoints in trouble.


def test_a_lack_of_memory_leaves_running_streams_alone(platform):
    # Failure: an entry that holds too much for its callers ends streams, or loses
    # events of those that it pauses.
    caller = ask(platform, "/stream/slow", "beside-memory").read_events(2)
    paused = ask(platform, "/stream/flood", "paused", is_slow=True)
    before = counter(platform, "load_shedding_began")
    unread = [
        ask(platform, "/once/long.200.0", f"memory-{n}", is_slow=True) for n in range(4)
    ]
    wait_for(lambda: counter(platform, "load_shedding_began") > before)
    assert platform.call("plain", "refused")[0] == 503
    caller.read_events(Server.last_sent["beside-memory"] + 2)
    for other in unread:
        other.connection.close()
    paused.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    paused.read_until(lambda received: received.endswith(b"\r\n" + LAST_CHUNK))
    assert decoded(paused.received, None).body == FLOOD
    end("beside-memory")
    assert_whole(caller.read_answer(), "beside-memory")


@pytest.mark.parametrize("writes", ["parts", "one"])
@pytest.mark.parametrize("kind", BROKEN_CHUNKS)
@pytest.mark.parametrize("route", ["/stream/", "/single/", "/once/"])
def test_an_answer_with_broken_chunks_is_not_ended(platform, route, kind, writes):
    # Failure: a chunk that is none ends the answer, also where the last chunk is read
    # together with it.
    attempt = f"{kind}-{writes}{route.replace('/', '-')}"
    caller = ask(platform, f"{route}broken_chunks.{kind}.{writes}", attempt)
    answer = caller.read_answer()
    print(bytes(caller.received))
    assert not passes_for_whole(answer, events(1, EVENT_COUNT))
    assert answer.status == 502 or answer.body.startswith(events(1, FIRST_EVENTS))


@pytest.mark.parametrize("framing", ["chunks", "length"])
def test_a_stream_with_an_id_that_is_too_long_is_not_ended(platform, framing):
    # Failure: an event that the entry cannot read is lost together with those behind
    # it, and the stream is ended.
    caller = ask(platform, f"/single/long_id.{framing}", f"long-id-{framing}")
    answer = caller.read_answer()
    body = events(1, FIRST_EVENTS) + LONG_ID + events(5, EVENT_COUNT)
    assert not passes_for_whole(answer, body)


@pytest.mark.parametrize("writes", ["parts", "one"])
@pytest.mark.parametrize("over", [1, PIECE_BYTES])
@pytest.mark.parametrize("status", [200, 500])
def test_a_plain_answer_over_the_limit_is_not_cut_to_a_whole_one(
    platform, status, over, writes
):
    # Failure: the bytes over the limit are dropped, the last chunk that is read with
    # them marks the end, and the caller gets the rest with its length.
    kind = f"long.{status}.{over}.{writes}"
    answer = ask(platform, f"/once/{kind}", kind).read_answer()
    print(answer.status, len(answer.body), answer.is_whole)
    whole = b"x" * ANSWER_LIMIT_BYTES + b"y" * over
    assert not passes_for_whole(answer, whole)


@pytest.mark.parametrize("status", [200, 500])
def test_a_plain_answer_at_the_limit_is_passed_on(platform, status):
    # Failure: the test above holds only because every long answer is given up.
    answer = ask(platform, f"/once/long.{status}.0", f"limit-{status}").read_answer()
    assert answer == Answer(status, b"x" * ANSWER_LIMIT_BYTES, True)


@pytest.mark.parametrize("writes", ["parts", "one"])
def test_a_stream_with_an_event_over_the_limit_is_not_ended(platform, writes):
    # Failure: an event that is too long is dropped, and the last chunk that is read
    # with its end marks the end of the stream.
    kind = f"long_event.{writes}"
    answer = ask(platform, f"/single/{kind}", kind).read_answer()
    whole = b"id: 1\ndata: " + b"x" * ANSWER_LIMIT_BYTES + b"yy\n\n" + events(2, 2)
    print(answer.status, len(answer.body), answer.is_whole)
    assert not passes_for_whole(answer, whole)
