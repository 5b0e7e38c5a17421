"""A fault-injecting TCP proxy, steered over HTTP.

It forwards every connection it accepts to one target and applies the
fault in force to the bytes going ``up`` (caller to target), ``down``
(target to caller) or ``both``:

==========  ===============================================================
mode        effect
==========  ===============================================================
``pass``    forward at once
``delay``   hold each piece ``delay_ms`` before forwarding
``reorder`` hold each piece a random 0 to ``delay_ms``, keeping order
            within a connection, so answers overtake each other across
            connections
``freeze``  hold everything until the mode changes, then release in order
``drop``    discard the bytes; connections stay open (a black hole)
``cut``     close every connection and refuse new ones
==========  ===============================================================

Pieces are never duplicated: the proxy sees bytes, not messages, and it
parses no protocol. Repeated messages are tested where they arise, in our
own retries.

HTTP: ``POST /fault`` ``{"mode", "direction", "delay_ms"}``; ``GET /fault``.
"""

from __future__ import annotations

import collections
import json
import random

import attrs
from klein import Klein
from twisted.internet import endpoints, protocol

from dunlinpoint import clock

MODES = frozenset({"pass", "delay", "reorder", "freeze", "drop", "cut"})
DIRECTIONS = frozenset({"up", "down", "both"})


class FaultError(ValueError):
    """A fault order that names no known mode or direction."""


@attrs.define
class Fault:
    """The fault in force."""

    mode: str = "pass"
    direction: str = "both"
    delay_ms: int = 0

    @classmethod
    def from_order(cls, order):
        """A ``Fault`` from a JSON order; raises ``FaultError``."""
        fault = cls(
            mode=order.get("mode", "pass"),
            direction=order.get("direction", "both"),
            delay_ms=int(order.get("delay_ms", 0)),
        )
        if fault.mode not in MODES or fault.direction not in DIRECTIONS:
            raise FaultError(f"unknown fault {order!r}")
        return fault

    def applies(self, direction):
        return self.direction in ("both", direction)


@attrs.define(eq=False)
class Pipe:
    """One direction of one proxied connection, with what it holds back."""

    direction: str
    to: object = None
    held: list = attrs.field(factory=list)
    delayed: collections.deque = attrs.field(factory=collections.deque)
    release_ms: int = 0


@attrs.define
class Proxy:
    """Target, fault in force, and the live connections."""

    target: tuple
    reactor: object = None
    fault: Fault = attrs.field(factory=Fault)
    links: set = attrs.field(factory=set)
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    forwarded: int = 0

    def steer(self, fault):
        """Put *fault* in force; release what a freeze held."""
        self.fault = fault
        for link in list(self.links):
            if fault.mode == "cut":
                link.transport.abortConnection()
                continue
            for pipe in (link.up, link.down):
                if fault.mode != "freeze" or not fault.applies(pipe.direction):
                    held, pipe.held = pipe.held, []
                    for data in held:
                        self.send(pipe, data)

    def carry(self, pipe, data):
        """Apply the fault in force to *data* going through *pipe*."""
        fault = self.fault
        if not fault.applies(pipe.direction) or fault.mode == "pass":
            if pipe.held:
                pipe.held.append(data)
            elif pipe.delayed:
                # Sent at once, it would overtake what is still delayed, which
                # no connection does: a stream came out with its events swapped.
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
        """Send *data* after *wait_ms*, and after all that is delayed already."""
        now = clock.Clock(self.reactor).now()
        pipe.release_ms = max(pipe.release_ms, now + wait_ms)
        pipe.delayed.append(data)
        self.reactor.callLater(clock.seconds(pipe.release_ms - now), self.release, pipe)

    def release(self, pipe):
        """Send the piece that was delayed first."""
        self.send(pipe, pipe.delayed.popleft())

    def send(self, pipe, data):
        if pipe.to is not None and pipe.to.transport is not None:
            self.forwarded += len(data)
            pipe.to.transport.write(data)


class Outbound(protocol.Protocol):
    """The proxy's connection to the target."""

    def __init__(self, inbound):
        self.inbound = inbound

    def dataReceived(self, data):
        self.inbound.proxy.carry(self.inbound.down, data)

    def connectionLost(self, reason):
        if self.inbound.transport is not None:
            self.inbound.transport.loseConnection()


class Inbound(protocol.Protocol):
    """A caller's connection to the proxy."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.up = Pipe("up")
        self.down = Pipe("down", to=self)
        self.outbound = None

    def connectionMade(self):
        if self.proxy.fault.mode == "cut":
            self.transport.abortConnection()
            return
        self.proxy.links.add(self)
        self.transport.pauseProducing()
        host, port = self.proxy.target
        endpoint = endpoints.TCP4ClientEndpoint(self.proxy.reactor, host, port)
        d = endpoints.connectProtocol(endpoint, Outbound(self))
        d.addCallbacks(self._connected, lambda failure: self.transport.loseConnection())

    def _connected(self, outbound):
        self.outbound = outbound
        self.up.to = outbound
        self.transport.resumeProducing()

    def dataReceived(self, data):
        self.proxy.carry(self.up, data)

    def connectionLost(self, reason):
        self.proxy.links.discard(self)
        if self.outbound is not None and self.outbound.transport is not None:
            self.outbound.transport.loseConnection()


def factory(proxy):
    """The server factory that proxies each accepted connection."""
    return protocol.Factory.forProtocol(lambda: Inbound(proxy))


def app(proxy):
    """The steering HTTP interface."""
    web = Klein()

    @web.route("/fault", methods=["POST"])
    def put(request):
        try:
            fault = Fault.from_order(json.loads(request.content.read() or b"{}"))
        except (FaultError, ValueError) as exc:
            request.setResponseCode(400)
            return json.dumps({"error": str(exc)})
        proxy.steer(fault)
        return json.dumps(attrs.asdict(fault))

    @web.route("/fault", methods=["GET"])
    def get(request):
        return json.dumps(attrs.asdict(proxy.fault) | {"forwarded": proxy.forwarded})

    return web
