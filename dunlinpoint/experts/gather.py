"""Asking many ranks at once, by way of some of them.

A lead that asks 71 ranks itself takes about a fifth of a second of its link (4 Mbit/s)
for their counts and as long for a map, by the sizes of both; maps were in force 0.5 to
1.2 s after they were planned, and are 0.2 to 0.4 s after it now. So ranks are
divided into parts by availability zone, and one of each part passes the question on to
the others and gathers what they answer: sums of counts travel instead of the counts,
and a map travels once to each part. With 8 parts of 9 ranks every link carries what a
group of 9 would.

Whoever gathers asks each rank anew, so what it hands on is as fresh as an answer by
the rank itself that took as long. One that does not answer in time is asked as any
other rank for a while, and the ranks of its part are asked directly, at once.
"""

import math

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs
from dunlinpoint.experts import orders, window
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Rank, ttypes

log = logs.logger("experts")

# So many ranks (16) are asked directly: what passing on saves them, 3 KB a reading, is
# less than the way through another machine takes.
DIRECT_RANKS = 16
# For how long a rank that did not answer in time gathers nothing.
AVOID_MS = 5000
# What is left of the asker's time for the ranks behind, the rest being for the way to
# whoever gathers and back.
BEHIND_SHARE = 0.6
LINK_TIMEOUT_MS = 900


@attrs.frozen
class Peer:
    """Where a rank's agent answers."""

    host: str
    port: int
    zone: str = attrs.field(default="", eq=False)


@attrs.frozen
class Question:
    """What ranks are asked: see ``Question`` of the wire."""

    counts: bool = False
    experts: bool = False
    leading: bool = False
    order: orders.Order | None = None


@attrs.define
class Found:
    """Answers (``RankAnswer``) that came, and counts by part of the ranks.

    ``rank_by_peer`` has the ranks of agents that answered for themselves alone.
    """

    answers: list = attrs.field(factory=list)
    counts: list = attrs.field(factory=list)
    rank_by_peer: dict = attrs.field(factory=dict)

    def add(self, gathered):
        """Take in what one agent gathered."""
        self.answers.extend(gathered.answers)
        if gathered.counts:
            self.counts.append(window.unpack(gathered.counts))

    def packed_counts(self):
        """The sum of the counts, packed; ``None`` if there are none."""
        return window.pack(window.total(self.counts)) if self.counts else None


def divide(peers, avoided=(), apart=()):
    """*peers* in parts (lists), the first of each being the one that gathers.

    Those *avoided* gather nothing; those *apart* are asked directly.
    """
    if len(peers) <= DIRECT_RANKS:
        return [[peer] for peer in peers]
    largest = math.ceil(math.sqrt(len(peers)))
    parts = [[peer] for peer in peers if peer in apart]
    for zone in sorted({peer.zone for peer in peers}):
        here = [p for p in peers if p.zone == zone and p not in apart]
        here.sort(key=lambda peer: peer in avoided)
        parts.extend(split(here, math.ceil(len(here) / largest)))
    return parts


def split(peers, count):
    """*peers* in *count* parts of about the same size, the first ones leading them."""
    return [peers[number::count] for number in range(count)]


@attrs.define
class Asker:
    """Asks other ranks' agents, for a lead or for an agent that gathers."""

    clock: clock.Clock
    links: rpc.Links
    sender: orders.Sender = attrs.field(factory=orders.Sender)
    avoided_ms_by_peer: dict = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, reactor):
        """One that asks by links of *reactor*."""
        links = rpc.Links(reactor, Rank.Client, LINK_TIMEOUT_MS)
        return cls(clock.Clock(reactor), links)

    @defer.inlineCallbacks
    def ask(self, peer, question, timeout_ms, behind=()):
        """What the agent at *peer* gathered from itself and the peers *behind*.

        Raises ``WireError``, or ``Refused`` where the agent won't answer.
        """
        for _ in range(2):
            message = self._message(peer, question, timeout_ms, behind)
            link = self.links.to(peer.host, peer.port)
            gathered = yield link.call("ask", message, timeout_ms=timeout_ms)
            if not gathered.needs_whole:
                break
            self.sender.forget(peer)
        if gathered.answers and question.order is not None:
            self.sender.taken(peer, question.order.text)
        return gathered

    def _message(self, peer, question, timeout_ms, behind):
        message = ttypes.Question(
            counts=question.counts,
            experts=question.experts,
            leading=question.leading,
            behind=[ttypes.Peer(other.host, other.port) for other in behind],
            behind_ms=round(timeout_ms * BEHIND_SHARE),
        )
        order = question.order
        if order is not None:
            message.base, message.order = self.sender.pack(peer, order.text)
            message.operation = order.operation
            message.version, message.epoch = order.version, order.epoch
        return message

    @defer.inlineCallbacks
    def ask_all(self, peers, question, timeout_ms, apart=()):
        """``Found`` of all *peers*; those *apart* are asked by none but this one."""
        parts = divide(peers, self.avoided(), apart)
        return (yield self._ask_parts(parts, question, timeout_ms))

    def ask_each(self, peers, question, timeout_ms):
        """``Found`` of *peers*, each asked directly."""
        return self._ask_parts([[peer] for peer in peers], question, timeout_ms)

    @defer.inlineCallbacks
    def _ask_parts(self, parts, question, timeout_ms):
        found = Found()
        yield defer.gatherResults(
            [self._ask_part(found, part, question, timeout_ms) for part in parts]
        )
        return found

    @defer.inlineCallbacks
    def _ask_part(self, found, part, question, timeout_ms):
        first, *behind = part
        try:
            gathered = yield self.ask(first, question, timeout_ms, behind)
            found.add(gathered)
            if not behind and gathered.answers:
                found.rank_by_peer[first] = gathered.answers[0].state.rank
            return
        except ttypes.Refused:
            pass
        except errors.WireError as exc:
            if behind:
                self.avoided_ms_by_peer[first] = self.clock.now() + AVOID_MS
                log.warning("gatherer_lost", host=first.host, error=str(exc))
        yield defer.gatherResults(
            [self._ask_part(found, [peer], question, timeout_ms) for peer in behind]
        )

    def avoided(self):
        """The peers that gather nothing now."""
        now = self.clock.now()
        by_peer = self.avoided_ms_by_peer
        for peer in [peer for peer, until_ms in by_peer.items() if until_ms <= now]:
            del by_peer[peer]
        return set(by_peer)
