"""Admission when steps get long."""

import random
import statistics

import pytest

from dunlinpoint.routing import admission_control
from dunlinpoint.routing.tests import overload, passes

ALLOWED_MS = 120


def paced(in_flight, pause_ms=None, now=1000):
    found = admission_control.AdmissionController(ALLOWED_MS)
    for _ in range(in_flight):
        found.began()
    if pause_ms is not None:
        for _ in range(in_flight):
            found.record_gap(pause_ms, now)
    return found


def test_nobody_is_kept_out_while_passes_are_short():
    assert paced(20).admitted_share(1000) == 1
    assert paced(20, 60).admitted_share(1000) == 1


def test_long_passes_keep_new_ones_out_until_they_are_short_again():
    found = paced(20, 118)
    assert found.admitted_share(1000) == 0
    assert not found.has_room(1000, random.Random(1))
    found.record_gap(95, 1000 + admission_control.RECENT_MS + 1)
    assert 0 < found.admitted_share(1200) < 1
    found.record_gap(55, 1200 + admission_control.RECENT_MS + 1)
    assert found.admitted_share(1400) == 1


def test_the_longer_passes_are_the_fewer_are_let_in():
    shares = [
        paced(20, pause_ms).admitted_share(1000) for pause_ms in range(70, 116, 4)
    ]
    assert shares == sorted(shares, reverse=True)
    assert len(set(shares)) > 5


def test_a_caller_that_came_back_finds_more_room():
    # In a rush, a caller that was refused once has no attempt after this one.
    found = paced(10, 98)
    assert found.admitted_share(1000, returned=True) > found.admitted_share(1000)
    just_over = paced(10, admission_control.NONE_IN * ALLOWED_MS)
    assert just_over.admitted_share(1000) == 0
    assert just_over.admitted_share(1000, returned=True) > 0
    assert admission_control.is_caller_retry(6900, 8000)
    assert not admission_control.is_caller_retry(7900, 8000)


def test_some_are_always_let_in():
    assert paced(1, 200).has_room(1000, random.Random(1))


def test_room_is_back_with_the_first_short_pass():
    # Guards against a limit that remains from the first steps after an outage.
    found = paced(20, 119)
    for _ in range(20):
        found.record_gap(55, 1200)
    assert found.admitted_share(1200) == 1


def test_passes_of_long_ago_keep_nobody_out():
    # Guards against callers refused by an entry without any stream in flight.
    found = paced(20, 118)
    assert found.admitted_share(1000 + admission_control.STALE_MS + 1) == 1


def test_a_group_that_stood_is_no_slow_one():
    # Guards against taking the gap of an outage for the length of a step.
    assert paced(20, 3000).admitted_share(1000) == 1


def lasting(pause_ms, for_ms, in_flight=20):
    """A ``AdmissionController`` that recorded gaps of *pause_ms* from 0 to *for_ms*."""
    found = paced(in_flight)
    for now in range(0, for_ms + 1, 50):
        found.record_gap(pause_ms, now)
    return found


def test_a_jump_of_demand_alone_has_nobody_refused_at_once():
    # Guards against refusing callers that would be in time after a short wait.
    found = lasting(45, 6000)
    for now in range(6050, 6450, 50):
        found.record_gap(130, now)
    assert found.admitted_share(6400) == 0
    assert found.long_window_admitted_share(6400) == 1


def test_long_passes_that_last_have_a_part_refused_until_they_are_short():
    found = lasting(150, 6000)
    assert found.long_window_admitted_share(6000) < 0.1
    for now in range(6050, 12000, 50):
        found.record_gap(60, now)
    assert found.long_window_admitted_share(12000) == 1


def test_passes_that_make_nobody_late_have_nobody_refused_at_once():
    # Guards against permanent refusals where the engines' steps are always long.
    assert lasting(100, 20_000).long_window_admitted_share(20_000) == 1


def test_in_a_state_that_lasts_those_who_came_back_are_let_in_last():
    found = lasting(105, 2000)
    found.record_gap(ALLOWED_MS + 1, 2000)
    assert 0 < found.long_window_admitted_share(2000, returned=True)
    shares = [
        found.long_window_admitted_share(2000, returned) for returned in (True, False)
    ]
    assert shares[0] < shares[1] < 1


def test_the_first_passes_after_an_outage_refuse_nobody_at_once():
    # Guards against taking the first step for the mean of the last seconds.
    found = lasting(150, 6000)
    opened = 6000 + 3 * admission_control.STALE_MS
    found.record_gap(140, opened)
    assert found.long_window_admitted_share(opened) == 1


def rush(now):
    return 55 if 8_000 < now < 14_000 else 25


PATTERNS = [
    pytest.param(rush, lambda now: 1.2, id="a rush of 2.2 times"),
    pytest.param(
        lambda now: 30,
        lambda now: 2.4 if 8_000 < now < 13_000 else 1.2,
        id="a first map after an outage",
    ),
]


@pytest.mark.parametrize("per_s, skew", PATTERNS)
def test_more_are_in_time_when_fewer_are_let_in(per_s, skew):
    # Guards against a rush in which every admitted caller makes the others late.
    load = passes.Load(per_s, skew)
    kept = passes.play(load, limited=True)
    all_in = passes.play(load, limited=False)
    assert kept.in_time > all_in.in_time
    assert kept.share_in_time > 0.5


def test_a_calm_day_refuses_nobody():
    calm = passes.Load(lambda now: 20, lambda now: 1.2)
    assert passes.play(calm, limited=True).refused == 0


def jumps(now):
    """The skew of experts: demand jumps every 3.1 s, and two maps follow it."""
    since = now % 3100
    return 3.4 if since < 450 else 1.8 if since < 600 else 1.4


def slow_for_a_while(now):
    return 1.6 if 8_000 < now < 16_000 else 1.0


OVERLOADS = [
    pytest.param(37, slow_for_a_while, 9, 16, 0.03, id="one slow rank"),
    pytest.param(42, lambda now: 1.0, 9, 16, 0.03, id="a seventh more callers"),
    pytest.param(166, slow_for_a_while, 42, 72, 0.01, id="42 entries that see little"),
]


@pytest.mark.parametrize("per_s, slow, entries, ranks, gain", OVERLOADS)
def test_fewer_are_late_near_the_limit(per_s, slow, entries, ranks, gain):
    # Guards against more streams in flight than a jump of demand leaves capacity for.
    worth, all_in = [], []
    for seed in range(1, 9):
        load = overload.Load(
            lambda now: per_s, jumps, slow, ranks=ranks, entries=entries, seed=seed
        )
        worth.append(overload.play(load).worth)
        all_in.append(overload.play(load, overload.AllIn).worth)
    assert statistics.mean(worth) > statistics.mean(all_in) + gain, (worth, all_in)
