"""Better maps: within the ranks' room, and more even."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinpoint.experts import placement, window


def skewed(rng, sets, experts):
    return [[rng.paretovariate(1.1) for _ in range(experts)] for _ in range(sets)]


@settings(derandomize=True, database=None, max_examples=40, deadline=None)
@given(st.integers(0, 10_000), st.integers(2, 12), st.integers(1, 4))
def test_a_better_map_keeps_every_expert_and_every_limit(seed, ranks, spare):
    rng = random.Random(seed)
    experts, places = ranks * 4, 4 + spare
    counts = skewed(rng, 2, experts)
    old = placement.in_turn(2, experts, ranks)
    for _ in range(3):
        new = placement.improve(old, counts, places, spare)
        assert placement.step_load(new, counts) <= placement.step_load(old, counts)
        for before, after in zip(old, new, strict=True):
            assert {e for held in after for e in held} == set(range(experts))
            for was, held in zip(before, after, strict=True):
                assert len(held) == len(set(held)) <= places
                assert len(set(held) - set(was)) <= spare
        old, counts = new, skewed(rng, 2, experts)


def test_one_hot_expert_is_shared_by_several_ranks():
    counts = [[100.0] + [1.0] * 15]
    old = placement.in_turn(1, 16, 4)
    new = placement.improve(old, counts, places=6, spare=2)
    holders = sum(0 in held for held in new[0])
    assert holders == 4
    assert placement.step_load(new, counts) < 0.35 * placement.step_load(old, counts)


def test_a_restarted_rank_counts_from_its_new_start():
    # Symptom: a map made for demand that nobody has. Sequence: a rank
    # restarts, its counters begin again at 0. Cause: the difference to the
    # old reading taken as what was chosen.
    seen = window.Window()
    seen.add(0, {0: [100, 0], 1: [50, 50]})
    seen.add(400, {0: [5, 0], 1: [60, 50]})
    assert seen.faded == [10.0, 0.0]
