"""Client of the ranks of a group, for its leader and its standby leader."""

import json

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs, metrics
from dunlinpoint.experts import (
    aggregation,
    commands,
    dispatcher,
    engine,
    messages,
    rank,
    switch,
    window,
)
from dunlinpoint.follow import view
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("experts")

# How long ranks are waited for, when counts or experts are read and during a change of
# map, by the leader and its standby: an unreachable rank must not delay the others.
READ_TIMEOUT_MS = 500
SWITCH_TIMEOUT_MS = 250
# For how long an agent that did not answer is bypassed and its rank's engine called
# directly. The engine answers as well, with a report some hundred ms old, whereas
# asking a frozen agent each time would cost each round its timeout.
BYPASS_MS = 1000
# If more agents than this are unresponsive at once, they have not failed one by one:
# this agent was busy, or a zone is unreachable. Calling all their engines took a leader
# 2 s.
MAX_BYPASSED = 8
# Readings of counts less than this far apart are merged. A step takes about as long,
# and a reading that covers no step contains no choices.
MIN_READING_INTERVAL_MS = 80
# Ranks at which planners hold the group. Their agents may refuse a leader's query, so
# that they are always asked directly.
HOLDERS = (switch.STANDBY, switch.WITNESS)


@attrs.define
class GroupClient:
    """Client of the ranks of a group, by number once they have answered.

    ``on_counts(now, counts)`` is called with each reading of the counts, summed over
    the ranks. ``pending_counts`` holds those received since the last call.

    *guard* is the rank whose agent must answer a leader itself: its engine is not asked
    in its place, because its silence tells the leader to stop. ``guard_seen_ms`` is
    when the last leader's query that it answered was sent, and *fenced* whether an
    agent refused the last query.
    """

    handler: rank.Handler
    view: view.View
    clock: clock.Clock
    counters: metrics.Counters
    on_counts: object = lambda now, counts: None
    arming_times: switch.ArmingTimes = attrs.field(factory=switch.ArmingTimes)
    member_by_rank: dict = attrs.field(factory=dict)
    unanswered: dispatcher.UnansweredTracker = attrs.field(init=False)
    bypassed_until_ms_by_rank: dict = attrs.field(factory=dict)
    pending_counts: list = attrs.field(factory=list)
    last_reading_ms: int = 0
    guard: int | None = switch.STANDBY
    guard_seen_ms: int | None = None
    fenced: bool = False

    def __attrs_post_init__(self):
        self.unanswered = dispatcher.UnansweredTracker(self.clock)

    def reset(self):
        """Forget the ranks' agents, which may be others after a change of epoch."""
        self.member_by_rank = {}
        self.bypassed_until_ms_by_rank = {}
        self.guard_seen_ms = None

    def set_guard(self, rank):
        """Let *rank* be the guard from now on."""
        self.guard, self.guard_seen_ms = rank, None

    def bypass(self, rank):
        """Ask the engine of *rank* past its agent for the next ``BYPASS_MS``."""
        self.bypassed_until_ms_by_rank[rank] = self.clock.now() + BYPASS_MS

    def agents(self, group):
        """Return the members that are agents of *group*'s ranks."""
        return [m for m in self.view.live(messages.KIND) if m.group == group]

    @defer.inlineCallbacks
    def read(self, group, own_rank, question):
        """A Deferred of ``RankAnswer`` by rank of *group*, for ranks that answer.

        Fails with ``switch.Fenced``, like :meth:`ask`.
        """
        self.fenced = False
        members = self.agents(group)
        known = {peer_of(m): n for n, m in self.member_by_rank.items()}
        unknown = [p for p in map(peer_of, members) if p not in known]
        numbers = sorted(known.values())
        queries = [self._ask_known(numbers, own_rank, question, READ_TIMEOUT_MS)]
        if unknown:
            # An agent whose rank is unknown may be the holder, so it is asked directly
            # and is not used as an aggregator.
            queries.append(self._ask_unknown(unknown, question))
        answers = {}
        for result in (yield defer.gatherResults(queries)):
            answers.update(result)
        self._check_fenced()
        return {n: a for n, a in answers.items() if a.state.group == group}

    @defer.inlineCallbacks
    def _ask_unknown(self, peers, question):
        result = yield self.handler.fan_out.ask_each(peers, question, READ_TIMEOUT_MS)
        self._add_counts(result.counts)
        self._update_members(result.rank_by_peer)
        self.fenced = self.fenced or result.fenced
        return {answer.state.rank: answer for answer in result.answers}

    @defer.inlineCallbacks
    def ask(self, numbers, own_rank, question, timeout_ms):
        """A Deferred of ``RankAnswer`` by rank, for those of *numbers* that answer."""
        self.fenced = False
        answers = yield self._ask_known(numbers, own_rank, question, timeout_ms)
        self._check_fenced()
        return answers

    def _check_fenced(self):
        if self.fenced:
            self.guard_seen_ms = None
            raise switch.Fenced("another agent has taken over")

    @defer.inlineCallbacks
    def _ask_known(self, numbers, own_rank, question, timeout_ms):
        now = self.clock.now()
        agents = [n for n in numbers if self.bypassed_until_ms_by_rank.get(n, 0) <= now]
        peers = {peer_of(self.member_by_rank[n]): n for n in agents if n != own_rank}
        direct_peers = [peer for peer, number in peers.items() if number in HOLDERS]
        queries = [
            self.handler.fan_out.ask_all(
                list(peers), question, timeout_ms, direct_peers
            ),
            self._ask_own(question if own_rank in agents else None),
        ]
        results = yield defer.gatherResults(queries)
        self._add_counts([counts for result in results for counts in result.counts])
        answers = {a.state.rank: a for result in results for a in result.answers}
        if any(result.fenced for result in results):
            self.fenced = True
            return answers
        if question.leading and self.guard in answers:
            self.guard_seen_ms = now
        missing = [n for n in numbers if n not in answers and n != self.guard]
        if len(missing) > MAX_BYPASSED:
            return answers
        for number in set(missing).intersection(agents):
            self.bypass(number)
        direct = [self._ask_engine(number, question) for number in missing]
        for answer in (yield defer.gatherResults(direct)):
            if answer is not None:
                answers[answer.state.rank] = answer
        return answers

    @defer.inlineCallbacks
    def _ask_engine(self, number, question):
        """A Deferred of a ``RankAnswer`` from a rank's engine, or of ``None``.

        This bypasses the rank's agent. It is never used for the guard, whose agent
        stops answering to signal that it has taken over.
        """
        target = self.handler.engine.at(self.member_by_rank[number].engine)
        self.counters.incr("ask.past_agent")
        status = 0
        if question.command is not None:
            status = yield target.send_command(question.command.text)
        try:
            state = yield target.state(question.experts)
        except engine.RankError as exc:
            log.warning("rank_silent", host=target.address, error=str(exc))
            return None
        return ttypes.RankAnswer(state, status)

    @defer.inlineCallbacks
    def _ask_own(self, question):
        result = aggregation.Aggregate()
        if question is None:
            return result
        try:
            result.add((yield self.handler.answer_locally(question)))
        except engine.RankError as exc:
            log.warning("own_rank_silent", error=str(exc))
        return result

    def _update_members(self, rank_by_peer):
        for member in self.view.live(messages.KIND):
            number = rank_by_peer.get(peer_of(member))
            if number is not None:
                self.member_by_rank[number] = member

    def _add_counts(self, parts):
        if not parts:
            return
        now = self.clock.now()
        self.pending_counts.extend(parts)
        if now - self.last_reading_ms >= MIN_READING_INTERVAL_MS:
            self.on_counts(now, window.total(self.pending_counts))
            self.pending_counts, self.last_reading_ms = [], now

    @defer.inlineCallbacks
    def send_direct(self, number, own_rank, body):
        """Send a command to a rank's engine past its agent; a status, or 0.

        If a command to hold the group went through an agent whose machine froze, the
        hold could take effect later, out of the standby leader's reach.
        """
        self.counters.incr(f"order.{body['operation']}")
        target = self.handler.engine
        if number != own_rank:
            target = target.at(self.member_by_rank[number].engine)
        text = commands.Command.from_body(body).text
        copies = dispatcher.COPIES if self.unanswered.is_recent() else 1
        statuses = yield defer.gatherResults(
            [target.send_command(text) for _ in range(copies)]
        )
        if 0 in statuses:
            self.unanswered.record()
        return dispatcher.combined_status(statuses)

    @defer.inlineCallbacks
    def probe(self, number):
        """A Deferred of what is known of rank *number*'s agent.

        ``Gathered`` if it answers, ``None`` if it is silent; fails with
        ``ConnectionRefused`` if it is dead.
        """
        peer = peer_of(self.member_by_rank[number])
        question = aggregation.Question()
        try:
            return (yield self.handler.fan_out.ask(peer, question, SWITCH_TIMEOUT_MS))
        except errors.ConnectionRefused:
            raise
        except (errors.WireError, ttypes.Refused):
            return None

    def group(self, size, own_rank, leading=None):
        """Return a ``switch.Group`` of the ranks, for the agent of *own_rank*.

        With *leading* its queries are a leader's, by default those of rank 0.
        """
        if leading is None:
            leading = own_rank == switch.LEADER

        @defer.inlineCallbacks
        def ask(ranks, body=None):
            command = commands.Command.from_body(body) if body is not None else None
            if command is not None:
                self.counters.incr(f"order.{command.operation}", len(ranks))
            all_ranks = leading and len(ranks) == size
            question = aggregation.Question(
                counts=all_ranks, leading=leading, command=command
            )
            answers = yield self.ask(ranks, own_rank, question, SWITCH_TIMEOUT_MS)
            if command is not None and any(
                number not in answers or not answers[number].status for number in ranks
            ):
                self.unanswered.record()
            return answers

        def send(number, body):
            return self.send_direct(number, own_rank, body)

        return switch.Group(
            size,
            ask,
            send,
            self.clock.sleep,
            self.unanswered.is_recent,
            self.clock.now,
            self.mapping_of,
            arming_times=self.arming_times,
            planner=own_rank,
            holder=min(own_rank + 1 if leading else own_rank, size - 1),
        )

    def mapping_of(self, version):
        """Return the map *version* that this agent last prepared, or ``None``."""
        command = self.handler.dispatcher.prepared
        if command is None or command.version != version:
            return None
        return json.loads(command.text)["mapping"]


def peer_of(member):
    """Return the ``Peer`` of *member*'s agent."""
    return aggregation.Peer(member.host, member.port, member.zone)
