"""Backends that fail some requests, and a record of what they executed.

Each backend is a small HTTP server in a thread. It answers with its signature and
the request's id, fails some requests in modes drawn from its seed, and records every
request that it executed.
"""

import http.server
import random
import socket
import struct
import threading
import time
import zlib

import attrs

from dunlinpoint.soak import signals
from dunlinpoint.standins import cold

ATTEMPT_ID_HEADER = "X-Dunlinpoint-Attempt-Id"
SIGNATURE_HEADER = "X-Dunlinpoint-Server-Signature"
NOT_EXECUTED_HEADER = "X-Dunlinpoint-Not-Executed"
TARGET_HEADER = "X-Dunlinpoint-Target-Instance"
INSTANCE_HEADER = "X-Dunlinpoint-Instance-Id"
DEADLINE_HEADER = "X-Dunlinpoint-Deadline-Ms"
EVENT_COUNT = 8
EVENT_INTERVAL_S = 0.04
# What a whole stream takes at least.
STREAM_MS = round(EVENT_COUNT * EVENT_INTERVAL_S * 1000)
PROCESSING_TIME_S = 0.02
# Large streams for callers that read slowly: padding of each event, and how long a
# backend waits for its reader before it closes the connection.
LARGE_STREAM_PREFIX = "/large/"
LARGE_EVENT_PADDING = b"x" * 128 * 1024
UNREAD_TIMEOUT_S = 1.0
# The share of answers that have neither a length nor chunks and end with their
# connection, chosen by request, if a run sets no other.
UNMARKED_PERCENT = 20
# How a backend responds to a request, with weights in percent.
RESPONSE_MODE_WEIGHTS = {
    "serve": 88,
    "full": 3,
    "error": 2,
    "drop": 3,
    "break": 2,
    "foreign": 1,
    "unsigned": 1,
}


def event(request_id, number):
    """The bytes of one event of a request's stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def large_event(request_id, number):
    """The bytes of one event of a request's large stream."""
    return event(request_id, number)[:-2] + LARGE_EVENT_PADDING + b"\n\n"


def stream_of(path_prefix, request_id):
    """The complete stream that answers a request."""
    make = large_event if path_prefix == LARGE_STREAM_PREFIX else event
    return b"".join(make(request_id, n) for n in range(1, EVENT_COUNT + 1))


def body_of(request_id):
    """The complete plain answer to a request."""
    return f"answer to {request_id} ".encode() * 20


