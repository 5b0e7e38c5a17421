"""Ends of the entry while answers without length and chunks are on the way."""

import contextlib
import signal
import socket
import time

import pytest

from tests.integration import platform_lab, test_unmarked_ends, waits

# Until the answer has begun.
BEGIN_S = 0.6


def receive_until_the_end(caller):
    """What the caller receives, and how its connection ends."""
    received = bytearray()
    while True:
        try:
            data = caller.recv(1 << 20)
        except ConnectionResetError:
            return bytes(received), test_unmarked_ends.RESET
        if not data:
            return bytes(received), test_unmarked_ends.IN_ORDER
        received += data


class LargeServer(platform_lab.Server):
    """Sends a large answer without a length, or a stream that doesn't end soon."""

    def do_POST(self):
        kind = self.path.rsplit("/", 1)[1]
        if kind not in ("unmarked", "slow"):
            super().do_POST()
            return
        self.rfile.read(int(self.headers["Content-Length"]))
        self.server.runs.append((self.server.id, self.headers[platform_lab.ATTEMPT]))
        self.close_connection = True
        with contextlib.suppress(OSError):
            if kind == "slow":
                self.begin_stream()
                for number in range(1, 100):
                    self.chunk(platform_lab.event(number))
                    time.sleep(0.1)
            self.begin(200)
            self.send_header(platform_lab.ATTEMPT, self.headers[platform_lab.ATTEMPT])
            self.send_header(platform_lab.SIGNATURE, self.server.id)
            self.send_header("Connection", "close")
            self.end_headers()
            self.wfile.write(b"x" * platform_lab.LARGE_BODY_BYTES)


@pytest.mark.parametrize("path, version", [("/once/unmarked", 1), ("/stream/slow", 0)])
@pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGKILL])
def test_an_answer_without_marks_that_the_end_of_the_entry_cuts(
    tmp_path, path, version, stop
):
    # Failure: the entry ends before it has sent the whole of an answer that has neither
    # a length nor chunks, its connection is closed in order, and the caller takes the
    # part that it has for the whole.
    lines = [
        f"POST {path} HTTP/1.{version}",
        f"Host: {platform_lab.HOST}",
        f"{platform_lab.ATTEMPT}: cut",
        "X-Dunlinpoint-Deadline-Ms: 30000",
        "Authorization: Bearer key-1",
        "Content-Length: 2",
    ]
    running = platform_lab.run(tmp_path, server_class=LargeServer)
    with contextlib.closing(running), socket.socket() as caller:
        platform = next(running)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(10)
        caller.connect(("127.0.0.1", platform.entry_port))
        caller.sendall("\r\n".join(lines).encode() + b"\r\n\r\n{}")
        waits.wait_for(lambda: platform.servers_that_ran("cut"))
        time.sleep(BEGIN_S)
        platform.entry.send_signal(stop)
        platform.entry.wait(10)
        received, end = receive_until_the_end(caller)
    assert len(received) < platform_lab.LARGE_BODY_BYTES
    assert end == test_unmarked_ends.RESET
