"""An endpoint in a process of its own, which can crash while it answers.

``python -m tests.integration.endpoint_process ID PORT FOLDER`` listens on
127.0.0.1:PORT. It adds a line to the file ``runs`` in FOLDER for each request that it
runs. The last segment of a request's path selects the answer,
``<body>_<framing>_<count>_<fault>``: *body* is ``stream``, ``unnumbered`` (a stream of
events without ids), ``flood`` (large events, as fast as they are read) or ``plain``,
*count* the number of events or bytes that are sent before the end, and *framing* tells
how the end is marked; without a mark, the connection is closed in order. The
faults:

- ``whole``: none.
- ``crash``: the first run of a request ends by the end of the process, whose
  connections the kernel closes in order. Other runs are whole.
- ``crash-reset``: the first run ends so, the others by a reset after their heads.
- ``crashes``: every run ends so, a stream after two further events.
- ``stalls``: the first run of a request sends nothing for a while before its end, as a
  rank does whose group has lost another one. Other runs are whole.
- ``resets``: the first run ends by a reset, and the process goes on. Others are whole.
- ``closes``: the same, but the first run ends in order.
- ``stops``: the same, and the process ends a moment later.
- ``empty-<framing>``: the first run ends by a reset, the second has no event and the
  end of that framing, with ``comment`` a comment in chunks. Others are whole.
- ``all-empty-<framing>``: the same, but all others have no event either.
- ``crash-empty-<framing>``: the same, and the first run ends by the end of the process.
- ``unsigned``: the answer has no signature.
- ``leaves``: the first run of a request takes its time, the process stops listening
  before the end, and exits a moment after it. Other runs are whole.
"""

import http.server
import os
import pathlib
import signal
import socket
import struct
import sys
import threading
import time

from tests.integration import platform_lab

EVENT_COUNT = 8
EVENT_INTERVAL_S = 0.2
# A socket that is closed with unread bytes is reset, and so are bytes on their way.
PAUSE_S = 0.05
# How long a rank waits for one that its group has lost.
STALL_S = 1.5
# How long a process that leaves stays after its last answer.
EXIT_DELAY_S = 0.3
BODY = b"0123456789" * 400
COMMENT = b": still here\n\n"
MARKED = ("chunks", "length")
UNMARKED = ("none", "misspelt", "close", "http-1.0")
# Those that only the first run of a request shows.
FIRST_RUN_FAULTS = ("crash", "stalls", "leaves", "resets", "closes", "stops")


UNNUMBERED = [b"data: piece %d\n\n" % n for n in range(1, EVENT_COUNT + 1)]


def events(first, last):
    """The events with numbers *first* to *last*, one after the other."""
    return b"".join(platform_lab.event(n) for n in range(first, last + 1))


class Server(http.server.ThreadingHTTPServer):
    """The listening socket of endpoint ``id``, its ``folder`` and its ``state``."""

    daemon_threads = True
    state = "ready"
    request_queue_size = 128

    def __init__(self, endpoint_id, port, folder, listener=None):
        """Listen at *port*, or take the connections of *listener*."""
        super().__init__(("127.0.0.1", port), Handler, bind_and_activate=not listener)
        if listener:
            self.socket.close()
            self.socket = listener
        self.id, self.folder = endpoint_id, pathlib.Path(folder)

    def handle_error(self, request, client_address):
        # An entry may reset its connections.
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)

    def begin_run(self, attempt):
        """Record a run of *attempt* and return the number of earlier ones."""
        earlier = (self.folder / "runs").read_text().split().count(attempt)
        with open(self.folder / "runs", "a") as runs:
            runs.write(f"{self.id} {attempt}\n")
        return earlier