class QuietServer(http.server.ThreadingHTTPServer):
    """A server that logs no error when a client closes its connection early."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        """Broken connections are expected: the soak test injects them."""


@attrs.define
class Execution:
    """One request that a backend started to execute.

    ``marks_end`` tells whether a last chunk or a length marks the end of its answer,
    ``is_whole`` whether all of a good answer was sent, and ``was_stopped`` whether its
    backend ended it in order at the deadline instead.
    """

    server_id: str
    request_id: str
    at_s: float
    response_mode: str
    marks_end: bool = True
    is_whole: bool = False
    was_stopped: bool = False


@attrs.define(eq=False)
class Backend:
    """One backend: its port, its executions and arrivals, and its drain state.

    ``crash`` is called in the middle of the next stream, if it is set; ``crashed_s``
    are the times of its crashes (monotonic).
    """

    server_id: str
    service: str
    rng: random.Random
    executions: list
    port: int = 0
    http_server: object = None
    draining: bool = False
    stopped: bool = False
    sequence: int = 0
    signal_period: signals.SignalPeriod | None = None
    arrivals: list = attrs.field(factory=list)
    cold: object = attrs.field(factory=cold.ColdStart)
    unmarked_percent: int = UNMARKED_PERCENT
    crash: object = None
    crashed_s: list = attrs.field(factory=list)
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))

    def signal_at(self, now_s):
        """The kind of signal sent at *now_s*, or ``None``."""
        signal_period = self.signal_period
        if (
            signal_period is None
            or not signal_period.start_s <= now_s < signal_period.end_s
        ):
            return None
        return signal_period.kind

    def start(self):
        """Listen on a free port of the loopback address."""
        server = QuietServer(("127.0.0.1", 0), Handler)
        server.backend = self
        self.port = server.server_address[1]
        self.http_server = server
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def stop(self):
        """Stop the server and close its listening socket."""
        self.http_server.shutdown()
        self.http_server.server_close()

    def marks_end(self, request_id):
        """Whether the answer to a request has a length or chunks."""
        return zlib.crc32(request_id.encode()) % 100 >= self.unmarked_percent

    def draw_response_mode(self):
        """Draw how to respond to the next request."""
        return self.rng.choices(
            list(RESPONSE_MODE_WEIGHTS), RESPONSE_MODE_WEIGHTS.values()
        )[0]


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection to a backend."""

    protocol_version = "HTTP/1.1"
    signal = None
    is_chunked = True

    def log_message(self, *args):
        pass

    def send_status(self, status):
        """Send the status line and the headers of the current signal."""
        self.send_response(status)
        for name, value in signals.SIGNAL_HEADERS.get(self.signal, {}).items():
            self.send_header(name, value)

    def do_GET(self):
        """Answer a health check."""
        backend = self.server.backend
        if self.headers.get(TARGET_HEADER, backend.server_id) != backend.server_id:
            self.respond(421, {NOT_EXECUTED_HEADER: "1"}, b"")
            return
        status = 503 if backend.draining else 200
        self.respond(status, {INSTANCE_HEADER: backend.server_id}, b"")

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        backend = self.server.backend
        request_id = self.headers[ATTEMPT_ID_HEADER]
        if self.headers.get(TARGET_HEADER) != backend.server_id:
            self.respond(421, {NOT_EXECUTED_HEADER: "1"}, b"")
            return
        now_s = time.monotonic()
        self.signal = backend.signal_at(now_s)
        backend.arrivals.append(
            signals.Arrival(backend.server_id, request_id, now_s, self.signal)
        )
        if self.signal == signals.BACKOFF:
            self.respond(503, {NOT_EXECUTED_HEADER: "1"}, b"")
            return
        response_mode = backend.draw_response_mode()
        if response_mode == "full":
            self.respond(503, {NOT_EXECUTED_HEADER: "1"}, b"")
            return
        execution = Execution(
            backend.server_id,
            request_id,
            time.monotonic(),
            response_mode,
            backend.marks_end(request_id),
        )
        backend.executions.append(execution)
        if response_mode == "drop":
            self.close_connection = True
        elif response_mode == "error":
            headers = {SIGNATURE_HEADER: backend.server_id}
            self.respond(500, headers, b"failed", execution.marks_end)
        elif response_mode == "foreign":
            headers = {
                SIGNATURE_HEADER: backend.server_id,
                ATTEMPT_ID_HEADER: "another",
            }
            self.respond(200, headers, body_of("another"))
        elif response_mode == "unsigned":
            self.respond(200, {}, body_of(request_id))
        elif LARGE_STREAM_PREFIX in self.path:
            last = int(self.headers.get("Last-Event-Id", 0))
            self.send_large_stream(execution, last)
        elif "/stream/" in self.path:
            last = int(self.headers.get("Last-Event-Id", 0))
            self.send_stream(execution, last, truncated=response_mode == "break")
        else:
            self.send_plain(execution)

    def send_plain(self, execution):
        """Send a plain answer, or half of it; halves one by one if nobody marks it."""
        time.sleep(PROCESSING_TIME_S)
        data = body_of(execution.request_id)
        headers = {SIGNATURE_HEADER: self.server.backend.server_id}
        is_broken, sent = execution.response_mode == "break", len(data)
        if is_broken or not execution.marks_end:
            sent //= 2
        self.respond(200, headers, data, execution.marks_end, sent)
        if is_broken:
            self.break_off(execution)
            return
        if sent < len(data):
            time.sleep(PROCESSING_TIME_S)
            self.wfile.write(data[sent:])
        execution.is_whole = True

    def break_off(self, execution):
        """End the connection in the middle of an answer, in a way that shows."""
        self.close_connection = True
        if not execution.marks_end:
            # An end in order would be that of the answer.
            linger = struct.pack("ii", 1, 0)
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.rfile.close()
            self.connection.close()

    def respond(self, status, headers, data, marks_end=True, sent=None):
        """Answer with *data*, or with only its first *sent* bytes."""
        self.send_status(status)
        self.send_header(
            ATTEMPT_ID_HEADER,
            headers.pop(ATTEMPT_ID_HEADER, self.headers[ATTEMPT_ID_HEADER]),
        )
        for name, value in headers.items():
            self.send_header(name, value)
        if marks_end:
            self.send_header("Content-Length", str(len(data)))
        else:
            self.send_unmarked()
        self.end_headers()
        self.wfile.write(data[:sent])

    def send_unmarked(self):
        """End the answer with its connection; half of the answers announce that."""
        self.close_connection = True
        if zlib.crc32(self.headers[ATTEMPT_ID_HEADER].encode()) // 100 % 2:
            self.send_header("Connection", "close")

    def begin_stream(self, request_id, is_chunked):
        """Send the head of a stream, of chunks or ended by its connection."""
        self.send_status(200)
        self.send_header(ATTEMPT_ID_HEADER, request_id)
        self.send_header(SIGNATURE_HEADER, self.server.backend.server_id)
        self.send_header("Content-Type", "text/event-stream")
        self.is_chunked = is_chunked
        if is_chunked:
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.send_unmarked()
        self.end_headers()

    def send_large_stream(self, execution, last):
        """Send large events after *last*, and give up when they stay unread."""
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        self.connection.settimeout(UNREAD_TIMEOUT_S)
        self.begin_stream(execution.request_id, execution.marks_end)
        try:
            for number in range(last + 1, EVENT_COUNT + 1):
                self.send_chunk(large_event(execution.request_id, number))
            self.send_chunk(b"")
            execution.is_whole = True
        except OSError:
            execution.response_mode = "drop"
            self.close_connection = True

    def send_stream(self, execution, last, truncated):
        """Send the events after *last*, and stop at the deadline that was handed over.

        If *truncated*, stop within the third one.
        """
        request_id = execution.request_id
        stop_s = execution.at_s + int(self.headers[DEADLINE_HEADER]) / 1000
        self.begin_stream(request_id, execution.marks_end)
        for number in range(last + 1, EVENT_COUNT + 1):
            left_s = stop_s - time.monotonic()
            if left_s < EVENT_INTERVAL_S:
                self.stop_at_deadline(execution, left_s)
                return
            time.sleep(EVENT_INTERVAL_S)
            data = event(request_id, number)
            if number == last + 3:
                self.crash_if_ordered()
            if truncated and number == last + 3:
                self.send_chunk(data[:7])
                self.close_connection = True
                return
            self.send_chunk(data)
        self.send_chunk(b"")
        execution.is_whole = True

    def stop_at_deadline(self, execution, left_s):
        """End a stream in order in *left_s*, as an HTTP library does for its handler.

        Its last chunk or the end of its connection then looks like that of a whole one.
        """
        time.sleep(max(0.0, left_s))
        execution.was_stopped = True
        self.send_chunk(b"")

    def crash_if_ordered(self):
        """Crash between two events, if that is ordered; this answer ends there."""
        backend = self.server.backend
        crash, backend.crash = backend.crash, None
        if crash is not None:
            crash()
            raise ConnectionAbortedError("crashed")

    def send_chunk(self, data):
        """Send one chunk of the body; an empty one ends it."""
        if not self.is_chunked:
            self.wfile.write(data)
            return
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
