"""Bytes that come from an endpoint without end, in a head or a body."""

import concurrent.futures
import threading
import time

import pytest

from tests.integration import platform_lab
from tests.integration.platform_lab import ATTEMPT, SIGNATURE
from tests.integration.waits import wait_for

# The platform's limit of an entry.
MEMORY_MB = 300
BLOCK = b"x" * 64 * 1024
# A caller that waits for this long instead of getting an answer sees its deadline.
DEADLINE_MS = 8000
ANSWER_LIMIT_S = 4
CLOSE_LIMIT_S = 5
# Sound requests beside each answer, at least.
MIN_BESIDE = 5

HEADS = {
    "lines": (b"", b"X-Line: " + b"y" * 8000 + b"\r\n"),
    "short-lines": (b"", b"X-A: b\r\n" * 1000),
    "folded": (b"X-Folded: a\r\n", b" " + b"y" * 8000 + b"\r\n"),
}
TRAILER = b"X-Line: " + b"y" * 8000 + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000
NOT_EXECUTED = b"X-Dunlinpoint-Not-Executed: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Server(platform_lab.Server):
    """A server that sends some kinds of answers until its connection is closed."""

    def do_POST(self):
        kind = self.path.rsplit("/", 1)[1]
        if not kind.startswith("endless-"):
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.runs.append((self.server.id, self.headers[ATTEMPT]))
        first, block = self.endless(kind.removeprefix("endless-"))
        self.close_connection = True
        try:
            self.connection.sendall(first)
            while True:
                self.connection.sendall(block)
        except OSError:
            self.server.runs.append(("closed", self.headers[ATTEMPT]))

    def endless(self, kind):
        """The first bytes of the answer *kind*, and those that follow without end."""
        own = f"{ATTEMPT}: {self.headers[ATTEMPT]}\r\n".encode()
        signed = own + f"{SIGNATURE}: {self.server.id}\r\n".encode()
        chunk = b"%x\r\n" % len(BLOCK) + BLOCK + b"\r\n"
        if kind in HEADS:
            line, block = HEADS[kind]
            return b"HTTP/1.1 200 OK\r\n" + signed + line, block
        if kind == "interim":
            return b"", INTERIM
        if kind == "trailer":
            body = b"1\r\nx\r\n0\r\n"
            return b"HTTP/1.1 200 OK\r\n" + signed + CHUNKED + b"\r\n" + body, TRAILER
        if kind == "event":
            stream = signed + CHUNKED + b"Content-Type: text/event-stream\r\n"
            return b"HTTP/1.1 200 OK\r\n" + stream + b"\r\n", chunk
        status, headers, block = {
            "body": (b"200 OK", signed, BLOCK),
            "chunks": (b"200 OK", signed + CHUNKED, chunk),
            "length": (
                b"200 OK",
                signed + b"Content-Length: 1%s\r\n" % (b"0" * 11),
                BLOCK,
            ),
            "failure": (b"503 No", signed + CHUNKED, chunk),
            "unsigned": (b"404 No", own, BLOCK),
            "refusal": (b"503 No", own + NOT_EXECUTED, BLOCK),
        }[kind]
        return b"HTTP/1.1 " + status + b"\r\n" + headers + b"\r\n", block


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """A platform with servers that answer without end, and a memory limit."""
    folder = tmp_path_factory.mktemp("endless")
    yield from platform_lab.run(folder, memory_mb=MEMORY_MB, server_class=Server)


def peak_mb(process):
    """The most memory (MB) that *process* had so far."""
    with open(f"/proc/{process.pid}/status") as status:
        (line,) = [line for line in status if line.startswith("VmHWM")]
    return int(line.split()[1]) // 1024


def call_beside(platform, kind, stopped):
    """The statuses of sound requests, ten a second, until *stopped*."""
    statuses = []
    while not stopped.wait(0.1) or len(statuses) < MIN_BESIDE:
        answer = platform.call("plain", f"{kind}-beside-{len(statuses)}", "/often/")
        statuses.append(answer[0])
    return statuses


KINDS = ["lines", "short-lines", "folded", "interim"]
KINDS += ["body", "chunks", "length", "failure", "unsigned", "refusal", "event"]
KINDS += ["trailer"]


@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_without_end_is_given_up(platform, kind):
    # Failure: an entry reads an answer that has no end until its caller's deadline, and
    # takes gigabytes for it. It is killed with all requests that it has in flight, or
    # refuses all other callers meanwhile.
    attempt = f"endless-{kind}"
    prefix = "/stream/" if kind == "event" else "/once/"
    stopped = threading.Event()
    with concurrent.futures.ThreadPoolExecutor() as pool:
        beside = pool.submit(call_beside, platform, kind, stopped)
        began_s = time.monotonic()
        status = platform.call(
            attempt, attempt, prefix, **{"X-Dunlinpoint-Deadline-Ms": str(DEADLINE_MS)}
        )[0]
        took_s = time.monotonic() - began_s
        wait_for(lambda: "closed" in platform.servers_that_ran(attempt), CLOSE_LIMIT_S)
        stopped.set()
        statuses = beside.result()
    memory_mb = peak_mb(platform.entry)
    print(f"{kind}: {status} after {took_s:.2f} s, {memory_mb} MB, others {statuses}")
    assert memory_mb < MEMORY_MB
    assert status == (503 if kind == "refusal" else 502)
    assert took_s < ANSWER_LIMIT_S
    assert statuses and set(statuses) == {200}


def test_many_answers_without_end_leave_the_entry_within_its_memory(platform):
    # Failure: each answer is bounded, but not all of them together.
    with concurrent.futures.ThreadPoolExecutor(30) as pool:
        calls = [
            pool.submit(platform.call, "endless-body", f"many-{n}") for n in range(30)
        ]
        statuses = {call.result()[0] for call in calls}
    assert peak_mb(platform.entry) < MEMORY_MB
    assert statuses <= {502, 503, 504}
    wait_for(lambda: platform.call("plain", "after")[0] == 200, 5)
