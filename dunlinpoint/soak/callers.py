"""Callers and the operator, and a record of their results.

A caller keeps its connection alive until the entry closes it or it breaks, then
connects to a randomly chosen entry.
"""

import http.client
import json
import random
import socket
import threading
import time

import attrs

from dunlinpoint.soak import cluster, cold, evacuations, servers

CALLERS = 6
# Callers that read slowly: how much of an answer they read at once and how long they
# wait before. The longest waits are beyond the time for which backends wait.
SLOW_CALLERS = 2
SLOW_READ_BYTES = 64 * 1024
SLOW_READ_WAIT_S = (0.0, 0.1)
LONG_WAIT_S = 1.5
LONG_WAIT_SHARE = 0.03
SLOW_BUFFER_BYTES = 32 * 1024
THINK_TIME_S = (0.01, 0.15)
DEADLINE_MS = 3000
# Some streams have less time than they take (``servers.STREAM_MS``). It differs by
# milliseconds, as rounding decides whether the entry or the backend stops first.
SHORT_DEADLINE_SHARE = 0.2
SHORT_DEADLINE_MS = (150, 250)
# The most times that the operator sends one document to each control.
SEND_ATTEMPTS = 20
RESEND_INTERVAL_S = 0.2
PATH_PREFIXES = ("/once/", "/often/", "/stream/")
ROUTE_KIND_BY_PREFIX = {
    "/once/": "non_idempotent",
    "/often/": "idempotent",
    "/stream/": "streaming",
    servers.LARGE_STREAM_PREFIX: "streaming",
}


@attrs.define
class RequestResult:
    """The result of one request at its caller; *status* is 0 without an answer."""

    request_id: str
    path_prefix: str
    entry: str
    incarnation: int
    sent_s: float
    ended_s: float
    status: int
    signature: str | None
    body: bytes
    is_complete: bool
    was_left_unread: bool = False
    deadline_ms: int = DEADLINE_MS


def draw_deadline_ms(path_prefix, request_id):
    """Draw the deadline of a request, apart from the other draws of its seed."""
    rng = random.Random(request_id)
    if path_prefix == "/stream/" and rng.random() < SHORT_DEADLINE_SHARE:
        return rng.randint(*SHORT_DEADLINE_MS)
    return DEADLINE_MS


@attrs.define(eq=False)
class Caller:
    """One caller with its persistent connection."""

    connection_class = http.client.HTTPConnection

    cluster: cluster.Cluster
    number: int
    results: list
    rng: random.Random
    connection: http.client.HTTPConnection | None = None
    node: cluster.Node | None = None
    request_count: int = 0
    has_waited_long: bool = False

    def run(self):
        """Send requests one after the other until the run ends."""
        while not self.cluster.stop_event.wait(self.rng.uniform(*THINK_TIME_S)):
            self.send_request()
        self.close()

    def close(self):
        """Close the persistent connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def send_request(self):
        """Send one request and record its result."""
        if self.connection is None:
            self.node = self.rng.choice(self.cluster.entries)
            self.connection = self.connection_class(
                self.node.host, self.cluster.port, timeout=DEADLINE_MS / 1000 + 1
            )
        self.request_count += 1
        path_prefix = self.choose_path_prefix()
        request_id = f"{self.number}-{self.request_count}"
        incarnation, sent_s = self.node.start_count, time.monotonic()
        self.has_waited_long = False
        deadline_ms = draw_deadline_ms(path_prefix, request_id)
        status, signature, body, is_complete = self.exchange(
            path_prefix, request_id, deadline_ms
        )
        ended_s = time.monotonic()
        name = self.node.name
        self.results.append(
            RequestResult(
                request_id,
                path_prefix,
                name,
                incarnation,
                sent_s,
                ended_s,
                status,
                signature,
                body,
                is_complete,
                self.has_waited_long,
                deadline_ms,
            )
        )

    def choose_path_prefix(self):
        """Choose the kind of the next request."""
        return self.rng.choice(PATH_PREFIXES)

    def read(self, answer):
        """Read the body of *answer*."""
        return answer.read()

    def exchange(self, path_prefix, request_id, deadline_ms):
        """``(status, signature, body, is_complete)`` of one request."""
        headers = {
            "Host": cluster.HOST,
            "Authorization": f"Bearer {cluster.API_KEY}",
            servers.ATTEMPT_ID_HEADER: request_id,
            servers.DEADLINE_HEADER: str(deadline_ms),
        }
        try:
            self.connection.request("POST", f"{path_prefix}x", b"{}", headers)
            answer = self.connection.getresponse()
        except (OSError, http.client.HTTPException):
            self.close()
            return 0, None, b"", False
        signature = answer.headers[servers.SIGNATURE_HEADER]
        try:
            body, is_complete = self.read(answer), True
        except http.client.IncompleteRead as exc:
            body, is_complete = exc.partial, False
        except (OSError, http.client.HTTPException):
            body, is_complete = b"", False
        if not is_complete or answer.will_close:
            self.close()
        return answer.status, signature, body, is_complete


class SlowConnection(http.client.HTTPConnection):
    """A connection with a small receive buffer."""

    def connect(self):
        """Connect; the buffer's size has to be set before."""
        self.sock = socket.socket()
        self.sock.settimeout(self.timeout)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        self.sock.connect((self.host, self.port))


