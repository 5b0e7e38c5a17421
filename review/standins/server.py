"""A sound server of a service, as PROTOCOL.md tells, and a client of the entries.

The server announces itself to the nodes that serve the control plane, runs requests
that are meant for it and records each run. Servers of this module never fail.
"""

import http.client
import http.server
import itertools
import json
import socket
import struct
import threading
import time

from standins import deployment

HEARTBEAT_S = 1.2
WORK_S = 0.015
STREAM_PREFIX = "/draft/"
EVENTS = 8
EVENT_S = 0.01
# A server that breaks off a stream does so this long after its last event.
BREAK_OFF_S = 0.05


def event_of(attempt, number):
    """The bytes of one event of a stream; they name the request and the position."""
    return f"id: {number}\ndata: piece {number} of {attempt}\n\n".encode()


class QuietServer(http.server.ThreadingHTTPServer):
    """A server that logs no error when a connection ends early."""

    daemon_threads = True
    allow_reuse_address = False

    def handle_error(self, request, client_address):
        """Connections that end early are expected."""


class Server:
    """One start of a server: its id, its runs and its heartbeats."""

    numbers = itertools.count(1)

    def __init__(self, deployed, service, number, zone, faults=None):
        """*faults* draws what is wrong with an answer: it has ``breaks_off()`` and
        ``fails()``. Without it, nothing is.
        """
        self.deployed = deployed
        self.faults = faults
        self.service, self.zone = service, zone
        self.server_id = f"i-{next(self.numbers):08x}"
        self.runs = []
        self.sequence = 0
        self.state = "ready"
        self.ended = threading.Event()
        host = deployed.address(number)
        self.http_server = QuietServer((host, 0), Handler)
        self.http_server.owner = self
        self.address = f"{host}:{self.http_server.server_address[1]}"
        threading.Thread(target=self.http_server.serve_forever, daemon=True).start()

    def announce_to(self, nodes):
        """Send heartbeats to *nodes*, one after the other, until the server ends."""

        def beat():
            turn = 0
            while not self.ended.is_set():
                for _ in nodes:
                    if self.send_heartbeat(nodes[turn % len(nodes)]):
                        break
                    turn += 1
                self.ended.wait(HEARTBEAT_S)

        threading.Thread(target=beat, daemon=True).start()

    def send_heartbeat(self, node):
        """Send one heartbeat to *node*; whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldLeftMs": 0,
            "seqNo": self.sequence,
        }
        status, _ = deployment.call(
            node.host,
            self.deployed.control_port,
            "POST",
            f"/api/instances/{self.server_id}/heartbeat",
            json.dumps(body),
            {"Content-Type": "application/json"},
        )
        return status == 200

    def stop(self):
        """End the server."""
        self.ended.set()
        self.http_server.shutdown()
        self.http_server.server_close()


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection to a server."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def answer(self, status, body, **headers):
        """Send an answer whose headers have this project's prefix."""
        self.send_response(status)
        attempt = self.headers["X-Dunlinpoint-Attempt-Id"]
        if attempt is not None:
            self.send_header("X-Dunlinpoint-Attempt-Id", attempt)
        for name, value in headers.items():
            self.send_header(f"X-Dunlinpoint-{name.replace('_', '-')}", value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        owner = self.server.owner
        if self.path == "/healthz":
            self.answer(200, b"", Instance_Id=owner.server_id)
        else:
            self.run_request()

    def do_POST(self):
        self.run_request()

    def run_request(self):
        """Run the request and record it."""
        owner = self.server.owner
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        attempt = self.headers["X-Dunlinpoint-Attempt-Id"]
        target = self.headers["X-Dunlinpoint-Target-Instance"]
        if target is not None and target != owner.server_id:
            self.answer(421, b"", Not_Executed="1")
            return
        if attempt is None:
            self.answer(400, b"", Not_Executed="1")
            return
        tenant = self.headers["X-Dunlinpoint-Tenant"]
        owner.runs.append(attempt)
        owner.deployed.record.write(
            f"{owner.server_id} runs {attempt}, tenant {tenant}, {self.path}"
        )
        faults = owner.faults
        if faults is not None and faults.fails():
            owner.deployed.record.write(f"{owner.server_id} fails {attempt}")
            signature = f"{owner.server_id}.{attempt}"
            self.answer(404, b"no such draft", Server_Signature=signature)
            return
        if self.path.startswith(STREAM_PREFIX):
            self.send_stream(attempt, int(self.headers.get("Last-Event-Id", 0)))
            return
        time.sleep(WORK_S)
        body = f"answer to {attempt} ".encode() * 20
        self.answer(200, body, Server_Signature=f"{owner.server_id}.{attempt}")

    def send_stream(self, attempt, last):
        """Send the events after *last*, in chunks."""
        owner = self.server.owner
        breaks_off = owner.faults is not None and owner.faults.breaks_off()
        self.send_response(200)
        self.send_header("X-Dunlinpoint-Attempt-Id", attempt)
        signature = f"{owner.server_id}.{attempt}"
        self.send_header("X-Dunlinpoint-Server-Signature", signature)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(last + 1, EVENTS + 1):
            time.sleep(EVENT_S)
            if breaks_off and number == EVENTS // 2 + 1:
                time.sleep(BREAK_OFF_S)
                owner.deployed.record.write(f"{owner.server_id} breaks off {attempt}")
                self.reset()
                return
            event = event_of(attempt, number)
            self.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        self.wfile.write(b"0\r\n\r\n")

    def reset(self):
        """Reset the connection."""
        linger = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close_connection = True
        self.connection.close()


class Client:
    """Sends requests to entries, each with its own id."""

    def __init__(self, deployed):
        self.deployed = deployed
        self.numbers = itertools.count(1)

    def send(self, node, path, key=None, method="POST", deadline_ms=1500):
        """Send one request; its id and the status of its answer."""
        attempt = f"{next(self.numbers):016x}"
        headers = {
            "Host": "desk.example",
            "X-Dunlinpoint-Attempt-Id": attempt,
            "X-Dunlinpoint-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        status, _ = deployment.call(
            node.host,
            self.deployed.front_port,
            method,
            path,
            b"{}" if method == "POST" else None,
            headers,
            deadline_ms / 1000,
        )
        self.deployed.record.write(
            f"{attempt} sent to {node.name} with key {key}: {status}"
        )
        return attempt, status

    def wait_until_served(self, nodes, path, key):
        """Wait until each of *nodes* serves a request with *key*."""
        until_s = time.monotonic() + 15
        for node in nodes:
            while self.send(node, path, key)[1] != 200:
                if time.monotonic() > until_s:
                    raise deployment.CannotRun("nothing is served")
                time.sleep(0.3)

    def stream(self, node, key):
        """Ask for a stream; its id, the status and the body if it came whole.

        The body is ``None`` if the connection ended before the last chunk.
        """
        attempt = f"{next(self.numbers):016x}"
        host, port = node.host, self.deployed.front_port
        connection = http.client.HTTPConnection(host, port, timeout=8)
        headers = {
            "Host": "desk.example",
            "X-Dunlinpoint-Attempt-Id": attempt,
            "X-Dunlinpoint-Deadline-Ms": "8000",
            "Authorization": f"Bearer {key}",
        }
        status, body = None, None
        try:
            connection.request("POST", f"{STREAM_PREFIX}x", b"{}", headers)
            answer = connection.getresponse()
            status = answer.status
            body = answer.read()
        except (OSError, http.client.HTTPException):
            body = None
        finally:
            connection.close()
        return attempt, status, body
