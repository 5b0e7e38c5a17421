"""Maps that follow demand: how long passes take, and what is copied for it."""

import pytest

from dunlinpoint.config import document as config
from dunlinpoint.experts import benefit, placement, window
from dunlinpoint.experts.tests import demand

# Few ranks with large experts, and many with small ones.
FEW = config.Experts(sets=3, experts=96, places=11, spare=4, copy_ms=142)
MANY = config.Experts(sets=16, experts=96, places=5, spare=2, copy_ms=27)
LARGE = config.Experts(sets=4, experts=64, places=5, spare=2, copy_ms=111)
SECONDS = 24
# What leads did before: as many new experts as a rank has room for, by demand of
# the last seconds.
ALL_AT_ONCE_MS = 1500


def room_for_all(shape):
    return placement.RankCapacity(shape.places, shape.spare, shape.spare * shape.sets)


@pytest.mark.parametrize(("shape", "ranks"), [(FEW, 12), (MANY, 24)])
def test_demand_that_moves_on_within_a_pass(shape, ranks):
    # Pattern: what is popular moves on to other experts at once, in some set or
    # other every second. Symptom: passes as long as if no map had been changed,
    # events later than callers bear, while every map was even when planned.
    # Cause: ranks copied for up to 1.7 s, for demand of seconds ago. Grounds of
    # the bounds: 0.81 (few ranks) and 0.82 (many) of the cost on these seeds.
    counts = list(demand.readings(shape, SECONDS, 3000, seed=5))
    room = benefit.room_of(shape)
    found = demand.Follower(shape, ranks, room).follow(counts)
    before = demand.Follower(shape, ranks, room_for_all(shape), ALL_AT_ONCE_MS)
    before.follow(counts)
    assert found.cost < 0.88 * before.cost, (found, before)
    assert found.moved < 1.5 * before.moved


def test_demand_that_only_differs_by_prompt():
    # Pattern: demand that is the same on average while each reading's prompts
    # differ. Symptom: maps changed all the time for what is gone with the next
    # prompt, most passes longer for copies. Grounds of the bounds: maps that
    # are never changed after the first five seconds.
    counts = list(demand.readings(FEW, SECONDS, None, seed=5))
    room = benefit.room_of(FEW)
    found = demand.Follower(FEW, 12, room).follow(counts)
    first = placement.round_robin(FEW.sets, FEW.experts, 12)
    never = sum(
        placement.step_load(first, by_set(c, FEW))
        / placement.even_load(by_set(c, FEW), 12)
        for c in counts
    ) / len(counts)
    assert found.cost < 0.7 * never
    assert found.moved < 12 * SECONDS


def by_set(counts, shape):
    size = shape.experts
    return [counts[i * size : (i + 1) * size] for i in range(shape.sets)]


@pytest.mark.parametrize(
    ("shape", "ranks", "bound"), [(FEW, 12, 0.98), (MANY, 24, 0.96), (LARGE, 16, 0.97)]
)
def test_what_was_in_demand_before_a_jump_is_forgotten(
    monkeypatch, shape, ranks, bound
):
    # Pattern: as above. Symptom: three maps in a row after a jump, each a little less
    # wrong, and passes twice as long for a second. Cause: counts from before the jump
    # faded by half each 300 ms, and were in what each map was planned by. Grounds of
    # the bounds: 0.96, 0.94 and 0.94 of the cost on these seeds.
    counts = list(demand.readings(shape, SECONDS, 3000, seed=5))
    room = benefit.room_of(shape)
    found = demand.Follower(shape, ranks, room).follow(counts)
    monkeypatch.setattr(window, "LEAST_JUMP", 1.0)
    fading = demand.Follower(shape, ranks, room).follow(counts)
    assert found.cost < bound * fading.cost, (found, fading)


def test_readings_that_differ_as_usual_are_no_jump():
    # Pattern: few prompts are read at a time, and each reading differs from the last.
    # Symptom: every reading is taken for a jump, and maps follow single prompts.
    # Cause: one limit for groups of all sizes. Grounds of the bound: 6 of 120 readings
    # of 3 sets here, most while nothing is known yet.
    seen = window.Window()
    for number, counts in enumerate(demand.readings(FEW, 12, None, seed=5)):
        seen.add(number * demand.READING_MS, counts, FEW.sets)
    assert seen.jumped < 0.05 * 120 * FEW.sets
