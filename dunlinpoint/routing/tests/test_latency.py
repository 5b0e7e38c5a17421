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

STANDS_MS = 4_000, 10_600
# Windows of a caller's first attempt: while the group is stalled, and once it is open.
FIRST, STANDING, OPEN = 2, range(2, 5), range(6, 9)
LATE = 0.5
SEEDS = range(1, 4)
ALL_SLOTS = 99


def skew(now):
    """The skew of experts: the first maps after the opening take 0.4 s."""
    return 3.0 if STANDS_MS[1] <= now < STANDS_MS[1] + 400 else 1.6


def play(per_s=110, **how):
    """Outcomes of the callers of all seeds, by the window of their first attempt."""
    ends = collections.defaultdict(collections.Counter)
    for seed in SEEDS:
        load = overload.Load(
            lambda now: per_s,
            skew,
            ranks=63,
            entries=30,
            length_ms=22_000,
            seed=seed,
            engine=overload.ACROSS,
            stands_ms=STANDS_MS,
            **how,
        )
        for window, counts in overload.play(load).by_window.items():
            ends[window] += counts
    return ends


def worth(ends, windows):
    """The mean score of the callers of *windows*."""
    counts = sum((ends[window] for window in windows), collections.Counter())
    return (counts["in_time"] + LATE * counts["late"]) / counts.total()


def test_who_asks_while_a_group_stands_is_served_late_by_waiting_at_each_try():
    # Guards against refusing the first attempt at once: no such caller was served.
    assert worth(play(sends_off_at_first=True), [FIRST]) < 0.01
    assert worth(play(), [FIRST]) > 0.1


def test_who_asks_after_an_outage_is_not_made_late_by_those_who_waited():
    # Guards against the callers that waited taking every slot at once.
    assert worth(play(late_share=ALL_SLOTS, late_are_last=False), OPEN) < 0.8
    assert worth(play(), OPEN) > 0.9


@pytest.mark.parametrize("per_s", [80, 95, 110])
def test_the_worst_seconds_of_an_outage_are_better_for_waiting_at_each_try(per_s):
    def worst(ends):
        return min(worth(ends, [window]) for window in STANDING)

    sent_off = play(per_s, sends_off_at_first=True)
    assert worst(play(per_s)) > worst(sent_off) + 0.1
    assert worth(play(per_s), STANDING) > 0.9 * worth(sent_off, STANDING)


def test_a_caller_is_late_once_its_aim_has_passed():
    assert not latency.is_past_latency_target(8000, 8000, 400)
    assert not latency.is_past_latency_target(7600, 8000, 400)
    assert latency.is_past_latency_target(7599, 8000, 400)
    assert not latency.is_past_latency_target(1, 8000, 0)


def member(zone, slots=5):
    return ttypes.Member(endpoint_id=f"{zone}-{slots}", zone=zone, slots=slots)


def test_slots_fall_to_the_entries_of_their_zone():
    members = [member("a")] * 4 + [member("b")] * 2
    assert latency.entry_slots(members, "a", 2) == 10
    assert latency.entry_slots(members, "b", 1) == 10


def test_a_zone_without_endpoints_has_its_part_of_all_slots():
    members = [member("a")] * 4 + [member("b")] * 4
    assert latency.entry_slots(members, "c", 2) == 10
    assert latency.entry_slots([], "c", 0) == 0


def test_endpoints_that_do_not_say_how_many_they_run_have_some_slots():
    # Guards against late callers that are never admitted, as no slot is known.
    assert latency.entry_slots([member("a", None)], "a", 1) > 0


def test_who_has_no_other_try_is_next_and_then_who_would_leave_first():
    queue = latency.Queue()
    turns = [(True, 500, 1), (False, 900, 2), (False, 700, 3)]
    for turn in turns:
        queue.enter(turn)
    assert [queue.ahead_of(turn) for turn in turns] == [2, 1, 0]
    queue.leave(turns[2])
    queue.leave(turns[2])
    assert [queue.ahead_of(turn) for turn in turns[:2]] == [1, 0]


def test_callers_wait_a_little_less_long_than_they_stay():
    event_timeout_ms = outage.event_timeout_ms(400, 120)
    assert 0 < outage.FIRST_EVENT_RESERVE_MS < event_timeout_ms / 4
