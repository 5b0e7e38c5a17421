"""Answers in flight at a planned stop of an entry reach their callers complete."""

import contextlib
import signal
import socket
import time

from tests.integration import platform_lab
from tests.integration.platform_lab import (
    ATTEMPT,
    GRACE_S,
    HOST,
    LARGE_BODY_BYTES,
    ask,
)
from tests.integration.waits import wait_for

# Longer than the entry accepts connections after SIGTERM, shorter than its grace time.
READ_DELAY_S = 3.5
# How long the exit of a process may take on a busy machine.
EXIT_TIME_S = 1


def test_an_answer_still_in_the_buffers_is_not_cut_at_the_exit(platform):
    # Guards against an answer that is truncated because the entry counts it as complete
    # when it is written to the connection's buffer, not when it has been sent. After
    # SIGTERM the last request is answered, its data is still buffered for a caller that
    # reads slowly, no request is in flight, and the process exits.
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", platform.entry_port))
        head = f"POST /once/big HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: big-1\r\n"
        head += "X-Dunlinpoint-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"
        caller.sendall(head.encode() + b"Content-Length: 2\r\n\r\n{}")
        wait_for(lambda: platform.servers_that_ran("big-1"))
        time.sleep(0.5)
        platform.entry.send_signal(signal.SIGTERM)
        wait_for(lambda: ask(platform.ready_port, "GET", "/api/readyz")[0] == 503)
        time.sleep(READ_DELAY_S)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        received = bytearray()
        caller.settimeout(5)
        while piece := caller.recv(1 << 20):
            received += piece
    assert received.startswith(b"HTTP/1.1 200")
    assert received.count(b"x") >= LARGE_BODY_BYTES
    assert platform.entry.wait(10) == 0


def test_callers_that_read_slowly_delay_a_stop_until_the_grace_time(tmp_path):
    # Guards against a stop that waits for a caller that reads nothing, and is then
    # killed, and against one that cuts off a stream whose endpoint is paused at once.
    with (
        contextlib.closing(platform_lab.run(tmp_path)) as running,
        socket.socket() as unread,
        socket.socket() as stream,
    ):
        platform = next(running)
        for caller, path in ((unread, "/once/big"), (stream, "/stream/flood")):
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect(("127.0.0.1", platform.entry_port))
            head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: {path}\r\n"
            head += "X-Dunlinpoint-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"
            caller.sendall(head.encode() + b"Content-Length: 2\r\n\r\n{}")
            wait_for(lambda path=path: platform.servers_that_ran(path))
        began_s = time.monotonic()
        platform.entry.send_signal(signal.SIGTERM)
        time.sleep(1)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        received = bytearray()
        stream.settimeout(5)
        while piece := stream.recv(1 << 20):
            received += piece
        assert received.endswith(b"\r\n0\r\n\r\n")
        assert platform.entry.wait(10) == 0
        took_s = time.monotonic() - began_s
    assert GRACE_S - 1 < took_s < GRACE_S + EXIT_TIME_S
