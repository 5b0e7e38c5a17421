"""Endpoints that stop working at the deadline that they were handed.

They end their answers in order then: an HTTP library sends the last chunk when its
handler returns, or closes the connection. Callers are raw sockets.
"""

import concurrent.futures
import itertools
import socket
import time

import pytest

from tests.integration import platform_lab
from tests.integration import test_close_delimited_ends as ends
from tests.integration import test_unmarked_ends as unmarked

DEADLINE_MS = 400
# Requests of one case, with deadlines that differ by a millisecond, as what is lost in
# rounding a time decides which side stops first.
REQUEST_COUNT = 40
CONCURRENT_COUNT = 8
EVENTS_BEFORE = 4
# The last segment of a path: the body and the framing of the answer.
STREAM, PLAIN = "until-stream", "until-plain"
FIELD_BY_FRAMING = {
    "chunks": (unmarked.CHUNKED,),
    "close": (unmarked.CLOSE,),
    "none": (),
}


class Server(unmarked.Server):
    """A server that sends a part of its answer and ends it at its deadline."""

    def do_POST(self):
        began = time.monotonic()
        *segments, framing = self.path.rsplit("/", 1)[1].split("_")
        if segments not in ([STREAM], [PLAIN]):
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        attempt = self.headers[platform_lab.ATTEMPT]
        last = int(self.headers.get("Last-Event-Id", 0))
        part = unmarked.events(last + 1, last + EVENTS_BEFORE)
        fields = (unmarked.EVENT_STREAM, *FIELD_BY_FRAMING[framing])
        if segments == [PLAIN]:
            part, fields = unmarked.BODY[: unmarked.CUT_BYTES], fields[1:]
        if framing == "chunks":
            part = unmarked.chunk(part)
        run = unmarked.Run(unmarked.OK, fields, part)
        self.connection.sendall(run.answer(attempt, self.server.id, last))
        handed_s = int(self.headers["X-Dunlinpoint-Deadline-Ms"]) / 1000
        time.sleep(max(0, began + handed_s - time.monotonic()))
        self.end(framing)

    def end(self, framing):
        """End the answer, which the entry may have given up by now."""
        self.close_connection = framing != "chunks"
        if framing == "chunks":
            try:
                self.connection.sendall(unmarked.LAST_CHUNK)
            except ConnectionError:
                self.close_connection = True


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    folder = tmp_path_factory.mktemp("deadlines")
    settings = {"server_class": Server, "retry_window_s": unmarked.RETRY_WINDOW_S}
    for found in platform_lab.run(folder, **settings):
        unmarked.add_routes(found)
        yield found


def call(platform, path, number):
    """Send request *number* for *path*; what its caller received, ``None`` if nothing.

    Its path is its own: the requests of one path that fail at several endpoints are
    suspected of it.
    """
    prefix, answer = path.rsplit("/", 1)
    attempt = f"{prefix.strip('/')}-{answer}-{number}"
    head = [
        f"POST {prefix}/{number}/{answer} HTTP/1.1",
        f"Host: {platform_lab.HOST}",
        f"{platform_lab.ATTEMPT}: {attempt}",
        f"X-Dunlinpoint-Deadline-Ms: {DEADLINE_MS + number}",
        "Authorization: Bearer key-1",
        "Content-Length: 2",
    ]
    received, end = b"", unmarked.IN_ORDER
    address = ("127.0.0.1", platform.entry_port)
    with socket.create_connection(address, timeout=unmarked.TIMEOUT_S) as caller:
        caller.sendall(("\r\n".join(head) + "\r\n\r\n{}").encode())
        try:
            while data := caller.recv(65536):
                received += data
                found = unmarked.parsed(attempt, received, unmarked.KEPT)
                if found is not None and found.is_marked:
                    return found
        except ConnectionResetError:
            end = unmarked.RESET
    return unmarked.parsed(attempt, received, end)


def parts_told_as_whole(platform, path):
    """The answers to ``REQUEST_COUNT`` requests for *path* that look whole."""
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_COUNT) as pool:
        numbers = range(REQUEST_COUNT)
        found = list(pool.map(lambda number: call(platform, path, number), numbers))
    assert any(received is not None for received in found)
    return [
        received
        for received in found
        if received and received.status == 200 and ends.looks_complete(received)
    ]


@pytest.mark.parametrize(
    "prefix, framing",
    itertools.product((unmarked.RESUMABLE, unmarked.ONCE_STREAM), FIELD_BY_FRAMING),
)
def test_a_stream_that_its_deadline_ends_never_looks_whole(platform, prefix, framing):
    # Failure: an endpoint stops at its deadline and ends its stream in order, a moment
    # before the entry's own timer fires, and the caller gets a part as the whole.
    assert not parts_told_as_whole(platform, f"{prefix}{STREAM}_{framing}")


@pytest.mark.parametrize(
    "prefix, framing",
    itertools.product((unmarked.OFTEN, unmarked.ONCE), FIELD_BY_FRAMING),
)
def test_a_plain_answer_that_its_deadline_ends_never_looks_whole(
    platform, prefix, framing
):
    # Failure: the same for a plain answer.
    assert not parts_told_as_whole(platform, f"{prefix}{PLAIN}_{framing}")
