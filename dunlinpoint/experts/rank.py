"""The service that a rank's agent offers other agents, and the rank's announcements."""

from __future__ import annotations

import zlib

import attrs
from twisted.internet import defer, task
from zope.interface import implementer

from dunlinpoint import clock, logs
from dunlinpoint.experts import aggregation, commands, dispatcher, messages, window
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

    ``last_query_ms`` is the time of the last query from a leader, and ``gives_way``
    whether that leader can give way. While *fenced*, queries from leaders are refused,
    because this agent has taken over; ``refused_ms`` is when the last one was. *leads*
    tells other agents whether this one leads the group. The callables in *on_state* are
    called with each state that is read for a query.
    """

    engine: engines.Engine
    clock: clock.Clock
    fan_out: aggregation.FanOutClient
    dispatcher: dispatcher.Dispatcher
    last_query_ms: int | None = None
    gives_way: bool = False
    fenced: bool = False
    refused_ms: int | None = None
    leads: bool = False
    counter: window.Counter = attrs.field(factory=window.Counter)
    texts: commands.TextCache = attrs.field(factory=commands.TextCache)
    on_state: list = attrs.field(factory=list)

    @classmethod
    def from_config(cls, reactor, engine):
        """The handler of the agent on the host of *engine*."""
        ms_clock = clock.Clock(reactor)
        fan_out = aggregation.FanOutClient.from_config(reactor)
        return cls(engine, ms_clock, fan_out, dispatcher.Dispatcher(engine, ms_clock))

    @defer.inlineCallbacks
    def ask(self, question):
        if question.leading:
            self.admit_leader(question)
        command = None
        if question.order:
            command = self.decode_command(question)
            if command is None:
                return ttypes.Gathered(answers=[], needs_whole=True)
        query = aggregation.Question(
            question.counts, question.experts, question.leading, command
        )
        behind = [aggregation.Peer(peer.host, peer.port) for peer in question.behind]
        own = self.answer_locally(query)
        forwarded = self.fan_out.ask_each(behind, query, question.behind_ms)
        result, failure = (yield forwarded), None
        try:
            result.add((yield own))
        except engines.RankError as exc:
            failure = exc
        if failure is not None and not result.answers:
            raise ttypes.Refused(str(failure), 0) from failure
        return ttypes.Gathered(
            answers=result.answers, counts=result.packed_counts(), leads=self.leads
        )

    def admit_leader(self, question):
        """Record a leader's query; raises ``Refused`` while fenced."""
        if self.fenced:
            self.refused_ms = self.clock.now()
            raise ttypes.Refused(aggregation.FENCED, 0)
        self.last_query_ms = self.clock.now()
        self.gives_way = bool(question.gives_way)

    def decode_command(self, question):
        """Decode the command of *question*; ``None`` if its base is not known."""
        known = self.texts.get(question.base)
        if known is None:
            return None
        try:
            text = commands.unpack(question.order, known)
        except zlib.error as exc:
            log.error("order_unreadable", error=str(exc))
            return None
        self.texts.add(text)
        return commands.Command(
            question.operation, question.version, question.epoch, text
        )

    @defer.inlineCallbacks
    def answer_locally(self, query):
        """A Deferred of this rank's ``Gathered`` for *query*; fails with ``RankError``.

        The rank's state is read after the command was sent.
        """
        status = 0
        if query.command is not None:
            status = yield self.dispatcher.dispatch(query.command)
        state = yield self.engine.state(query.experts)
        for listener in self.on_state:
            listener(state)
        counts = None
        if query.counts:
            chosen = yield self.engine.counts()
            growth = self.counter.growth(chosen, state.epoch, self.clock.now())
            counts = window.pack(growth)
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
    heartbeat = ttypes.Heartbeat(
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
        pace=state.pace,
    )
    return announcer.send_heartbeat(heartbeat)


def announce_pace_changes(handler, announcer, address):
    """Announce the rank of *handler* at once when the pace of its engine changes.

    It is read for each query of the group's leader, several times a second.
    """
    announced = None

    def on_state(state):
        nonlocal announced
        if messages.has_pace_changed(announced, state.pace):
            log.info("engine_pace", before=announced, after=state.pace)
            announced = state.pace
            announce_state(handler.engine, announcer, address, state)

    handler.on_state.append(on_state)


def announce(reactor, engine, announcer, address, interval_ms):
    """Announce the rank every *interval_ms* until the reactor stops."""
    loop = task.LoopingCall(announce_once, engine, announcer, address)
    loop.clock = reactor
    loop.start(clock.seconds(interval_ms))
    return loop