class SlowCaller(Caller):
    """A caller that reads large streams slowly."""

    connection_class = SlowConnection

    def choose_path_prefix(self):
        return servers.LARGE_STREAM_PREFIX

    def read(self, answer):
        """Read the body of *answer* in pieces, with a wait before each."""
        body = bytearray()
        try:
            while piece := answer.read(SLOW_READ_BYTES):
                body += piece
                self.cluster.stop_event.wait(self.draw_wait_s())
        except http.client.IncompleteRead as exc:
            raise http.client.IncompleteRead(bytes(body) + exc.partial) from exc
        return bytes(body)

    def draw_wait_s(self):
        """Draw how long to wait before the next piece is read."""
        if self.rng.random() < LONG_WAIT_SHARE:
            self.has_waited_long = True
            return LONG_WAIT_S
        return self.rng.uniform(*SLOW_READ_WAIT_S)


@attrs.define
class AcknowledgedDocument:
    """A document version that a control acknowledged, and when."""

    version: int
    at_s: float


@attrs.define
class DocumentRead:
    """A document version read from control *node* on a request at *requested_s*."""

    version: int
    requested_s: float
    node: str


@attrs.define
class DrainedBackend:
    """A backend whose draining state a control acknowledged."""

    server_id: str
    at_s: float


@attrs.define(eq=False)
class Operator:
    """Replaces the document with increasing versions, and evacuates a zone."""

    cluster: cluster.Cluster
    rng: random.Random
    version: int = 0
    acknowledged: list = attrs.field(factory=list)
    reads: list = attrs.field(factory=list)
    drained: list = attrs.field(factory=list)
    evacuator: evacuations.Evacuator = attrs.field(
        default=attrs.Factory(
            lambda own: evacuations.Evacuator(own.cluster), takes_self=True
        )
    )

    def document(self, version):
        """The configuration document of *version*, as a dict."""
        routes = [
            {
                "name": path_prefix.strip("/"),
                "host": cluster.HOST,
                "pathPrefix": path_prefix,
                "routeKind": route_kind,
                "timeoutMs": DEADLINE_MS,
                "service": "desk",
                "maxAttempts": 2,
                "resumable": route_kind == "streaming",
            }
            for path_prefix, route_kind in ROUTE_KIND_BY_PREFIX.items()
        ]
        return {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": "desk",
                    "healthPath": "/healthz",
                    "maxConns": 99,
                    "coldPerS": self.cluster.cold_per_s,
                    "coldStartS": cold.START_S,
                }
            ],
            "tenants": [{"name": "brand", "apiKeys": [cluster.API_KEY]}],
        }

    def replace_document(self, count):
        """Send *count* documents concurrently, each to the controls in random order."""
        for _ in range(count):
            self.version += self.rng.randint(1, 3)
            order = list(self.cluster.controls)
            self.rng.shuffle(order)
            args = self.version, order
            threading.Thread(
                target=self.send_until_acknowledged, args=args, daemon=True
            ).start()

    def send_until_acknowledged(self, version, order):
        """Send a document to the controls in turn until one acknowledges it."""
        body = json.dumps(self.document(version))
        for node in order * SEND_ATTEMPTS:
            if self.cluster.stop_event.is_set():
                return
            if self.put_document(node, body) == 200:
                self.acknowledged.append(
                    AcknowledgedDocument(version, time.monotonic())
                )
                return
            time.sleep(RESEND_INTERVAL_S)

    def put_document(self, node, body):
        """Send a document to one control; the HTTP status, 0 without an answer."""
        path = "/api/config/replace"
        try:
            return cluster.http_request(
                node.host, self.cluster.admin_port, "POST", path, body
            )[0]
        except (OSError, http.client.HTTPException):
            return 0

    def read(self):
        """Read the document from every control and record its version."""
        for node in self.cluster.controls:
            requested_s = time.monotonic()
            try:
                status, _, body = cluster.http_request(
                    node.host, self.cluster.admin_port, "GET", "/api/config/read"
                )
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                number = json.loads(body)["version"]
                self.reads.append(DocumentRead(number, requested_s, node.name))

    def drain(self, index):
        """Drain one backend, if more than two are not draining."""
        remaining = [b for b in self.cluster.backends if not b.draining]
        if len(remaining) <= 2:
            return
        backend = remaining[index % len(remaining)]
        backend.draining = True
        port = self.cluster.proxies[self.cluster.backends.index(backend)][1]
        if self.cluster.send_heartbeat(backend, port):
            self.drained.append(DrainedBackend(backend.server_id, time.monotonic()))
