"""Signals of endpoints, kept by incarnation."""

import pytest

from dunlinpoint.routing import endpoint_signals, pick
from dunlinpoint.wire.gen.dunlin import ttypes

LIFE = "i-1"
LIMITED = endpoint_signals.Signal(limit_per_s=2.0)
PAUSE_MS = 500


@pytest.fixture
def told():
    """The signals of a single entry, which received a rate limit at 1000 ms."""
    found = endpoint_signals.Signals()
    found.apply(LIFE, LIMITED, 900, 1000)
    return found


def is_limited(found):
    return found.said_by_life[LIFE].rate is not None


def test_an_answer_without_the_limit_ends_it(told):
    told.apply(LIFE, endpoint_signals.NO_SIGNAL, 1001, 1100)
    assert not is_limited(told)


def test_an_answer_asked_for_before_the_limit_was_named_does_not_end_it(told):
    # Guards against answers that overtake each other on different connections.
    told.apply(LIFE, endpoint_signals.NO_SIGNAL, 950, 1100)
    assert is_limited(told)


def test_an_answer_that_cannot_be_read_does_not_end_it(told):
    told.apply(LIFE, endpoint_signals.Signal(is_complete=False), 1001, 1100)
    assert is_limited(told)


def test_a_new_start_of_an_endpoint_has_no_limit(told):
    later = ttypes.Member(endpoint_id=LIFE, incarnation=7)
    assert told.available_ms(pick.incarnation_key(later), 1100) == 1100


def test_a_limit_outlives_a_gap_in_the_member_list(told):
    # Guards against a partition that removes an endpoint and brings it back.
    told.forget(set(), 1000 + endpoint_signals.MEMORY_MS)
    assert is_limited(told)
    told.forget(set(), 1001 + endpoint_signals.MEMORY_MS)
    assert told.said_by_life == {}


def test_a_request_uses_up_the_turn(told):
    available_ms = told.available_ms(LIFE, 1100)
    assert 1000 <= available_ms <= 1000 + PAUSE_MS
    told.sent(LIFE, available_ms)
    assert told.available_ms(LIFE, available_ms + 1) == available_ms + PAUSE_MS


def test_a_lower_limit_counts_from_now_on(told):
    told.apply(LIFE, endpoint_signals.Signal(limit_per_s=1.0), 1001, 1100)
    told.sent(LIFE, 1200)
    assert told.available_ms(LIFE, 1200) == 1200 + 2 * PAUSE_MS


def test_who_has_no_turn_is_not_picked_though_there_is_no_other():
    # Guards against treating it as an avoided endpoint, which is the last resort.
    picker = pick.Picker("z")
    members = [ttypes.Member(endpoint_id=LIFE, zone="z", slots=4)]
    picker.signals.apply(LIFE, LIMITED, 900, 1000)
    available_ms = picker.available_ms(members, 1000)
    assert picker.pick(members, available_ms - 1) is None
    assert picker.pick(members, available_ms) is members[0]


RESTS = endpoint_signals.Signal(backoff_ms=3000)


@pytest.fixture
def resting():
    """A picker whose only endpoint signalled a backoff of 3 s at 1000 ms, and it."""
    picker = pick.Picker("z")
    picker.signals.apply(LIFE, RESTS, 990, 1000)
    return picker, [ttypes.Member(endpoint_id=LIFE, zone="z", slots=4)]


def test_a_resting_endpoint_is_not_picked_though_there_is_no_other(resting):
    picker, members = resting
    assert picker.pick(members, 3999) is None
    assert picker.available_ms(members, 3999) == 4000
    assert picker.pick(members, 4000) is members[0]


def test_an_answer_to_an_earlier_request_does_not_end_a_rest(resting):
    # Guards against the end of an earlier stream making the endpoint available again.
    picker, members = resting
    picker.signals.apply(LIFE, endpoint_signals.NO_SIGNAL, 500, 2000)
    picker.succeeded(LIFE)
    assert picker.pick(members, 3999) is None


def test_a_shorter_rest_does_not_end_a_longer_one(resting):
    picker, members = resting
    picker.signals.apply(LIFE, endpoint_signals.Signal(backoff_ms=100), 990, 1100)
    assert picker.available_ms(members, 1200) == 4000


def test_a_rest_outlives_a_gap_in_the_member_list(resting):
    picker, members = resting
    long = endpoint_signals.Signal(backoff_ms=2 * endpoint_signals.MEMORY_MS)
    picker.signals.apply(LIFE, long, 990, 1000)
    picker.signals.forget(set(), 1000 + 2 * endpoint_signals.MEMORY_MS)
    assert picker.pick(members, 1000 + 2 * endpoint_signals.MEMORY_MS - 1) is None


def test_both_a_rest_and_a_limit_are_kept_to(resting):
    picker, members = resting
    picker.signals.apply(LIFE, endpoint_signals.Signal(limit_per_s=0.1), 4000, 4000)
    picker.signals.sent(LIFE, 4000)
    assert picker.available_ms(members, 4001) == 14_000
    picker.signals.apply(
        LIFE, endpoint_signals.Signal(0.1, backoff_ms=20_000), 4000, 4002
    )
    assert picker.available_ms(members, 4003) == 24_002


def test_an_endpoint_that_leaves_is_not_picked_any_more():
    # Guards against requests to a draining endpoint that control still lists as ready.
    picker = pick.Picker("z")
    members = [ttypes.Member(endpoint_id=LIFE, zone="z", slots=4)]
    picker.signals.apply(LIFE, endpoint_signals.Signal(is_draining=True), 990, 1000)
    picker.signals.apply(LIFE, endpoint_signals.NO_SIGNAL, 980, 1001)
    picker.succeeded(LIFE)
    assert picker.pick(members, 60_000) is None
    assert picker.available_ms(members, 60_000) is None


def test_a_new_start_of_an_endpoint_that_left_is_picked():
    picker = pick.Picker("z")
    picker.signals.apply(LIFE, endpoint_signals.Signal(is_draining=True), 990, 1000)
    later = ttypes.Member(endpoint_id=LIFE, incarnation=7, zone="z", slots=4)
    assert picker.pick([later], 1001) is later
