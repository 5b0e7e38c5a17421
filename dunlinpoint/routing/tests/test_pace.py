"""A slow rank gets fewer streams, until its pace is forgotten."""

import collections
import heapq
import random

import pytest

from dunlinpoint.routing import endpoint_order, pace, pick
from dunlinpoint.wire.gen.dunlin import ttypes

RANKS = 24
SLOW = 7
LENGTH_MS = 60_000


def endpoint(number, incarnation=1):
    return ttypes.Member(
        endpoint_id=f"r{number:02}",
        host="h",
        port=number,
        zone=f"z{number % 3}",
        slots=5,
        incarnation=incarnation,
    )


def agent(number, engine_pace=None, epoch=1):
    return ttypes.Member(engine=f"h:{number}", pace=engine_pace, epoch=epoch)


ENDPOINTS = [endpoint(number) for number in range(RANKS)]
NORMAL_RANKS = [agent(number, 1000) for number in range(RANKS)]


def slow_ranks(engine_pace=1600, epoch=1):
    return [agent(n, engine_pace if n == SLOW else 1000, epoch) for n in range(RANKS)]


def share(ranks, per_s, entry_count):
    """The streams that rank ``SLOW`` gets, over the mean of the ranks."""
    rng = random.Random(f"pace {per_s}")
    entries = []
    for index in range(entry_count):
        zone = f"z{index % 3}"
        order = endpoint_order.preferred_order_in_group(
            ENDPOINTS, zone, index // 3, entry_count // 3
        )
        picker = pick.Picker(zone)
        picker.paces.update(ranks, ENDPOINTS)
        entries.append((picker, order))
    sent, ends, now = collections.Counter(), [], 0.0
    while now < LENGTH_MS:
        now += rng.expovariate(per_s / 1000)
        while ends and ends[0][0] <= now:
            _, _, picker, key = heapq.heappop(ends)
            picker.ended(key)
        picker, order = rng.choice(entries)
        chosen = picker.pick(order, int(now))
        key = pick.incarnation_key(chosen)
        picker.began(key)
        sent[chosen.port] += 1
        end_ms = now + 1500 * rng.uniform(0.3, 1.7)
        heapq.heappush(ends, (end_ms, rng.random(), picker, key))
    return sent[SLOW] * RANKS / sum(sent.values())


@pytest.mark.parametrize("per_s", [25, 45, 65])
@pytest.mark.parametrize("entry_count", [12, 36])
def test_a_slow_rank_gets_fewer_streams(per_s, entry_count):
    # Guards against one slow rank that determines the step of its whole group.
    normal = share(NORMAL_RANKS, per_s, entry_count)
    slow = share(slow_ranks(), per_s, entry_count)
    assert 0.8 < normal < 1.25
    assert 0.4 * normal < slow < 0.8 * normal
    assert share(slow_ranks(3000), per_s, entry_count) < 0.8 * slow


def pace_of(paces, member):
    return paces.of(pick.incarnation_key(member))


def test_a_pace_is_forgotten_when_the_rank_is_normal_again_or_leaves():
    paces = pace.Paces()
    assert paces.update(slow_ranks(), ENDPOINTS) == ["r07@1"]
    assert paces.update(slow_ranks(), ENDPOINTS) == []
    assert pace_of(paces, ENDPOINTS[SLOW]) == 1.6
    paces.update(NORMAL_RANKS, ENDPOINTS)
    assert pace_of(paces, ENDPOINTS[SLOW]) == 1.0
    paces.update(slow_ranks(), ENDPOINTS)
    paces.update(slow_ranks(), ENDPOINTS[:SLOW])
    assert paces.pace_by_incarnation == {}
    paces.update([], ENDPOINTS)
    assert pace_of(paces, ENDPOINTS[SLOW]) == 1.0


def test_a_pace_of_before_a_restart_does_not_count():
    # Guards against a restarted engine that is avoided for its earlier incarnation.
    paces, restarted = pace.Paces(), endpoint(SLOW, incarnation=2)
    paces.update(slow_ranks(), ENDPOINTS)
    after = [*ENDPOINTS[:SLOW], restarted, *ENDPOINTS[SLOW + 1 :]]
    paces.update(slow_ranks(), after)
    assert pace_of(paces, restarted) == 1.0
    paces.update(slow_ranks(epoch=2), after)
    assert pace_of(paces, restarted) == 1.6


@pytest.mark.parametrize("engine_pace", [None, 100, 1000, 1099])
def test_an_unknown_or_hardly_different_pace_is_normal(engine_pace):
    paces = pace.Paces()
    paces.update(slow_ranks(engine_pace), ENDPOINTS)
    assert paces.pace_by_incarnation == {}
