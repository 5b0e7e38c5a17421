"""A fault-injecting TCP proxy, controlled over HTTP.

It forwards every accepted connection to one target and applies the current fault to
the bytes going ``up`` (caller to target), ``down`` (target to caller) or ``both``:

==========  ===============================================================
mode        effect
==========  ===============================================================
``pass``    forward at once
``delay``   forward each chunk after ``delay_ms``
``reorder`` forward each chunk after a random 0 to ``delay_ms``; the order is
            kept within a connection, but not across connections
``freeze``  hold all bytes until the mode changes, then release in order
``drop``    discard the bytes; connections stay open (a black hole)
``cut``     abort every connection, and new ones on accept
==========  ===============================================================

Chunks are never duplicated: the proxy forwards bytes and parses no protocol, so it
can't repeat a message. Repeated messages are tested where retries send them.

HTTP: ``POST /fault`` ``{"mode", "direction", "delay_ms"}``; ``GET /fault``.
"""

from __future__ import annotations

import collections
import json
import random

import attrs
from klein import Klein
from twisted.internet import endpoints, error, protocol

from dunlinpoint import clock

MODES = frozenset({"pass", "delay", "reorder", "freeze", "drop", "cut"})
DIRECTIONS = frozenset({"up", "down", "both"})


class FaultError(ValueError):
    """A requested fault has an unknown mode or direction."""


@attrs.define
class Fault:
    """The current fault."""

    mode: str = "pass"
    direction: str = "both"
    delay_ms: int = 0

    @classmethod
    def from_json(cls, fields):
        """A ``Fault`` from a decoded JSON object; raises ``FaultError``."""
        fault = cls(
            mode=fields.get("mode", "pass"),
            direction=fields.get("direction", "both"),
            delay_ms=int(fields.get("delay_ms", 0)),
        )
        if fault.mode not in MODES or fault.direction not in DIRECTIONS:
            raise FaultError(f"unknown fault {fields!r}")
        return fault

    def applies(self, direction):
        return self.direction in ("both", direction)


@attrs.define(eq=False)
class Pipe:
    """One direction of one proxied connection, with its held and delayed chunks.

    ``has_ended`` tells that its sender has closed the connection.
    """

    direction: str
    receiver: object = None
    held: list = attrs.field(factory=list)
    delayed: collections.deque = attrs.field(factory=collections.deque)
    release_ms: int = 0
    has_ended: bool = False


@attrs.define
class Proxy:
    """The target, the current fault and the open connections."""

    target: tuple
    reactor: object = None
    fault: Fault = attrs.field(factory=Fault)
    connections: set = attrs.field(factory=set)
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    forwarded: int = 0

    def set_fault(self, fault):
        """Make *fault* the current one; release chunks that a freeze held."""
        self.fault = fault
        for connection in list(self.connections):
            if fault.mode == "cut":
                connection.transport.abortConnection()
                continue
            for pipe in (connection.up, connection.down):
                if fault.mode != "freeze" or not fault.applies(pipe.direction):
                    held, pipe.held = pipe.held, []
                    for data in held:
                        self.send(pipe, data)
                    self.close_if_ended(pipe)

    def forward(self, pipe, data):
        """Apply the current fault to *data* going through *pipe*."""
        fault = self.fault
        if not fault.applies(pipe.direction) or fault.mode == "pass":
            if pipe.held:
                pipe.held.append(data)
            elif pipe.delayed:
                # Sent at once, it would overtake delayed chunks of the same
                # connection, which TCP never does: a stream's events were swapped.
                self.delay(pipe, data, 0)
            else:
                self.send(pipe, data)
        elif fault.mode == "freeze":
            pipe.held.append(data)
        elif fault.mode == "delay":
            self.delay(pipe, data, fault.delay_ms)
        elif fault.mode == "reorder":
            self.delay(pipe, data, self.rng.randint(0, fault.delay_ms))

    def delay(self, pipe, data, wait_ms):
        """Send *data* after *wait_ms*, and after all chunks already delayed."""
        now = clock.Clock(self.reactor).now()
        pipe.release_ms = max(pipe.release_ms, now + wait_ms)
        pipe.delayed.append(data)
        self.reactor.callLater(clock.seconds(pipe.release_ms - now), self.release, pipe)

    def release(self, pipe):
        """Send the oldest delayed chunk."""
        self.send(pipe, pipe.delayed.popleft())
        self.close_if_ended(pipe)

    def end(self, pipe, reason):
        """Pass on that the sender of *pipe* has closed or reset its connection.

        The end of a connection does not overtake what was sent before: an answer that
        ends with its connection would look whole without its last bytes.
        """
        if reason.check(error.ConnectionDone):
            pipe.has_ended = True
            self.close_if_ended(pipe)
        elif pipe.receiver is not None and pipe.receiver.transport is not None:
            pipe.receiver.transport.abortConnection()

    def close_if_ended(self, pipe):
        """Close the connection to the receiver once all of *pipe* has been sent."""
        if not pipe.has_ended or pipe.held or pipe.delayed:
            return
        if pipe.receiver is not None and pipe.receiver.transport is not None:
            pipe.receiver.transport.loseConnection()

    def send(self, pipe, data):
        if pipe.receiver is not None and pipe.receiver.transport is not None:
            self.forwarded += len(data)
            pipe.receiver.transport.write(data)


class Outbound(protocol.Protocol):
    """The proxy's connection to the target."""

    def __init__(self, inbound):
        self.inbound = inbound

    def dataReceived(self, data):
        self.inbound.proxy.forward(self.inbound.down, data)

    def connectionLost(self, reason):
        self.inbound.proxy.end(self.inbound.down, reason)


class Inbound(protocol.Protocol):
    """A caller's connection to the proxy."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.up = Pipe("up")
        self.down = Pipe("down", receiver=self)
        self.outbound = None

    def connectionMade(self):
        if self.proxy.fault.mode == "cut":
            self.transport.abortConnection()
            return
        self.proxy.connections.add(self)
        self.transport.pauseProducing()
        host, port = self.proxy.target
        endpoint = endpoints.TCP4ClientEndpoint(self.proxy.reactor, host, port)
        d = endpoints.connectProtocol(endpoint, Outbound(self))
        d.addCallbacks(self._connected, lambda failure: self.transport.loseConnection())

    def _connected(self, outbound):
        self.outbound = outbound
        self.up.receiver = outbound
        self.transport.resumeProducing()

    def dataReceived(self, data):
        self.proxy.forward(self.up, data)

    def connectionLost(self, reason):
        self.proxy.connections.discard(self)
        if self.outbound is not None and self.outbound.transport is not None:
            self.outbound.transport.loseConnection()


def factory(proxy):
    """The server factory that proxies each accepted connection."""
    return protocol.Factory.forProtocol(lambda: Inbound(proxy))


def app(proxy):
    """The HTTP interface that sets and shows the current fault."""
    web = Klein()

    @web.route("/fault", methods=["POST"])
    def put(request):
        try:
            fault = Fault.from_json(json.loads(request.content.read() or b"{}"))
        except (FaultError, ValueError) as exc:
            request.setResponseCode(400)
            return json.dumps({"error": str(exc)})
        proxy.set_fault(fault)
        return json.dumps(attrs.asdict(fault))

    @web.route("/fault", methods=["GET"])
    def get(request):
        return json.dumps(attrs.asdict(proxy.fault) | {"forwarded": proxy.forwarded})

    return web
