"""The ranks of a group as its leader and its standby leader reach them."""

import json

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs, metrics
from dunlinpoint.experts import (
    dispatcher,
    engine,
    gather,
    messages,
    orders,
    rank,
    switch,
    window,
)
from dunlinpoint.follow import view
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("experts")

# How long ranks are waited for, when counts or experts are read and during a change of
# map, by the leader and its standby: an unreachable rank must not delay the others.
READ_TIMEOUT_MS = 500
SWITCH_TIMEOUT_MS = 250
# For how long an agent that did not answer is bypassed and its rank's engine called
# directly. The engine answers as well, with a report some hundred ms old, whereas
# asking a frozen agent each time would cost each round its timeout.
SILENT_MS = 1000
# If more agents than this are unresponsive at once, they have not failed one by one:
# this agent was busy, or a zone is unreachable. Calling all their engines took a leader
# 2 s.
MOST_SILENT = 8
# Readings of counts less than this far apart are merged. A step takes about as long,
# and a reading that covers no step contains no choices.
READING_MS = 80


@attrs.define
class Reach:
    """Client of the ranks of a group, by number once they have answered.

    ``on_counts(now, counts)`` is called with each reading of the counts, summed over
    the ranks.
    """

    handler: rank.Handler
    view: view.View
    clock: clock.Clock
    counters: metrics.Counters
    on_counts: object = lambda now, counts: None
    arming: switch.Arming = attrs.field(factory=switch.Arming)
    member_by_rank: dict = attrs.field(factory=dict)
    unanswered: dispatcher.Unanswered = attrs.field(init=False)
    silent_ms_by_rank: dict = attrs.field(factory=dict)
    counts: list = attrs.field(factory=list)
    counted_ms: int = 0

    def __attrs_post_init__(self):
        self.unanswered = dispatcher.Unanswered(self.clock)

    def forget(self):
        """Forget the ranks' agents, which may be others after a change of epoch."""
        self.member_by_rank = {}
        self.silent_ms_by_rank = {}

    def agents(self, group):
        """Return the members that are agents of *group*'s ranks."""
        return [m for m in self.view.live(messages.KIND) if m.group == group]

    @defer.inlineCallbacks
    def read(self, group, own_rank, question):
        """A Deferred of ``RankAnswer`` by rank of *group*, for ranks that answer."""
        members = self.agents(group)
        known = {peer_of(m): n for n, m in self.member_by_rank.items()}
        strangers = [p for p in map(peer_of, members) if p not in known]
        numbers = sorted(known.values())
        asking = [self.ask(numbers, own_rank, question, READ_TIMEOUT_MS)]
        if strangers:
            # An agent whose rank is unknown may be the holder, so it is asked directly
            # and is not used as an aggregator.
            asking.append(self._ask_strangers(strangers, question))
        answers = {}
        for found in (yield defer.gatherResults(asking)):
            answers.update(found)
        return {n: a for n, a in answers.items() if a.state.group == group}

    @defer.inlineCallbacks
    def _ask_strangers(self, peers, question):
        found = yield self.handler.asker.ask_each(peers, question, READ_TIMEOUT_MS)
        self._count(found.counts)
        self._learn(found.rank_by_peer)
        return {answer.state.rank: answer for answer in found.answers}

    @defer.inlineCallbacks
    def ask(self, numbers, own_rank, question, timeout_ms):
        """A Deferred of ``RankAnswer`` by rank, for those of *numbers* that answer."""
        now = self.clock.now()
        agents = [n for n in numbers if self.silent_ms_by_rank.get(n, 0) <= now]
        peers = {peer_of(self.member_by_rank[n]): n for n in agents if n != own_rank}
        apart = [peer for peer, number in peers.items() if number == switch.DEPUTY]
        asking = [
            self.handler.asker.ask_all(list(peers), question, timeout_ms, apart),
            self._ask_own(question if own_rank in agents else None),
        ]
        founds = yield defer.gatherResults(asking)
        self._count([counts for found in founds for counts in found.counts])
        answers = {a.state.rank: a for found in founds for a in found.answers}
        missing = [n for n in numbers if n not in answers and n != switch.DEPUTY]
        if len(missing) > MOST_SILENT:
            return answers
        for number in set(missing).intersection(agents):
            self.silent_ms_by_rank[number] = self.clock.now() + SILENT_MS
        direct = [self._ask_engine(number, question) for number in missing]
        for answer in (yield defer.gatherResults(direct)):
            if answer is not None:
                answers[answer.state.rank] = answer
        return answers

    @defer.inlineCallbacks
    def _ask_engine(self, number, question):
        """A Deferred of a ``RankAnswer`` from a rank's engine, or of ``None``.

        This bypasses the rank's agent. It is never used for the holder, whose agent
        stops answering to signal that the standby leader has taken over.
        """
        called = self.handler.engine.at(self.member_by_rank[number].engine)
        self.counters.incr("ask.past_agent")
        status = 0
        if question.order is not None:
            status = yield called.order(question.order.text)
        try:
            state = yield called.state(question.experts)
        except engine.RankError as exc:
            log.warning("rank_silent", host=called.address, error=str(exc))
            return None
        return ttypes.RankAnswer(state, status)

    @defer.inlineCallbacks
    def _ask_own(self, question):
        found = gather.Found()
        if question is None:
            return found
        try:
            found.add((yield self.handler.own(question)))
        except engine.RankError as exc:
            log.warning("own_rank_silent", error=str(exc))
        return found

    def _learn(self, rank_by_peer):
        for member in self.view.live(messages.KIND):
            number = rank_by_peer.get(peer_of(member))
            if number is not None:
                self.member_by_rank[number] = member

    def _count(self, parts):
        if not parts:
            return
        now = self.clock.now()
        self.counts.extend(parts)
        if now - self.counted_ms >= READING_MS:
            self.on_counts(now, window.total(self.counts))
            self.counts, self.counted_ms = [], now

    @defer.inlineCallbacks
    def give_direct(self, number, own_rank, body):
        """Send a command to a rank's engine past its agent; a status, or 0.

        If a command to hold the group went through an agent whose machine froze, the
        hold could take effect later, out of the standby leader's reach.
        """
        self.counters.incr(f"order.{body['operation']}")
        called = self.handler.engine
        if number != own_rank:
            called = called.at(self.member_by_rank[number].engine)
        text = orders.Order.from_body(body).text
        copies = dispatcher.COPIES if self.unanswered.lately() else 1
        statuses = yield defer.gatherResults(
            [called.order(text) for _ in range(copies)]
        )
        if 0 in statuses:
            self.unanswered.note()
        return dispatcher.best(statuses)

    def group(self, size, own_rank):
        """Return a ``switch.Group`` of the ranks, for the agent of *own_rank*."""
        leading = own_rank == switch.LEAD

        @defer.inlineCallbacks
        def ask(ranks, body=None):
            order = orders.Order.from_body(body) if body is not None else None
            if order is not None:
                self.counters.incr(f"order.{order.operation}", len(ranks))
            whole = leading and len(ranks) == size
            question = gather.Question(counts=whole, leading=leading, order=order)
            answers = yield self.ask(ranks, own_rank, question, SWITCH_TIMEOUT_MS)
            if order is not None and any(
                number not in answers or not answers[number].status for number in ranks
            ):
                self.unanswered.note()
            return answers

        def order(number, body):
            return self.give_direct(number, own_rank, body)

        return switch.Group(
            size,
            ask,
            order,
            self.clock.sleep,
            self.unanswered.lately,
            self.clock.now,
            self.mapping_of,
            arming=self.arming,
        )

    def mapping_of(self, version):
        """Return the map *version* that this agent last prepared, or ``None``."""
        order = self.handler.giver.prepared
        if order is None or order.version != version:
            return None
        return json.loads(order.text)["mapping"]


def peer_of(member):
    """Return the ``Peer`` of *member*'s agent."""
    return gather.Peer(member.host, member.port, member.zone)
