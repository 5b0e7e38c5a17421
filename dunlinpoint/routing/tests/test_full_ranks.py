"""Streams that meet a full rank while other ranks of their group have free slots.

Each rank has few slots, and no entry sees what the others have in flight. A stream that
meets a full rank waits for one of its slots, often past its latency target.
"""

import collections
import heapq
import random

import pytest

from dunlinpoint.routing import endpoint_order, pick
from dunlinpoint.wire.gen.dunlin import ttypes

RANKS_PER_ZONE = 24
SLOTS = 5
ENTRIES_BY_ZONE = {"a": 12, "b": 12, "c": 11}
PER_S = 170
MEAN_S, MAX_S = 1.65, 3.7
WARM_UP_S, END_S = 4, 24
SEEDS = range(1, 4)
MEMBERS = [
    ttypes.Member(endpoint_id=f"{zone}{i:02}", zone=zone, slots=SLOTS)
    for zone in ENTRIES_BY_ZONE
    for i in range(RANKS_PER_ZONE)
]
EVEN = {"a": 1.0, "b": 1.0, "c": 1.0}
UNEVEN = {"a": 1.3, "b": 1.0, "c": 0.8}


class Entry:
    """One entry: its order of the ranks and its own requests in flight."""

    def __init__(self, zone, index, keeps_distance):
        count = ENTRIES_BY_ZONE[zone]
        self.zone = zone
        self.picker = pick.Picker(zone)
        self.order = endpoint_order.preferred_order_in_group(
            MEMBERS, zone, index, count
        )
        self.ring_entries = count if keeps_distance else 0

    def send(self):
        """Choose a rank and count a request at it; return its endpoint id."""
        member = self.picker.pick(self.order, 0, ring_entries=self.ring_entries)
        self.picker.began(pick.incarnation_key(member))
        return member


def fraction_at_full_ranks(demand_by_zone, keeps_distance, seed):
    """The fraction of streams that begin at a rank without a free slot."""
    rng = random.Random(seed)
    entries = [
        Entry(zone, index, keeps_distance)
        for zone, count in ENTRIES_BY_ZONE.items()
        for index in range(count)
    ]
    weights = [rng.uniform(0.8, 1.2) * demand_by_zone[e.zone] for e in entries]
    streams_by_rank = collections.Counter()
    ends, now, number, at_full, all_streams = [], 0.0, 0, 0, 0
    while now < END_S:
        now += rng.expovariate(PER_S)
        while ends and ends[0][0] <= now:
            _, _, entry, member = heapq.heappop(ends)
            entry.picker.ended(pick.incarnation_key(member))
            streams_by_rank[member.endpoint_id] -= 1
        entry = rng.choices(entries, weights)[0]
        member = entry.send()
        if now > WARM_UP_S:
            all_streams += 1
            at_full += streams_by_rank[member.endpoint_id] >= SLOTS
        streams_by_rank[member.endpoint_id] += 1
        number += 1
        lasts_s = min(rng.expovariate(1 / MEAN_S), MAX_S)
        heapq.heappush(ends, (now + lasts_s, number, entry, member))
    return at_full / all_streams


def mean_fraction(demand_by_zone, keeps_distance):
    found = [
        fraction_at_full_ranks(demand_by_zone, keeps_distance, seed) for seed in SEEDS
    ]
    return sum(found) / len(found)


def test_uneven_demand_of_zones_does_not_fill_the_ranks_of_the_busiest():
    # Guards against streams that wait at full ranks while three of four have room.
    before = mean_fraction(UNEVEN, keeps_distance=False)
    assert mean_fraction(UNEVEN, keeps_distance=True) <= before / 2


def test_even_demand_of_zones_meets_full_ranks_no_more_often():
    # Within the noise of three runs: one stream in fifty.
    before = mean_fraction(EVEN, keeps_distance=False)
    assert mean_fraction(EVEN, keeps_distance=True) <= before + 0.02


@pytest.mark.parametrize(
    ("by_zone", "expected"), [(True, [0, 0, 1, 0, 0, 1]), (False, [0, 0, 0, 1, 1, 1])]
)
def test_the_distance_counts_the_entries_that_begin_between(by_zone, expected):
    members = [
        ttypes.Member(endpoint_id=f"{zone}{i}", zone=zone)
        for zone in "ab"
        for i in range(3)
    ]
    assert endpoint_order.entries_between(members, by_zone, 2) == expected
