"""Callers and the operator, and what they saw.

A caller keeps its connection open and uses it until it is closed by the other
side or breaks; then it opens another one, to any entry.
"""

import http.client
import json
import random
import threading
import time

import attrs

from dunlinpoint.soak import servers, world

CALLERS = 6
THINK_S = (0.01, 0.15)
DEADLINE_MS = 3000
# An operator sends a document again until it is acknowledged.
SEND_ROUNDS = 20
SEND_PAUSE_S = 0.2
KINDS = ("/once/", "/often/", "/stream/")


@attrs.define
class Seen:
    """One request as its caller saw it end; *status* is 0 without an answer."""

    request_id: str
    kind: str
    entry: str
    life: int
    sent_s: float
    ended_s: float
    status: int
    mark: str | None
    body: bytes
    whole: bool


@attrs.define(eq=False)
class Caller:
    """One caller with its kept connection."""

    world: world.World
    number: int
    seen: list
    rng: random.Random
    connection: http.client.HTTPConnection | None = None
    node: world.Node | None = None
    count: int = 0

    def run(self):
        """Send requests one after the other until the run ends."""
        while not self.world.ended.wait(self.rng.uniform(*THINK_S)):
            self.one()
        self.close()

    def close(self):
        """Drop the kept connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def one(self):
        """Send one request and note how it ended."""
        if self.connection is None:
            self.node = self.rng.choice(self.world.entries)
            self.connection = http.client.HTTPConnection(
                self.node.host, self.world.port, timeout=DEADLINE_MS / 1000 + 1
            )
        self.count += 1
        kind = self.rng.choice(KINDS)
        request_id = f"{self.number}-{self.count}"
        life, sent_s = self.node.lives, time.monotonic()
        status, mark, body, whole = self.exchange(kind, request_id)
        ended_s = time.monotonic()
        name = self.node.name
        self.seen.append(
            Seen(
                request_id, kind, name, life, sent_s, ended_s, status, mark, body, whole
            )
        )

    def exchange(self, kind, request_id):
        """``(status, mark, body, whole)`` of one request."""
        headers = {
            "Host": world.HOST,
            "Authorization": f"Bearer {world.KEY}",
            servers.ID: request_id,
            "X-Dunlinpoint-Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            self.connection.request("POST", f"{kind}x", b"{}", headers)
            answer = self.connection.getresponse()
        except (OSError, http.client.HTTPException):
            self.close()
            return 0, None, b"", False
        mark = answer.headers[servers.MARK]
        try:
            body, whole = answer.read(), True
        except http.client.IncompleteRead as exc:
            body, whole = exc.partial, False
        except (OSError, http.client.HTTPException):
            body, whole = b"", False
        if not whole or answer.will_close:
            self.close()
        return answer.status, mark, body, whole


@attrs.define
class Acked:
    """A document that a control acknowledged, and when."""

    version: int
    at_s: float


@attrs.define
class Read:
    """A document that a control gave back, when asked and from which one."""

    version: int
    asked_s: float
    node: str


@attrs.define
class Drained:
    """A back end whose leaving was acknowledged."""

    server_id: str
    at_s: float


@attrs.define(eq=False)
class Operator:
    """Sends documents with growing numbers, and reads them back."""

    world: world.World
    rng: random.Random
    version: int = 0
    acked: list = attrs.field(factory=list)
    reads: list = attrs.field(factory=list)
    drained: list = attrs.field(factory=list)

    def document(self, version):
        """The document with this number."""
        routes = [
            {
                "name": kind.strip("/"),
                "host": world.HOST,
                "pathPrefix": kind,
                "routeKind": routed,
                "timeoutMs": DEADLINE_MS,
                "service": "desk",
                "maxAttempts": 2,
                "resumable": routed == "streaming",
            }
            for kind, routed in zip(
                KINDS, ("non_idempotent", "idempotent", "streaming"), strict=True
            )
        ]
        return {
            "version": version,
            "routes": routes,
            "services": [{"name": "desk", "healthPath": "/healthz", "maxConns": 99}],
            "tenants": [{"name": "brand", "apiKeys": [world.KEY]}],
        }

    def change(self, racing):
        """Send *racing* documents at once, each to a control of its own."""
        for _ in range(racing):
            self.version += self.rng.randint(1, 3)
            order = list(self.world.controls)
            self.rng.shuffle(order)
            args = self.version, order
            threading.Thread(target=self.send, args=args, daemon=True).start()

    def send(self, version, order):
        """Send a document to one control after the other until one acknowledges."""
        body = json.dumps(self.document(version))
        for node in order * SEND_ROUNDS:
            if self.world.ended.is_set():
                return
            if self.put(node, body) == 200:
                self.acked.append(Acked(version, time.monotonic()))
                return
            time.sleep(SEND_PAUSE_S)

    def put(self, node, body):
        """Send a document to one control; its status, 0 without an answer."""
        path = "/api/config/replace"
        try:
            return world.ask(node.host, self.world.admin_port, "POST", path, body)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def read(self):
        """Ask every control for the document."""
        for node in self.world.controls:
            asked_s = time.monotonic()
            try:
                status, _, body = world.ask(
                    node.host, self.world.admin_port, "GET", "/api/config/read"
                )
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                number = json.loads(body)["version"]
                self.reads.append(Read(number, asked_s, node.name))

    def drain(self, index):
        """Have one back end leave, if enough others stay."""
        staying = [b for b in self.world.backends if not b.draining]
        if len(staying) <= 2:
            return
        backend = staying[index % len(staying)]
        backend.draining = True
        port = self.world.proxies[self.world.backends.index(backend)][1]
        if self.world.announce(backend, port):
            self.drained.append(Drained(backend.server_id, time.monotonic()))
