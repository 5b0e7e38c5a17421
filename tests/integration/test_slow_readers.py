"""Callers that read or send slowly, over real connections."""

import http.client
import os
import socket
import time

import pytest

from tests.integration import platform_lab
from tests.integration.platform_lab import ATTEMPT, HOST
from tests.integration.waits import wait_for

MEMORY_MB = 200
# Set to 1000 to measure the memory of an entry by hand.
SLOW_CALLERS = int(os.environ.get("DUNLIN_TEST_SLOW_CALLERS", 40))
READ_TIMEOUT_S = 10
HEADER_LIMIT_BYTES = 16384
BODY_LIMIT_BYTES = 4 * 1024 * 1024


@pytest.fixture(scope="module")
def bounded(tmp_path_factory):
    """A platform whose entry has ``MEMORY_MB`` of memory."""
    folder = tmp_path_factory.mktemp("bounded")
    yield from platform_lab.run(folder, memory_mb=MEMORY_MB)


def head_of(path, attempt, length=2, deadline_ms=60_000, padding=0):
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{ATTEMPT}: {attempt}",
        f"X-Dunlinpoint-Deadline-Ms: {deadline_ms}",
        "Authorization: Bearer key-1",
        f"Content-Length: {length}",
    ]
    if padding:
        lines.append("X-Padding: " + "p" * padding)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def connect(platform):
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.settimeout(15)
    caller.connect(("127.0.0.1", platform.entry_port))
    return caller


def ask_slowly(platform, path, attempt):
    """Return the connection of a caller that has asked and reads nothing."""
    caller = connect(platform)
    caller.sendall(head_of(path, attempt) + b"{}")
    return caller


def read_all(caller):
    """Return the decoded body, and whether the answer is complete."""
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    answer = http.client.HTTPResponse(caller)
    try:
        answer.begin()
        return answer.read(), True
    except (http.client.IncompleteRead, ConnectionError) as exc:
        return getattr(exc, "partial", b""), False


def flooded(platform):
    return sum(server.flooded for server in platform.servers)


def counter(platform, name):
    text = platform_lab.ask(platform.metrics_port, "GET", "/metrics")[2].decode()
    for line in text.splitlines():
        if line.startswith("dunlinpoint_events_total") and f'"{name}"' in line:
            return float(line.rsplit(" ", 1)[1])
    return 0


def wait_until_paused(platform):
    """Wait until the servers send no more."""

    def is_paused():
        before = flooded(platform)
        time.sleep(0.5)
        return flooded(platform) == before

    wait_for(is_paused)


def resident_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) // 1024


def test_an_endpoint_is_paused_while_its_caller_does_not_read(platform):
    # Guards against an answer that fills the entry's memory: it was read from the
    # endpoint as fast as it came, whether the caller read it or not.
    before = flooded(platform)
    with ask_slowly(platform, "/stream/flood", "paused") as caller:
        wait_for(lambda: flooded(platform) > before)
        wait_until_paused(platform)
        assert flooded(platform) - before < platform_lab.FLOOD_EVENTS // 2
        began_s = time.monotonic()
        assert platform.call("stream", "beside", prefix="/stream/")[0] == 200
        assert time.monotonic() - began_s < 1
        body, is_complete = read_all(caller)
    events = map(platform_lab.flood_event, range(1, platform_lab.FLOOD_EVENTS + 1))
    assert is_complete and body == b"".join(events)


def test_an_answer_that_its_endpoint_cuts_is_recognisably_incomplete(platform):
    # Guards against a stream that is ended as if it were complete, is run again at
    # another endpoint, or counts as a failure of the endpoint.
    with ask_slowly(platform, "/stream/cut", "cut-1") as caller:
        wait_until_paused(platform)
        time.sleep(platform_lab.CUT_TIMEOUT_S + 1)
        body, is_complete = read_all(caller)
    assert not is_complete
    events = map(platform_lab.flood_event, range(1, platform_lab.FLOOD_EVENTS + 1))
    assert body and b"".join(events).startswith(body)
    assert len(platform.servers_that_ran("cut-1")) == 1
    assert counter(platform, "slow_reader.cut") == 1


def test_only_a_caller_that_reads_nothing_is_closed(platform):
    # Guards against an answer that is complete in the entry's memory and is cut because
    # its caller reads it slowly, and against one that is kept for ever.
    with (
        ask_slowly(platform, "/once/big", "unread") as unread,
        ask_slowly(platform, "/once/big", "slow") as slow,
    ):
        began_s, received = time.monotonic(), bytearray()
        while not counter(platform, "slow_reader.closed"):
            assert time.monotonic() - began_s < READ_TIMEOUT_S + 5
            received += slow.recv(2000)
            time.sleep(0.2)
        assert time.monotonic() - began_s > READ_TIMEOUT_S - 1
        assert not read_all(unread)[1]
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        while received.count(b"x") < platform_lab.LARGE_BODY_BYTES:
            piece = slow.recv(1 << 20)
            assert piece
            received += piece


