"""Signals of endpoints, kept by incarnation."""

import pytest

from dunlinpoint.routing import endpoint_signals, pick
from dunlinpoint.wire.gen.dunlin import ttypes

INCARNATION = "i-1"
LIMITED = endpoint_signals.Signal(limit_per_s=2.0)
INTERVAL_MS = 500


@pytest.fixture
def limited():
    """The signals of a single entry, which received a rate limit at 1000 ms."""
    found = endpoint_signals.Signals()
    found.apply(INCARNATION, LIMITED, 900, 1000)
    return found


def is_limited(found):
    return found.state_by_incarnation[INCARNATION].limiter is not None


def test_an_answer_without_the_limit_ends_it(limited):
    limited.apply(INCARNATION, endpoint_signals.NO_SIGNAL, 1001, 1100)
    assert not is_limited(limited)


def test_an_answer_to_a_request_before_the_limit_does_not_end_it(limited):
    # Guards against answers that overtake each other on different connections.
    limited.apply(INCARNATION, endpoint_signals.NO_SIGNAL, 950, 1100)
    assert is_limited(limited)


def test_an_answer_that_cannot_be_parsed_does_not_end_it(limited):
    limited.apply(INCARNATION, endpoint_signals.Signal(is_complete=False), 1001, 1100)
    assert is_limited(limited)


def test_a_new_incarnation_has_no_limit(limited):
    later = ttypes.Member(endpoint_id=INCARNATION, incarnation=7)
    assert limited.available_ms(pick.incarnation_key(later), 1100) == 1100


def test_a_limit_is_kept_over_a_gap_in_the_member_list(limited):
    # Guards against a partition that removes an endpoint and brings it back.
    limited.forget(set(), 1000 + endpoint_signals.RETENTION_MS)
    assert is_limited(limited)
    limited.forget(set(), 1001 + endpoint_signals.RETENTION_MS)
    assert limited.state_by_incarnation == {}


def test_a_request_delays_the_next_by_the_interval(limited):
    available_ms = limited.available_ms(INCARNATION, 1100)
    assert 1000 <= available_ms <= 1000 + INTERVAL_MS
    limited.sent(INCARNATION, available_ms)
    assert (
        limited.available_ms(INCARNATION, available_ms + 1)
        == available_ms + INTERVAL_MS
    )


def test_a_lower_limit_counts_from_now_on(limited):
    limited.apply(INCARNATION, endpoint_signals.Signal(limit_per_s=1.0), 1001, 1100)
    limited.sent(INCARNATION, 1200)
    assert limited.available_ms(INCARNATION, 1200) == 1200 + 2 * INTERVAL_MS


def test_an_endpoint_at_its_limit_is_not_picked_as_the_last_resort():
    # Guards against treating it as an avoided endpoint, which is the last resort.
    picker = pick.Picker("z")
    members = [ttypes.Member(endpoint_id=INCARNATION, zone="z", slots=4)]
    picker.signals.apply(INCARNATION, LIMITED, 900, 1000)
    available_ms = picker.available_ms(members, 1000)
    assert picker.pick(members, available_ms - 1) is None
    assert picker.pick(members, available_ms) is members[0]


BACKOFF = endpoint_signals.Signal(backoff_ms=3000)


@pytest.fixture
def backing_off():
    """A picker whose only endpoint signalled a backoff of 3 s at 1000 ms, and it."""
    picker = pick.Picker("z")
    picker.signals.apply(INCARNATION, BACKOFF, 990, 1000)
    return picker, [ttypes.Member(endpoint_id=INCARNATION, zone="z", slots=4)]


def test_an_endpoint_in_backoff_is_not_picked_as_the_last_resort(backing_off):
    picker, members = backing_off
    assert picker.pick(members, 3999) is None
    assert picker.available_ms(members, 3999) == 4000
    assert picker.pick(members, 4000) is members[0]


def test_an_answer_to_an_earlier_request_does_not_end_a_backoff(backing_off):
    # Guards against the end of an earlier stream making the endpoint available again.
    picker, members = backing_off
    picker.signals.apply(INCARNATION, endpoint_signals.NO_SIGNAL, 500, 2000)
    picker.succeeded(INCARNATION)
    assert picker.pick(members, 3999) is None


def test_a_shorter_backoff_does_not_end_a_longer_one(backing_off):
    picker, members = backing_off
    picker.signals.apply(
        INCARNATION, endpoint_signals.Signal(backoff_ms=100), 990, 1100
    )
    assert picker.available_ms(members, 1200) == 4000


def test_a_backoff_is_kept_over_a_gap_in_the_member_list(backing_off):
    picker, members = backing_off
    long = endpoint_signals.Signal(backoff_ms=2 * endpoint_signals.RETENTION_MS)
    picker.signals.apply(INCARNATION, long, 990, 1000)
    picker.signals.forget(set(), 1000 + 2 * endpoint_signals.RETENTION_MS)
    assert picker.pick(members, 1000 + 2 * endpoint_signals.RETENTION_MS - 1) is None


def test_backoff_and_limit_apply_together(backing_off):
    picker, members = backing_off
    picker.signals.apply(
        INCARNATION, endpoint_signals.Signal(limit_per_s=0.1), 4000, 4000
    )
    picker.signals.sent(INCARNATION, 4000)
    assert picker.available_ms(members, 4001) == 14_000
    picker.signals.apply(
        INCARNATION, endpoint_signals.Signal(0.1, backoff_ms=20_000), 4000, 4002
    )
    assert picker.available_ms(members, 4003) == 24_002


def test_a_draining_endpoint_is_not_picked():
    # Guards against requests to a draining endpoint that control still lists as ready.
    picker = pick.Picker("z")
    members = [ttypes.Member(endpoint_id=INCARNATION, zone="z", slots=4)]
    picker.signals.apply(
        INCARNATION, endpoint_signals.Signal(is_draining=True), 990, 1000
    )
    picker.signals.apply(INCARNATION, endpoint_signals.NO_SIGNAL, 980, 1001)
    picker.succeeded(INCARNATION)
    assert picker.pick(members, 60_000) is None
    assert picker.available_ms(members, 60_000) is None


def test_a_new_incarnation_of_a_drained_endpoint_is_picked():
    picker = pick.Picker("z")
    picker.signals.apply(
        INCARNATION, endpoint_signals.Signal(is_draining=True), 990, 1000
    )
    later = ttypes.Member(endpoint_id=INCARNATION, incarnation=7, zone="z", slots=4)
    assert picker.pick([later], 1001) is later
