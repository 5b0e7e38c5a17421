"""Queries to many ranks at once, through aggregators.

A leader that asks 71 ranks itself occupies its link (4 Mbit/s) for about 0.2 s with
their counts, and for as long with a map. Maps were then in force 0.5 to 1.2 s after
they were planned, against 0.2 to 0.4 s with aggregation.

Ranks are therefore divided into subgroups by availability zone. One agent of each
subgroup, the aggregator, forwards the query to the others and combines their answers:
sums of counts are sent instead of the counts, and a map is sent once to each subgroup.
With 8 subgroups of 9 ranks, every link carries what a group of 9 would.

An aggregator caches no answers, so its result is as fresh as an answer by the rank
itself that took as long. An agent that does not answer in time is not used as an
aggregator for a while, and the other ranks of its subgroup are asked directly at once.
"""

import math

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs
from dunlinpoint.experts import commands, window
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Rank, ttypes

log = logs.logger("experts")

# Up to this many ranks are asked directly: aggregation saves 16 ranks 3 KB a reading,
# which takes less time to send than the extra hop through another machine.
MAX_DIRECT_RANKS = 16
# How long a rank that did not answer in time is not used as an aggregator.
AVOID_AGGREGATOR_MS = 5000
# Share of the query's timeout that an aggregator has for its subgroup; the rest covers
# the network path to the aggregator and back.
SUBGROUP_TIMEOUT_SHARE = 0.6
LINK_TIMEOUT_MS = 900
# Reason of a refusal by an agent that has taken over from the sender.
FENCED = "fenced"


@attrs.frozen
class Peer:
    """Address of a rank's agent; *zone* does not count in comparisons."""

    host: str
    port: int
    zone: str = attrs.field(default="", eq=False)


@attrs.frozen
class Question:
    """A query to ranks; the fields are those of ``Question`` on the wire."""

    counts: bool = False
    experts: bool = False
    leading: bool = False
    command: commands.Command | None = None


@attrs.define
class Aggregate:
    """Answers (``RankAnswer``) received, and one list of counts per subgroup.

    ``rank_by_peer`` has the ranks of agents that answered only for themselves.
    ``fenced`` tells whether an agent refused because it has taken over.
    """

    answers: list = attrs.field(factory=list)
    counts: list = attrs.field(factory=list)
    rank_by_peer: dict = attrs.field(factory=dict)
    fenced: bool = False

    def add(self, gathered):
        """Add the ``Gathered`` result of one agent."""
        self.answers.extend(gathered.answers)
        if gathered.counts:
            self.counts.append(window.unpack(gathered.counts))

    def packed_counts(self):
        """Return the sum of the counts, packed; ``None`` if there are none."""
        return window.pack(window.total(self.counts)) if self.counts else None


def divide(peers, avoided=(), direct_peers=()):
    """Divide *peers* into subgroups (lists) whose first member is the aggregator.

    Peers *avoided* do not aggregate; *direct_peers* are asked directly.
    """
    if len(peers) <= MAX_DIRECT_RANKS:
        return [[peer] for peer in peers]
    largest = math.ceil(math.sqrt(len(peers)))
    subgroups = [[peer] for peer in peers if peer in direct_peers]
    for zone in sorted({peer.zone for peer in peers}):
        in_zone = [p for p in peers if p.zone == zone and p not in direct_peers]
        in_zone.sort(key=lambda peer: peer in avoided)
        subgroups.extend(split(in_zone, math.ceil(len(in_zone) / largest)))
    return subgroups


def split(peers, count):
    """Split *peers* into *count* lists of similar size, headed by the first *count*."""
    return [peers[number::count] for number in range(count)]


@attrs.define
class FanOutClient:
    """Queries other ranks' agents, for a leader or for an aggregator."""

    clock: clock.Clock
    links: rpc.Links
    sender: commands.Sender = attrs.field(factory=commands.Sender)
    avoided_until_ms_by_peer: dict = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, reactor):
        """A client that opens its connections through *reactor*."""
        links = rpc.Links(reactor, Rank.Client, LINK_TIMEOUT_MS)
        return cls(clock.Clock(reactor), links)

    @defer.inlineCallbacks
    def ask(self, peer, question, timeout_ms, others=()):
        """A Deferred of the ``Gathered`` result of *peer* and its subgroup *others*.

        Fails with ``WireError``, or with ``Refused`` if the agent refuses to answer.
        """
        for _ in range(2):
            message = self._message(peer, question, timeout_ms, others)
            link = self.links.to(peer.host, peer.port)
            gathered = yield link.call("ask", message, timeout_ms=timeout_ms)
            if not gathered.needs_whole:
                break
            self.sender.forget_base(peer)
        if gathered.answers and question.command is not None:
            self.sender.acknowledge(peer, question.command.text)
        return gathered

    def _message(self, peer, question, timeout_ms, others):
        message = ttypes.Question(
            counts=question.counts,
            experts=question.experts,
            leading=question.leading,
            behind=[ttypes.Peer(other.host, other.port) for other in others],
            behind_ms=round(timeout_ms * SUBGROUP_TIMEOUT_SHARE),
            gives_way=question.leading,
        )
        command = question.command
        if command is not None:
            message.base, message.order = self.sender.pack(peer, command.text)
            message.operation = command.operation
            message.version, message.epoch = command.version, command.epoch
        return message

    @defer.inlineCallbacks
    def ask_all(self, peers, question, timeout_ms, direct_peers=()):
        """A Deferred of ``Aggregate`` for *peers*, with aggregators if they are many.

        Those in *direct_peers* are always asked directly.
        """
        subgroups = divide(peers, self.avoided(), direct_peers)
        return (yield self._ask_subgroups(subgroups, question, timeout_ms))

    def ask_each(self, peers, question, timeout_ms):
        """A Deferred of ``Aggregate`` for *peers*, each asked directly."""
        return self._ask_subgroups([[peer] for peer in peers], question, timeout_ms)

    @defer.inlineCallbacks
    def _ask_subgroups(self, subgroups, question, timeout_ms):
        result = Aggregate()
        yield defer.gatherResults(
            [
                self._ask_subgroup(result, subgroup, question, timeout_ms)
                for subgroup in subgroups
            ]
        )
        return result

    @defer.inlineCallbacks
    def _ask_subgroup(self, result, subgroup, question, timeout_ms):
        aggregator, *others = subgroup
        try:
            gathered = yield self.ask(aggregator, question, timeout_ms, others)
            result.add(gathered)
            if not others and gathered.answers:
                result.rank_by_peer[aggregator] = gathered.answers[0].state.rank
            return
        except ttypes.Refused as exc:
            result.fenced = result.fenced or exc.reason == FENCED
        except errors.WireError as exc:
            if others:
                self.avoided_until_ms_by_peer[aggregator] = (
                    self.clock.now() + AVOID_AGGREGATOR_MS
                )
                log.warning("gatherer_lost", host=aggregator.host, error=str(exc))
        yield defer.gatherResults(
            [
                self._ask_subgroup(result, [peer], question, timeout_ms)
                for peer in others
            ]
        )

    def avoided(self):
        """Return the peers that must not aggregate now."""
        now = self.clock.now()
        by_peer = self.avoided_until_ms_by_peer
        for peer in [peer for peer, until_ms in by_peer.items() if until_ms <= now]:
            del by_peer[peer]
        return set(by_peer)