def test_an_entry_refuses_new_requests_while_too_much_is_unread(bounded):
    # Guards against an entry that is killed for its memory: its callers read nothing.
    callers = [ask_slowly(bounded, "/once/big", f"b-{i}") for i in range(8)]
    wait_for(lambda: counter(bounded, "load_shedding_began"))
    status, headers, body = bounded.call("plain", "shed")
    assert (status, body) == (503, b"buffers_full")
    assert float(headers["Retry-After"]) < 1
    assert not bounded.servers_that_ran("shed")
    with connect(bounded) as sender:
        sender.sendall(head_of("/once/plain", "large", 90_000))
        assert answer_to(sender) == (503, b"buffers_full")
    for caller in callers:
        caller.close()
    wait_for(lambda: bounded.call("plain", f"after-{time.monotonic()}")[0] == 200)


def test_an_entry_stays_within_its_memory_under_many_slow_callers(bounded):
    # Guards against callers that read nothing, or send without end, and take the
    # memory that the entry needs for all others.
    callers, most_mb = [], 0
    try:
        for number in range(SLOW_CALLERS):
            callers.append(ask_slowly(bounded, "/stream/flood", f"many-{number}"))
            callers.append(connect(bounded))
            callers[-1].sendall(head_of("/once/plain", f"sends-{number}", 90_000))
            callers[-1].sendall(b"x" * 60_000)
        for _ in range(20):
            most_mb = max(most_mb, resident_mb(bounded.entry))
            time.sleep(0.1)
        served = bounded.call("plain", "among-many")[0]
    finally:
        for caller in callers:
            caller.close()
    print(f"{SLOW_CALLERS} of each: {most_mb} MB, another caller got {served}")
    assert most_mb < MEMORY_MB
    assert served in (200, 503)
    wait_for(lambda: bounded.call("plain", f"later-{time.monotonic()}")[0] == 200)


def answer_to(caller):
    answer = http.client.HTTPResponse(caller)
    answer.begin()
    return answer.status, answer.read()


def test_a_header_over_the_limit_gets_431(platform):
    with connect(platform) as caller:
        caller.sendall(head_of("/once/plain", "h-1", padding=HEADER_LIMIT_BYTES * 4))
        assert answer_to(caller) == (431, b"header_too_large")
    assert counter(platform, "denied.header_too_large") == 1


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_over_the_limit_gets_413_before_it_is_sent(platform, chunked):
    attempt = f"body-{chunked}"
    head = head_of("/once/plain", attempt, BODY_LIMIT_BYTES + 1)
    with connect(platform) as caller:
        if chunked:
            head = head.replace(
                b"Content-Length: %d" % (BODY_LIMIT_BYTES + 1),
                b"Transfer-Encoding: chunked",
            )
            size = BODY_LIMIT_BYTES + 1
            head += b"%x\r\n" % size + b"x" * size
        caller.sendall(head)
        assert answer_to(caller) == (413, b"body_too_large")
    assert not platform.servers_that_ran(attempt)


def test_a_header_that_takes_too_long_gets_408_and_is_not_run(platform):
    with connect(platform) as caller:
        head = head_of("/once/plain", "late-1")
        caller.sendall(head[:-2])
        began_s = time.monotonic()
        assert answer_to(caller) == (408, b"header_timeout")
        assert 2.5 < time.monotonic() - began_s < 4.5
    assert not platform.servers_that_ran("late-1")


def test_callers_within_the_limits_are_served(platform):
    # Guards against a limit that refuses what it allows: the largest header and body,
    # an idle time between requests, and a header that is slow but in time.
    size = HEADER_LIMIT_BYTES - len(head_of("/once/plain", "in", BODY_LIMIT_BYTES)) - 13
    head = head_of("/once/plain", "in", BODY_LIMIT_BYTES, padding=size)
    assert len(head) == HEADER_LIMIT_BYTES
    with connect(platform) as caller:
        caller.sendall(head + b"x" * BODY_LIMIT_BYTES)
        assert answer_to(caller)[0] == 200
        time.sleep(4)
        head = head_of("/once/plain", "in-2")
        caller.sendall(head[:40])
        time.sleep(2)
        caller.sendall(head[40:] + b"{}")
        assert answer_to(caller)[0] == 200
