"""Back ends that misbehave on their own, and what they ran.

Each is a small HTTP server in a thread. It answers with its mark and the
request's id, fails some requests in ways that its seed draws, and notes every
request that it ran.
"""

import http.server
import random
import threading
import time

import attrs

from dunlinpoint.soak import signals

ATTEMPT_ID_HEADER = "X-Dunlinpoint-Attempt-Id"
SIGNATURE_HEADER = "X-Dunlinpoint-Server-Signature"
NOT_EXECUTED_HEADER = "X-Dunlinpoint-Not-Executed"
TARGET_HEADER = "X-Dunlinpoint-Target-Instance"
EVENT_COUNT = 8
EVENT_INTERVAL_S = 0.04
PROCESSING_TIME_S = 0.02
# What a server does with a request, and how often of a hundred.
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


def body_of(request_id):
    """The whole plain answer to a request."""
    return f"answer to {request_id} ".encode() * 20


class QuietServer(http.server.ThreadingHTTPServer):
    """A server whose callers may leave at any moment, as a matter of course."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        """Connections that break are what a soak is about."""


@attrs.define
class Execution:
    """One request that a server began to work on."""

    server_id: str
    request_id: str
    at_s: float
    response_mode: str


@attrs.define(eq=False)
class Backend:
    """One server: where it listens, what it ran, whether it is leaving."""

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

    def signal_at(self, now_s):
        """What it says of itself at *now_s*, or ``None``."""
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
        """Take no more connections."""
        self.http_server.shutdown()
        self.http_server.server_close()

    def draw_response_mode(self):
        """What to do with the next request."""
        return self.rng.choices(
            list(RESPONSE_MODE_WEIGHTS), RESPONSE_MODE_WEIGHTS.values()
        )[0]


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection to a back end."""

    protocol_version = "HTTP/1.1"
    signal = None

    def log_message(self, *args):
        pass

    def send_status(self, status):
        """The status line, and what the back end says of itself."""
        self.send_response(status)
        for name, value in signals.SIGNAL_HEADERS.get(self.signal, {}).items():
            self.send_header(name, value)

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
            backend.server_id, request_id, time.monotonic(), response_mode
        )
        backend.executions.append(execution)
        if response_mode == "drop":
            self.close_connection = True
        elif response_mode == "error":
            self.respond(500, {SIGNATURE_HEADER: backend.server_id}, b"failed")
        elif response_mode == "foreign":
            headers = {
                SIGNATURE_HEADER: backend.server_id,
                ATTEMPT_ID_HEADER: "another",
            }
            self.respond(200, headers, body_of("another"))
        elif response_mode == "unsigned":
            self.respond(200, {}, body_of(request_id))
        elif "/stream/" in self.path:
            last = int(self.headers.get("Last-Event-Id", 0))
            self.send_stream(request_id, last, truncated=response_mode == "break")
        else:
            time.sleep(PROCESSING_TIME_S)
            data = body_of(request_id)
            if response_mode == "break":
                self.respond(
                    200,
                    {SIGNATURE_HEADER: backend.server_id},
                    data,
                    sent=len(data) // 2,
                )
                self.close_connection = True
            else:
                self.respond(200, {SIGNATURE_HEADER: backend.server_id}, data)

    def respond(self, status, headers, data, sent=None):
        """Answer with *data*, or only its first *sent* bytes."""
        self.send_status(status)
        self.send_header(
            ATTEMPT_ID_HEADER,
            headers.pop(ATTEMPT_ID_HEADER, self.headers[ATTEMPT_ID_HEADER]),
        )
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data[:sent])

    def send_stream(self, request_id, last, truncated):
        """Events after *last*, broken off inside one if *broken*."""
        self.send_status(200)
        self.send_header(ATTEMPT_ID_HEADER, request_id)
        self.send_header(SIGNATURE_HEADER, self.server.backend.server_id)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(last + 1, EVENT_COUNT + 1):
            time.sleep(EVENT_INTERVAL_S)
            data = event(request_id, number)
            if truncated and number == last + 3:
                self.send_chunk(data[:7])
                self.close_connection = True
                return
            self.send_chunk(data)
        self.send_chunk(b"")

    def send_chunk(self, data):
        """One piece of a chunked body; an empty one ends it."""
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