class Handler(platform_lab.ProtocolHandler):
    """One connection of an entry."""

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        earlier_runs = self.server.begin_run(self.headers[platform_lab.ATTEMPT])
        is_first = earlier_runs == 0
        body, framing, count, fault = self.path.rsplit("/", 1)[1].split("_")
        count = int(count)
        variant, is_empty, empty_framing = fault.partition("empty-")
        if is_empty and (earlier_runs == 1 or variant and not is_first):
            framing = "chunks" if empty_framing == "comment" else empty_framing
            self.send_head(body, framing, 0, is_signed=True)
            if empty_framing == "comment":
                self.send_piece(framing, COMMENT)
            self.end(framing, "whole")
            return
        if fault == "crash-reset" and not is_first:
            self.send_head(body, framing, 1, is_signed=True)
            time.sleep(PAUSE_S)
            self.reset()
            return
        if (fault in FIRST_RUN_FAULTS or is_empty) and not is_first:
            fault, count = "whole", EVENT_COUNT if body == "stream" else len(BODY)
        last = int(self.headers.get("Last-Event-Id", 0))
        if fault == "crashes" and not is_first:
            count += 2
        if body == "stream":
            pieces = [platform_lab.event(n) for n in range(last + 1, count + 1)]
            length = len(events(last + 1, EVENT_COUNT))
        elif body == "flood":
            pieces = [platform_lab.flood_event(n) for n in range(1, count + 1)]
            length = sum(map(len, pieces))
        elif body == "unnumbered":
            pieces, length = UNNUMBERED[:count], sum(map(len, UNNUMBERED))
        else:
            pieces, length = [BODY[:count]], len(BODY)
        if fault == "leaves":
            self.server.state = "draining"
        if fault == "leaves" and body == "plain":
            time.sleep(EVENT_COUNT * EVENT_INTERVAL_S)
        self.send_head(body, framing, length, is_signed=fault != "unsigned")
        for piece in pieces:
            time.sleep(0 if body in ("plain", "flood") else EVENT_INTERVAL_S)
            self.send_piece(framing, piece)
        self.end(framing, fault)

    def send_head(self, body, framing, length, is_signed):
        """Send the head of an answer whose whole body has *length* bytes."""
        version = "HTTP/1.0" if framing == "http-1.0" else "HTTP/1.1"
        field = {
            "chunks": "Transfer-Encoding: chunked",
            "length": f"Content-Length: {length}",
            "misspelt": "Transfer-Encodng: chunked",
            "close": "Connection: close",
        }
        lines = [
            f"{version} 200 OK",
            f"{platform_lab.ATTEMPT}: {self.headers[platform_lab.ATTEMPT]}",
            *([f"{platform_lab.SIGNATURE}: {self.server.id}"] if is_signed else []),
            f"Content-Type: text/{'plain' if body == 'plain' else 'event-stream'}",
            *([field[framing]] if framing in field else []),
        ]
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def send_piece(self, framing, piece):
        if framing == "chunks":
            piece = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
        self.wfile.write(piece)

    def reset(self):
        linger = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close_connection = True
        socket.close(self.connection.detach())

    def end(self, framing, fault):
        """End the answer as *framing* says, or show *fault*."""
        if fault.startswith("crash"):
            time.sleep(PAUSE_S)
            os.kill(os.getpid(), signal.SIGKILL)
        if fault == "resets" or "empty-" in fault:
            time.sleep(PAUSE_S)
            self.reset()
            return
        if fault == "stalls":
            time.sleep(STALL_S)
        if fault == "stops":
            threading.Timer(EXIT_DELAY_S, os._exit, [0]).start()
        if fault == "leaves":
            # To close it would take effect only after the main thread has polled it.
            self.server.socket.shutdown(socket.SHUT_RDWR)
            threading.Timer(EXIT_DELAY_S, os._exit, [0]).start()
        if framing == "chunks":
            self.wfile.write(b"0\r\n\r\n")
        elif framing != "length" or fault in ("closes", "stops"):
            self.connection.shutdown(socket.SHUT_WR)
            self.close_connection = True


if __name__ == "__main__":
    Server(sys.argv[1], int(sys.argv[2]), sys.argv[3]).serve_forever()
