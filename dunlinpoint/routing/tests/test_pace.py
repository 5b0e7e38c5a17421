"""Who is let in when passes get long."""

import pytest

from dunlinpoint.routing import pace
from dunlinpoint.routing.tests import passes

ALLOWED_MS = 120


def paced(in_flight):
    found = pace.Pace(ALLOWED_MS)
    for _ in range(in_flight):
        found.began()
    return found


def see(found, pause_ms, turns=1, start_ms=1000):
    for turn in range(turns):
        for _ in range(pace.LEAST_PAUSES):
            found.saw(pause_ms, start_ms + turn * pace.TURN_MS - 1)
        found.saw(pause_ms, start_ms + turn * pace.TURN_MS)


def test_nobody_is_kept_out_while_pauses_are_short():
    found = paced(20)
    see(found, 60, turns=5)
    assert found.limit is None and found.has_room()


def test_long_pauses_keep_new_ones_out_until_they_are_short_again():
    found = paced(20)
    see(found, 118)
    assert not found.has_room()
    kept = found.limit
    see(found, 95, turns=3, start_ms=5000)
    assert found.limit == kept
    for _ in range(20 - int(kept)):
        found.ended()
    see(found, 70, turns=2, start_ms=9000)
    assert found.limit > kept


def test_a_caller_that_came_back_finds_more_room():
    # Pattern: a rush; callers refused once come back with less time left and
    # have no try after it. Those who have just come still have one.
    found = paced(10)
    found.limit = 9.0
    assert not found.has_room()
    assert found.has_room(returned=True)
    assert pace.has_returned(6900, 8000)
    assert not pace.has_returned(7900, 8000)


def test_some_are_always_let_in():
    found = paced(1)
    see(found, 200, turns=9)
    assert found.has_room()


def test_room_comes_back_fast_where_passes_are_short():
    # Pattern: everyone returns after an outage. Symptom: refused for want of room
    # at pauses of half the allowed. Cause: a limit of 17 that grew by one a turn.
    found = paced(20)
    found.limit = 16.6
    see(found, 55, turns=3)
    assert found.limit > 16.6 * 1.5
    careful = paced(20)
    careful.limit = 16.6
    see(careful, 84, turns=3)
    assert careful.limit < 16.6 + 4


def test_a_group_that_stood_is_no_slow_one():
    # Symptom: after an outage, entries refuse what the group could serve.
    # Sequence: the group stands for 3 s; each stream sees one pause of 3 s.
    # Cause: taking that pause for the pace of passes.
    found = paced(20)
    see(found, 3000, turns=3)
    assert found.limit is None


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
    # Pattern: more arrive than passes of the allowed length have room for.
    # Let in, every one of them makes all others late. Ratios against the
    # same day with everyone let in.
    load = passes.Load(per_s, skew)
    kept = passes.play(load, limited=True)
    all_in = passes.play(load, limited=False)
    assert kept.in_time > all_in.in_time
    assert kept.share_in_time > 0.5


def test_a_calm_day_refuses_nobody():
    calm = passes.Load(lambda now: 20, lambda now: 1.2)
    assert passes.play(calm, limited=True).refused == 0
