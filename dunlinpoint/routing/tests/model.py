"""A small seeded model of entries in front of the ranks of one group.

Requests arrive at random and last for a while, and every entry picks by its own
state. The result is how evenly the ranks are loaded: ranks run in lock-step, so the
busiest one determines the speed of all.
"""

import collections
import heapq
import random
import statistics

import attrs

from dunlinpoint.routing import endpoint_order, pick
from dunlinpoint.wire.gen.dunlin import ttypes

WARM_UP_S = 5.0
ZONES = 3


@attrs.define
class Group:
    """Ranks, the entries in front of them, and the arriving requests.

    ``per_s`` requests arrive a second and last ``mean_s`` seconds on average.
    """

    entries: int
    ranks: int
    per_s: float
    slots: int = 6
    mean_s: float = 2.0
    length_s: float = 25.0
    seed: int = 1

    def members(self):
        """The ranks as members, in the order that is the same at all entries."""
        return [
            ttypes.Member(
                endpoint_id=f"r{i:05d}", zone=f"z{i % ZONES}", slots=self.slots, load=0
            )
            for i in range(self.ranks)
        ]


@attrs.frozen
class Evenness:
    """How evenly one run loaded the ranks.

    *busiest* is the load of the busiest rank over the mean load, averaged over the run,
    and *most* the same ratio for the requests sent in the whole run; *overfull* is the
    fraction of requests sent to a rank without a free slot.
    """

    busiest: float
    most: float
    overfull: float


def simulate(group, order):
    """Simulate *group* with entries that prefer ranks by *order*.

    ``order(members, entry, rng)`` returns the list that an :class:`Entry` picks from.
    """
    rng = random.Random(group.seed)
    members = group.members()
    entries = [Entry.from_number(i, group.entries) for i in range(group.entries)]
    weights = [rng.uniform(0.5, 1.5) for _ in entries]
    total = dict.fromkeys((m.endpoint_id for m in members), 0)
    sent = collections.Counter()
    ends, ratios, overfull, now = [], [], 0, 0.0
    while now < group.length_s:
        now += rng.expovariate(group.per_s)
        while ends and ends[0][0] <= now:
            _, _, entry, endpoint_id = heapq.heappop(ends)
            entry.picker.ended(endpoint_id)
            total[endpoint_id] -= 1
        entry = rng.choices(entries, weights)[0]
        seen = order(members, entry, rng)
        chosen = entry.picker.pick(seen, int(now * 1000)).endpoint_id
        entry.picker.began(chosen)
        total[chosen] += 1
        end = now + group.mean_s * rng.uniform(0.3, 1.7)
        heapq.heappush(ends, (end, len(ends) + rng.random(), entry, chosen))
        if now > WARM_UP_S:
            ratios.append(max(total.values()) * group.ranks / sum(total.values()))
            overfull += total[chosen] > group.slots
            sent[chosen] += 1
    return Evenness(
        statistics.mean(ratios),
        max(sent.values()) * group.ranks / sum(sent.values()),
        overfull / len(ratios),
    )


@attrs.define(eq=False)
class Entry:
    """One entry: its zone, and its index among the entries of its zone."""

    zone: str
    index: int
    entry_count: int
    picker: pick.Picker
    order: list | None = None

    @classmethod
    def from_number(cls, number, entries):
        """Entry *number* of *entries*, which are assigned to the zones in turn."""
        zone = number % ZONES
        entry_count = len(range(zone, entries, ZONES))
        return cls(f"z{zone}", number // ZONES, entry_count, pick.Picker(f"z{zone}"))


def round_robin(members, entry, _rng):
    """Every entry begins at its own endpoint."""
    if entry.order is None:
        entry.order = endpoint_order.preferred_order(
            members, entry.zone, entry.index, entry.entry_count
        )
    return entry.order


def at_random(members, _entry, rng):
    """Ties are broken at random."""
    return rng.sample(members, len(members))


def same(members, _entry, _rng):
    """Every entry prefers the same endpoints."""
    return members
