"""Admission when steps get long."""

import random
import statistics

import pytest

from dunlinpoint.routing import admission_control
from dunlinpoint.routing.tests import decode_steps, overload

MAX_GAP_MS = 120


def controller_with(in_flight, gap_ms=None, now=1000):
    found = admission_control.AdmissionController(MAX_GAP_MS)
    for _ in range(in_flight):
        found.began()
    if gap_ms is not None:
        for _ in range(in_flight):
            found.record_gap(gap_ms, now)
    return found


def test_all_are_admitted_while_steps_are_short():
    assert controller_with(20).admitted_share(1000) == 1
    assert controller_with(20, 60).admitted_share(1000) == 1


def test_none_is_admitted_from_long_steps_until_they_are_short_again():
    found = controller_with(20, 118)
    assert found.admitted_share(1000) == 0
    assert not found.admits(1000, random.Random(1))
    found.record_gap(95, 1000 + admission_control.RECENT_MS + 1)
    assert 0 < found.admitted_share(1200) < 1
    found.record_gap(55, 1200 + admission_control.RECENT_MS + 1)
    assert found.admitted_share(1400) == 1


def test_longer_steps_lower_the_admitted_share():
    shares = [
        controller_with(20, gap_ms).admitted_share(1000) for gap_ms in range(70, 116, 4)
    ]
    assert shares == sorted(shares, reverse=True)
    assert len(set(shares)) > 5


def test_a_retry_is_admitted_at_longer_steps():
    # In a rush, a caller that was refused once has no attempt after this one.
    found = controller_with(10, 98)
    assert found.admitted_share(1000, is_retry=True) > found.admitted_share(1000)
    just_over = controller_with(10, admission_control.NO_ADMISSION * MAX_GAP_MS)
    assert just_over.admitted_share(1000) == 0
    assert just_over.admitted_share(1000, is_retry=True) > 0
    assert admission_control.is_caller_retry(6900, 8000)
    assert not admission_control.is_caller_retry(7900, 8000)


def test_some_are_always_admitted():
    assert controller_with(1, 200).admits(1000, random.Random(1))


def test_the_first_short_step_restores_full_admission():
    # Guards against a limit that remains from the first steps after an outage.
    found = controller_with(20, 119)
    for _ in range(20):
        found.record_gap(55, 1200)
    assert found.admitted_share(1200) == 1


def test_stale_steps_do_not_limit_admission():
    # Guards against callers refused by an entry without any stream in flight.
    found = controller_with(20, 118)
    assert found.admitted_share(1000 + admission_control.STALE_MS + 1) == 1


def test_a_stalled_group_does_not_count_as_slow():
    # Guards against taking the gap of an outage for the length of a step.
    assert controller_with(20, 3000).admitted_share(1000) == 1


def after_gaps(gap_ms, for_ms, in_flight=20):
    """An ``AdmissionController`` that recorded gaps of *gap_ms* from 0 to *for_ms*."""
    found = controller_with(in_flight)
    for now in range(0, for_ms + 1, 50):
        found.record_gap(gap_ms, now)
    return found


def test_a_single_jump_of_demand_has_none_refused_at_once():
    # Guards against refusing callers that would be in time after a short wait.
    found = after_gaps(45, 6000)
    for now in range(6050, 6450, 50):
        found.record_gap(130, now)
    assert found.admitted_share(6400) == 0
    assert found.long_window_admitted_share(6400) == 1


def test_sustained_long_steps_have_a_share_refused_until_they_are_short():
    found = after_gaps(150, 6000)
    assert found.long_window_admitted_share(6000) < 0.1
    for now in range(6050, 12000, 50):
        found.record_gap(60, now)
    assert found.long_window_admitted_share(12000) == 1


def test_steps_within_the_allowed_gap_have_none_refused_at_once():
    # Guards against permanent refusals where the engines' steps are always long.
    assert after_gaps(100, 20_000).long_window_admitted_share(20_000) == 1


def test_sustained_overload_admits_fewer_retries_than_first_attempts():
    found = after_gaps(105, 2000)
    found.record_gap(MAX_GAP_MS + 1, 2000)
    assert 0 < found.long_window_admitted_share(2000, is_retry=True)
    shares = [
        found.long_window_admitted_share(2000, is_retry) for is_retry in (True, False)
    ]
    assert shares[0] < shares[1] < 1


def test_the_first_steps_after_an_outage_have_none_refused_at_once():
    # Guards against taking the first step for the mean of the last seconds.
    found = after_gaps(150, 6000)
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
def test_more_are_in_time_when_fewer_are_admitted(per_s, skew):
    # Guards against a rush in which every admitted caller makes the others late.
    load = decode_steps.Load(per_s, skew)
    limited = decode_steps.simulate(load, limited=True)
    unlimited = decode_steps.simulate(load, limited=False)
    assert limited.in_time > unlimited.in_time
    assert limited.share_in_time > 0.5


def test_normal_load_has_none_refused():
    load = decode_steps.Load(lambda now: 20, lambda now: 1.2)
    assert decode_steps.simulate(load, limited=True).refused == 0


def jumps(now):
    """The skew of experts: demand jumps every 3.1 s, and two maps follow it."""
    since = now % 3100
    return 3.4 if since < 450 else 1.8 if since < 600 else 1.4


def slow_rank(now):
    return 1.6 if 8_000 < now < 16_000 else 1.0


OVERLOADS = [
    pytest.param(37, slow_rank, 9, 16, 0.03, id="one slow rank"),
    pytest.param(42, lambda now: 1.0, 9, 16, 0.03, id="a seventh more callers"),
    pytest.param(166, slow_rank, 42, 72, 0.01, id="42 entries that see little"),
]


@pytest.mark.parametrize("per_s, slow, entries, ranks, gain", OVERLOADS)
def test_fewer_are_late_near_capacity(per_s, slow, entries, ranks, gain):
    # Guards against more streams in flight than a jump of demand leaves capacity for.
    scores, unlimited = [], []
    for seed in range(1, 9):
        load = overload.Load(
            lambda now: per_s, jumps, slow, ranks=ranks, entries=entries, seed=seed
        )
        scores.append(overload.simulate(load).score)
        unlimited.append(overload.simulate(load, overload.FullAdmission).score)
    assert statistics.mean(scores) > statistics.mean(unlimited) + gain, (
        scores,
        unlimited,
    )
