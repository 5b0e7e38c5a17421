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

from dunlinpoint.soak import notices

ID = "X-Dunlinpoint-Attempt-Id"
MARK = "X-Dunlinpoint-Server-Signature"
NOT_RUN = "X-Dunlinpoint-Not-Executed"
TARGET = "X-Dunlinpoint-Target-Instance"
EVENTS = 8
EVENT_S = 0.04
WORK_S = 0.02
# What a server does with a request, and how often of a hundred.
MOODS = {
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


class Quiet(http.server.ThreadingHTTPServer):
    """A server whose callers may leave at any moment, as a matter of course."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        """Connections that break are what a soak is about."""


@attrs.define
class Run:
    """One request that a server began to work on."""

    server_id: str
    request_id: str
    at_s: float
    mood: str


@attrs.define(eq=False)
class Backend:
    """One server: where it listens, what it ran, whether it is leaving."""

    server_id: str
    service: str
    rng: random.Random
    runs: list
    port: int = 0
    http: object = None
    draining: bool = False
    gone: bool = False
    sequence: int = 0
    spell: notices.Spell | None = None
    arrivals: list = attrs.field(factory=list)

    def said(self, now_s):
        """What it says of itself at *now_s*, or ``None``."""
        spell = self.spell
        if spell is None or not spell.from_s <= now_s < spell.to_s:
            return None
        return spell.kind

    def start(self):
        """Listen on a free port of the loopback address."""
        server = Quiet(("127.0.0.1", 0), Handler)
        server.backend = self
        self.port = server.server_address[1]
        self.http = server
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def stop(self):
        """Take no more connections."""
        self.http.shutdown()
        self.http.server_close()

    def mood(self):
        """What to do with the next request."""
        return self.rng.choices(list(MOODS), MOODS.values())[0]


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection to a back end."""

    protocol_version = "HTTP/1.1"
    said = None

    def log_message(self, *args):
        pass

    def begin(self, status):
        """The status line, and what the back end says of itself."""
        self.send_response(status)
        for name, value in notices.HEADERS.get(self.said, {}).items():
            self.send_header(name, value)

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        backend = self.server.backend
        request_id = self.headers[ID]
        if self.headers.get(TARGET) != backend.server_id:
            self.head(421, {NOT_RUN: "1"}, b"")
            return
        now_s = time.monotonic()
        self.said = backend.said(now_s)
        backend.arrivals.append(
            notices.Arrival(backend.server_id, request_id, now_s, self.said)
        )
        if self.said == notices.REST:
            self.head(503, {NOT_RUN: "1"}, b"")
            return
        mood = backend.mood()
        if mood == "full":
            self.head(503, {NOT_RUN: "1"}, b"")
            return
        run = Run(backend.server_id, request_id, time.monotonic(), mood)
        backend.runs.append(run)
        if mood == "drop":
            self.close_connection = True
        elif mood == "error":
            self.head(500, {MARK: backend.server_id}, b"failed")
        elif mood == "foreign":
            marked = {MARK: backend.server_id, ID: "another"}
            self.head(200, marked, body_of("another"))
        elif mood == "unsigned":
            self.head(200, {}, body_of(request_id))
        elif "/stream/" in self.path:
            last = int(self.headers.get("Last-Event-Id", 0))
            self.stream(request_id, last, broken=mood == "break")
        else:
            time.sleep(WORK_S)
            data = body_of(request_id)
            if mood == "break":
                self.head(200, {MARK: backend.server_id}, data, sent=len(data) // 2)
                self.close_connection = True
            else:
                self.head(200, {MARK: backend.server_id}, data)

    def head(self, status, headers, data, sent=None):
        """Answer with *data*, or only its first *sent* bytes."""
        self.begin(status)
        self.send_header(ID, headers.pop(ID, self.headers[ID]))
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data[:sent])

    def stream(self, request_id, last, broken):
        """Events after *last*, broken off inside one if *broken*."""
        self.begin(200)
        self.send_header(ID, request_id)
        self.send_header(MARK, self.server.backend.server_id)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(last + 1, EVENTS + 1):
            time.sleep(EVENT_S)
            data = event(request_id, number)
            if broken and number == last + 3:
                self.chunk(data[:7])
                self.close_connection = True
                return
            self.chunk(data)
        self.chunk(b"")

    def chunk(self, data):
        """One piece of a chunked body; an empty one ends it."""
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
