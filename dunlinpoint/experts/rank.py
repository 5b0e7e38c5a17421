"""One rank's engine, and what its agent answers the other ranks' agents.

The agent stands beside its rank's engine, whose report is fresh there and
costs the group nothing; read from another machine, a reading of the counts
stops the whole group for a moment.
"""

from __future__ import annotations

import json
import zlib

import attrs
import treq
from twisted.internet import defer, task
from twisted.web import client
from zope.interface import implementer

from dunlinpoint import clock, logs
from dunlinpoint.experts import messages, orders, window
from dunlinpoint.wire import rpc
from dunlinpoint.wire.gen.dunlin import Rank, ttypes

log = logs.logger("experts")

TIMEOUT_MS = 700
# An order's answer comes at once or not at all; it is given again sooner.
ORDER_TIMEOUT_MS = 150
# A rank's agent takes the document from its view, if it leads.
NO_DOCUMENT_WANTED = 1 << 62


class RankError(Exception):
    """The rank's engine did not answer, or not as a rank of a group."""


@attrs.frozen
class Calls:
    """Paths of an engine's own interface."""

    report: str = "/api/report"
    counts: str = "/api/picked"
    experts: str = "/api/picked?lists=1"
    order: str = "/api/order"


@attrs.frozen
class Engine:
    """The engine of one rank at *url*."""

    address: str
    calls: Calls
    read_state: object
    http: treq.client.HTTPClient

    @classmethod
    def from_config(cls, reactor, address, calls, read_state):
        """The engine at *address*; *read_state* turns its bodies into ours."""
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.retryAutomatically = False
        agent = client.Agent(reactor, pool=pool)
        http = treq.client.HTTPClient(agent)
        return cls(address, calls, read_state, http)

    @property
    def url(self):
        return f"http://{self.address}"

    def at(self, address):
        """The engine of another rank, at *address*."""
        return attrs.evolve(self, address=address)

    @defer.inlineCallbacks
    def _get(self, path):
        try:
            response = yield self.http.get(
                self.url + path, timeout=clock.seconds(TIMEOUT_MS)
            )
            body = yield response.json()
        except Exception as exc:
            raise RankError(repr(exc)) from exc
        return body

    @defer.inlineCallbacks
    def state(self, experts=False):
        """The rank's ``RankState``, with its *experts* if asked for.

        Raises ``RankError``, like :meth:`counts`.
        """
        report = yield self._get(self.calls.report)
        lists = (yield self._get(self.calls.experts)) if experts else None
        try:
            return self.read_state(report, lists)
        except (KeyError, TypeError) as exc:
            raise RankError(f"not a rank's report: {exc!r}") from exc

    @defer.inlineCallbacks
    def counts(self):
        """How often each expert of each set was chosen since the rank's start."""
        picked = yield self._get(self.calls.counts)
        try:
            return picked["counts"]
        except (KeyError, TypeError) as exc:
            raise RankError(f"not a rank's counts: {exc!r}") from exc

    @defer.inlineCallbacks
    def order(self, body_json):
        """Give the engine an order; its status, or 0 for no answer."""
        try:
            response = yield self.http.post(
                self.url + self.calls.order,
                data=body_json.encode(),
                headers={"Content-Type": "application/json"},
                timeout=clock.seconds(ORDER_TIMEOUT_MS),
            )
            yield response.content()
        except Exception:
            return 0
        return response.code


@implementer(Rank.Iface)
@attrs.define
class Handler:
    """Thrift methods of the ``Rank`` service.

    While *fenced*, the lead is refused: its deputy finishes for it.
    """

    engine: Engine
    clock: clock.Clock
    read_ms: int | None = None
    fenced: bool = False
    counter: window.Counter = attrs.field(factory=window.Counter)
    texts: orders.Texts = attrs.field(factory=orders.Texts)

    @defer.inlineCallbacks
    def state(self, counts, experts, leading):
        if leading and self.fenced:
            raise ttypes.Refused("fenced", 0)
        if leading:
            self.read_ms = self.clock.now()
        try:
            found = yield self.engine.state(experts)
            if counts:
                chosen = yield self.engine.counts()
                found.counts = window.pack(self.counter.grown(chosen, found.epoch))
        except RankError as exc:
            raise ttypes.Refused(str(exc), 0) from exc
        return found

    def order(self, packed, base):
        known = self.texts.get(base)
        if known is None:
            return orders.NEEDS_WHOLE
        try:
            text = orders.unpack(packed, known)
        except zlib.error as exc:
            log.error("order_unreadable", error=str(exc))
            return orders.NEEDS_WHOLE
        self.texts.keep(text)
        return self.engine.order(text)


def order_text(order):
    """An order (dict) as the body an engine takes."""
    return json.dumps(order, separators=(",", ":"))


@attrs.frozen
class Address:
    """Where a rank's agent is found by the others."""

    zone: str
    host: str
    port: int


def serve(reactor, engine, address):
    """Answer the other ranks' agents; the ``Handler`` that does."""
    handler = Handler(engine, clock.Clock(reactor))
    rpc.serve(reactor, Rank.Processor(handler), address.port, address.host)
    return handler


@defer.inlineCallbacks
def announce_once(engine, announcer, address):
    """Tell control which group the rank belongs to, while it belongs to one."""
    try:
        state = yield engine.state()
    except RankError:
        announcer.counters.retried("report_failed")
        return
    yield announce_state(engine, announcer, address, state)


def announce_state(engine, announcer, address, state):
    """Tell control how the rank's group stands, from its *state*."""
    beat = ttypes.Heartbeat(
        endpoint_id=f"{messages.KIND}-{address.host}",
        zone=address.zone,
        host=address.host,
        port=address.port,
        kind=messages.KIND,
        load=0,
        draining=False,
        config_version=NO_DOCUMENT_WANTED,
        incarnation=0,
        group=state.group,
        engine=engine.address,
        epoch=state.epoch,
        broken=not state.open,
    )
    return announcer.tell(beat)


def announce(reactor, engine, announcer, address, every_ms):
    """Announce the rank every *every_ms* until the reactor stops."""
    loop = task.LoopingCall(announce_once, engine, announcer, address)
    loop.clock = reactor
    loop.start(clock.seconds(every_ms))
    return loop
