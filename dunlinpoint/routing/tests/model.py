"""A small seeded model of entries in front of the ranks of one group.

Requests come at random and last for a while; every entry picks by what it
knows. What is read off is how even the ranks are, since ranks advance in
lock-step and the busiest sets the pace of all.
"""

import heapq
import random
import statistics

import attrs

from dunlinpoint.routing import pick, spread
from dunlinpoint.wire.gen.dunlin import ttypes

WARM_S = 5.0
ZONES = 3


@attrs.define
class Group:
    """Ranks, the entries in front of them, and what comes in."""

    entries: int
    ranks: int
    per_s: float
    slots: int = 6
    mean_s: float = 2.0
    length_s: float = 25.0
    seed: int = 1

    def members(self):
        """The ranks as members, in the order that every entry knows them in."""
        return [
            ttypes.Member(
                endpoint_id=f"r{i:05d}", zone=f"z{i % ZONES}", slots=self.slots, load=0
            )
            for i in range(self.ranks)
        ]


@attrs.frozen
class Evenness:
    """Busiest rank over the mean, and the part that met a rank without room."""

    busiest: float
    crowded: float


def play(group, order):
    """Play *group* with entries that see ranks in ``order(members, i, n, rng)``."""
    rng = random.Random(group.seed)
    members = group.members()
    entries = range(group.entries)
    pickers = [pick.Picker(f"z{i % ZONES}") for i in entries]
    weights = [rng.uniform(0.5, 1.5) for _ in entries]
    total = dict.fromkeys((m.endpoint_id for m in members), 0)
    ends, ratios, crowded, now = [], [], 0, 0.0
    while now < group.length_s:
        now += rng.expovariate(group.per_s)
        while ends and ends[0][0] <= now:
            _, i, endpoint_id = heapq.heappop(ends)
            pickers[i].ended(endpoint_id)
            total[endpoint_id] -= 1
        i = rng.choices(entries, weights)[0]
        seen = order(members, i, group.entries, rng)
        chosen = pickers[i].pick(seen, int(now * 1000)).endpoint_id
        pickers[i].began(chosen)
        total[chosen] += 1
        end = now + group.mean_s * rng.uniform(0.3, 1.7)
        heapq.heappush(ends, (end, i, chosen))
        if now > WARM_S:
            ratios.append(max(total.values()) * group.ranks / sum(total.values()))
            crowded += total[chosen] > group.slots
    return Evenness(statistics.mean(ratios), crowded / len(ratios))


def in_turn(members, place, places, _rng):
    """Every entry begins at its own place."""
    return spread.rotated(members, place, places)


def at_random(members, _place, _places, rng):
    """Ties broken at random, as before."""
    return rng.sample(members, len(members))


def same(members, _place, _places, _rng):
    """Every entry prefers the same ones."""
    return members
