"""The service that a rank's agent offers other agents, and the rank's announcements."""

from __future__ import annotations

import zlib

import attrs
from twisted.internet import defer, task
from zope.interface import implementer

from dunlinpoint import clock, logs
from dunlinpoint.experts import dispatcher, gather, messages, orders, window
from dunlinpoint.experts import engine as engines
from dunlinpoint.wire import rpc
from dunlinpoint.wire.gen.dunlin import Rank, ttypes

log = logs.logger("experts")

# Heartbeats ask for no document: an agent that leads gets it through its view.
NO_DOCUMENT_WANTED = 1 << 62


@implementer(Rank.Iface)
@attrs.define
class Handler:
    """Thrift methods of the ``Rank`` service.

    ``read_ms`` is the time of the last query from a leader. While *fenced*, queries
    from leaders are refused, because the standby leader has taken over.
    """

    engine: engines.Engine
    clock: clock.Clock
    asker: gather.Asker
    giver: dispatcher.Giver
    read_ms: int | None = None
    fenced: bool = False
    counter: window.Counter = attrs.field(factory=window.Counter)
    texts: orders.Texts = attrs.field(factory=orders.Texts)

    @classmethod
    def from_config(cls, reactor, engine):
        """The handler of the agent on the host of *engine*."""
        ms_clock = clock.Clock(reactor)
        asker = gather.Asker.from_config(reactor)
        return cls(engine, ms_clock, asker, dispatcher.Giver(engine, ms_clock))

    @defer.inlineCallbacks
    def ask(self, question):
        if question.leading and self.fenced:
            raise ttypes.Refused("fenced", 0)
        if question.leading:
            self.read_ms = self.clock.now()
        order = None
        if question.order:
            order = self.receive(question)
            if order is None:
                return ttypes.Gathered(answers=[], needs_whole=True)
        asked = gather.Question(
            question.counts, question.experts, question.leading, order
        )
        behind = [gather.Peer(peer.host, peer.port) for peer in question.behind]
        own = self.own(asked)
        rest = self.asker.ask_each(behind, asked, question.behind_ms)
        found, failure = (yield rest), None
        try:
            found.add((yield own))
        except engines.RankError as exc:
            failure = exc
        if failure is not None and not found.answers:
            raise ttypes.Refused(str(failure), 0) from failure
        return ttypes.Gathered(answers=found.answers, counts=found.packed_counts())

    def receive(self, question):
        """Decode the command of *question*; ``None`` if its base is not known."""
        known = self.texts.get(question.base)
        if known is None:
            return None
        try:
            text = orders.unpack(question.order, known)
        except zlib.error as exc:
            log.error("order_unreadable", error=str(exc))
            return None
        self.texts.keep(text)
        return orders.Order(question.operation, question.version, question.epoch, text)

    @defer.inlineCallbacks
    def own(self, asked):
        """A Deferred of this rank's ``Gathered`` for *asked*; fails with ``RankError``.

        The rank's state is read after the command was sent.
        """
        status = 0
        if asked.order is not None:
            status = yield self.giver.give(asked.order)
        state = yield self.engine.state(asked.experts)
        counts = None
        if asked.counts:
            chosen = yield self.engine.counts()
            counts = window.pack(self.counter.grown(chosen, state.epoch))
        return ttypes.Gathered(
            answers=[ttypes.RankAnswer(state, status)], counts=counts
        )


@attrs.frozen
class Address:
    """Zone and address at which other agents reach a rank's agent."""

    zone: str
    host: str
    port: int


def serve(reactor, engine, address):
    """Serve other ranks' agents at *address*; return the ``Handler``."""
    handler = Handler.from_config(reactor, engine)
    rpc.serve(reactor, Rank.Processor(handler), address.port, address.host)
    return handler


@defer.inlineCallbacks
def announce_once(engine, announcer, address):
    """Announce the rank's group to control, if the rank belongs to one."""
    try:
        state = yield engine.state()
    except engines.RankError:
        announcer.counters.retried("report_failed")
        return
    yield announce_state(engine, announcer, address, state)


def announce_state(engine, announcer, address, state):
    """Announce the group's state, from the rank's *state*, to control."""
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
    return announcer.send_heartbeat(beat)


def announce(reactor, engine, announcer, address, every_ms):
    """Announce the rank every *every_ms* until the reactor stops; return the loop."""
    loop = task.LoopingCall(announce_once, engine, announcer, address)
    loop.clock = reactor
    loop.start(clock.seconds(every_ms))
    return loop
