"""Callers made late by an outage: waiting during it, and admission after it.

One group of 63 ranks is stalled for 6.6 s while 110 callers a second arrive, each with
two attempts within 8 s. The group has 315 slots; callers within their latency target
need 180 of them.
"""

import collections

import pytest

from dunlinpoint.routing import latency, outage
from dunlinpoint.routing.tests import overload
from dunlinpoint.wire.gen.dunlin import ttypes

STALLED_MS = 4_000, 10_600
# Windows of a caller's first attempt: while the group is stalled, and once it is open.
FIRST, STALLED, OPEN = 2, range(2, 5), range(6, 9)
LATE_SCORE = 0.5
SEEDS = range(1, 4)
ALL_SLOTS = 99


def skew(now):
    """The skew of experts: the first maps after the opening take 0.4 s."""
    return 3.0 if STALLED_MS[1] <= now < STALLED_MS[1] + 400 else 1.6


def simulate(per_s=110, **options):
    """Outcomes of the callers of all seeds, by the window of their first attempt."""
    outcomes = collections.defaultdict(collections.Counter)
    for seed in SEEDS:
        load = overload.Load(
            lambda now: per_s,
            skew,
            ranks=63,
            entries=30,
            length_ms=22_000,
            seed=seed,
            engine=overload.THREE_ZONES,
            stalled_ms=STALLED_MS,
            **options,
        )
        for window, counts in overload.simulate(load).by_window.items():
            outcomes[window] += counts
    return outcomes


def score(outcomes, windows):
    """The mean score of the callers of *windows*."""
    counts = sum((outcomes[window] for window in windows), collections.Counter())
    return (counts["in_time"] + LATE_SCORE * counts["late"]) / counts.total()


def test_waiting_at_each_attempt_serves_callers_that_arrive_during_a_stall():
    # Guards against refusing the first attempt at once: no such caller was served.
    assert score(simulate(refuses_first_attempts=True), [FIRST]) < 0.01
    assert score(simulate(), [FIRST]) > 0.1


def test_the_backlog_of_an_outage_does_not_make_later_callers_late():
    # Guards against the callers that waited taking every slot at once.
    assert (
        score(simulate(late_slots_fraction=ALL_SLOTS, late_served_last=False), OPEN)
        < 0.8
    )
    assert score(simulate(), OPEN) > 0.9


@pytest.mark.parametrize("per_s", [80, 95, 110])
def test_waiting_at_each_attempt_improves_the_worst_seconds_of_an_outage(per_s):
    def worst(outcomes):
        return min(score(outcomes, [window]) for window in STALLED)

    refused = simulate(per_s, refuses_first_attempts=True)
    assert worst(simulate(per_s)) > worst(refused) + 0.1
    assert score(simulate(per_s), STALLED) > 0.9 * score(refused, STALLED)


def test_a_caller_is_late_once_its_latency_target_has_passed():
    assert not latency.is_past_latency_target(8000, 8000, 400)
    assert not latency.is_past_latency_target(7600, 8000, 400)
    assert latency.is_past_latency_target(7599, 8000, 400)
    assert not latency.is_past_latency_target(1, 8000, 0)


def member(zone, slots=5):
    return ttypes.Member(endpoint_id=f"{zone}-{slots}", zone=zone, slots=slots)


def test_slots_are_divided_over_the_entries_of_their_zone():
    members = [member("a")] * 4 + [member("b")] * 2
    assert latency.entry_slots(members, "a", 2) == 10
    assert latency.entry_slots(members, "b", 1) == 10


def test_a_zone_without_endpoints_gets_its_portion_of_all_slots():
    members = [member("a")] * 4 + [member("b")] * 4
    assert latency.entry_slots(members, "c", 2) == 10
    assert latency.entry_slots([], "c", 0) == 0


def test_endpoints_that_report_no_slots_count_with_a_default():
    # Guards against late callers that are never admitted, as no slot is known.
    assert latency.entry_slots([member("a", None)], "a", 1) > 0


def test_last_attempts_go_first_and_then_the_earliest_timeout():
    queue = latency.Queue()
    keys = [(True, 500, 1), (False, 900, 2), (False, 700, 3)]
    for key in keys:
        queue.enter(key)
    assert [queue.ahead_of(key) for key in keys] == [2, 1, 0]
    queue.leave(keys[2])
    queue.leave(keys[2])
    assert [queue.ahead_of(key) for key in keys[:2]] == [1, 0]


def test_callers_wait_a_little_less_than_their_timeout():
    event_timeout_ms = outage.event_timeout_ms(400, 120)
    assert 0 < outage.FIRST_EVENT_RESERVE_MS < event_timeout_ms / 4
