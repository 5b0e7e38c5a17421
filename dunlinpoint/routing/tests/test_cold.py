"""Cold endpoints: the bound of all entries together, and what an entry knows."""

import random

import pytest

from dunlinpoint.config import document as config
from dunlinpoint.routing import cold, endpoint_signals, pick
from dunlinpoint.routing.tests import cold_entries
from dunlinpoint.wire.gen.dunlin import ttypes

BOUND = 27.5
LENGTH_MS = 20_000


def always(_now):
    return True


def in_bursts(now):
    """Requests at all entries at once, after none for some seconds."""
    return now % 5000 > 3700


def fleet(count, rng, **lifetime):
    return [cold_entries.Entry.from_number(i, rng, **lifetime) for i in range(count)]


@pytest.mark.parametrize("wanted", [always, in_bursts])
@pytest.mark.parametrize("count", [1, 2, 5, 11, 14, 16, 17, 27, 35, 100, 600])
def test_all_entries_together_keep_to_the_bound(count, wanted):
    # Guards against entries that keep to their parts but together crash an endpoint.
    rng = random.Random(f"cold {count}")
    length_ms = LENGTH_MS if count <= 100 else 8_000
    arrivals = cold_entries.simulate(fleet(count, rng), wanted, length_ms, rng)
    assert cold_entries.most_in_a_second(arrivals) <= BOUND
    if wanted is always:
        settled = [at for at in arrivals if at > 5000]
        assert len(settled) >= 0.8 * 15 * (length_ms - 5000) / 1000


def growing(rng):
    return fleet(35, rng) + fleet(35, rng, begin_ms=8000), cold_entries.always


def shrinking(rng):
    return fleet(35, rng) + fleet(35, rng, end_ms=8000), cold_entries.always


def replaced(rng):
    """One entry after the other is replaced by a new one."""
    entries = fleet(20, rng)
    for i in range(15):
        entries += fleet(1, rng, end_ms=5000 + 600 * i)
        entries += fleet(1, rng, begin_ms=5000 + 600 * i)
    return entries, cold_entries.always


def isolated(rng):
    """Most of the entries reach no control, while others are added."""
    entries = fleet(35, rng) + fleet(70, rng, begin_ms=7000)
    return (
        entries,
        lambda entry, _control, now: (
            now < 6500 or entry.begin_ms or entry.number % 5 == 0
        ),
    )


def partitioned(rng):
    """Each entry reaches one of two controls, which therefore know half of them."""
    return fleet(
        35, rng
    ), lambda entry, control, now: now < 5000 or entry.number % 2 == control


def without_controls(rng):
    return fleet(35, rng), lambda _entry, _control, now: now < 5000


CHANGES = [growing, shrinking, replaced, isolated, partitioned, without_controls]


@pytest.mark.parametrize("wanted", [always, in_bursts])
@pytest.mark.parametrize("change", CHANGES)
def test_the_bound_holds_while_positions_differ(change, wanted):
    # Guards against parts derived from different numbers of entries that add up to
    # more than the whole, also at entries without contact to any control.
    for seed in range(2):
        rng = random.Random(f"{change.__name__} {seed}")
        entries, hears = change(rng)
        arrivals = cold_entries.simulate(entries, wanted, 36_000, rng, hears)
        assert cold_entries.most_in_a_second(arrivals) <= BOUND
        assert any(at > 34_000 for at in arrivals)


def test_isolated_entries_use_a_part_of_their_own():
    # Guards against an isolated entry that goes on with its part of a former number of
    # entries while the others share the whole bound by another number.
    rng = random.Random(2)
    entries = fleet(35, rng)
    cold_entries.simulate(entries, always, 10_000, rng)

    def may_send(after_ms):
        return sum(entry.send(10_000 + after_ms) for entry in entries)

    in_contact = may_send(2 * cold.rate.BOUND_SPAN_MS - cold_entries.POLL_MS)
    isolated = may_send(cold.ISOLATED_MS + 2 * cold.rate.BOUND_SPAN_MS)
    assert 0 < isolated < in_contact
    assert in_contact + isolated <= BOUND


def test_a_bound_below_one_request_permits_none():
    rng = random.Random(1)
    (entry,) = fleet(1, rng)
    entry.cold.bounds = cold.Bounds()
    entry.cold.rule_by_service = {cold_entries.SERVICE: config.Cold(0.5)}
    assert cold_entries.simulate([entry], always, LENGTH_MS, rng) == []


def member(name="i-1", sequence=1, **fields):
    return ttypes.Member(
        endpoint_id=name, service_name=cold_entries.SERVICE, sequence=sequence, **fields
    )


@pytest.fixture
def known():
    """The cold endpoints of a single entry that has known its position for long."""
    found = cold.ColdEndpoints(
        cold_entries.BOUNDS, {cold_entries.SERVICE: cold_entries.RULE}
    )
    found.update((0, 1), 0, 0)
    found.update((0, 1), 10_000, 10_000)
    return found


def test_an_endpoint_that_reports_nothing_is_cold_from_when_it_was_first_seen(known):
    # Guards against a heartbeat without the field, or an unknown incarnation, that
    # counts as warm.
    known.receive([member()], 10_000)
    known.receive([member(sequence=2)], 12_000)
    assert known.until_ms(member(), 12_000) == 13_000
    assert known.until_ms(member(), 13_000) is None
    assert known.until_ms(member(incarnation=7), 13_000) == 16_000
    assert known.until_ms(ttypes.Member(endpoint_id="p", service_name="plain"), 0) is (
        None
    )


def test_only_a_later_heartbeat_changes_until_when_an_endpoint_is_cold(known):
    # Guards against a heartbeat that was delayed, or is repeated by another control.
    known.receive([member(sequence=5, cold_left_ms=3000)], 10_000)
    known.receive([member(sequence=4, cold_left_ms=0)], 10_500)
    known.receive([member(sequence=6)], 10_600)
    assert known.until_ms(member(), 10_600) == 13_000
    known.receive([member(sequence=7, cold_left_ms=0)], 10_700)
    assert known.until_ms(member(), 10_700) is None
    known.receive([member(sequence=8, cold_left_ms=2000)], 20_000)
    assert known.until_ms(member(), 20_000) == 22_000


def test_endpoints_of_a_restored_zone_are_cold_for_the_start_time(known):
    known.receive([member(cold_left_ms=0)], 10_000)
    known.zone_restored([member()], 20_000)
    known.receive([member(sequence=2, cold_left_ms=0)], 20_500)
    assert known.until_ms(member(), 20_500) == 23_000


def test_the_state_is_kept_over_a_gap_in_the_member_list(known):
    # Guards against a partition that removes an endpoint and brings it back.
    known.receive([member(cold_left_ms=300_000)], 10_000)
    known.forget({"i-1"}, 10_000)
    known.forget(set(), 150_000)
    known.forget(set(), 150_000 + cold.RETENTION_MS)
    assert known.until_ms(member(), 300_000) == 310_000
    known.forget(set(), 150_001 + cold.RETENTION_MS)
    assert known.state_by_incarnation == {}


def test_an_endpoint_without_incarnation_that_returns_counts_as_cold(known):
    # Guards against a restart under the same id, whose first sequence numbers are lower
    # than those before it: its report was skipped and it counted as warm.
    known.receive([member(sequence=1000, cold_left_ms=0)], 10_000)
    known.forget({"i-1"}, 10_000)
    assert known.until_ms(member(), 10_000) is None
    known.forget(set(), 20_000)
    known.forget({"i-1"}, 30_000)
    assert known.until_ms(member(), 30_000) == 33_000
    known.receive([member(sequence=1, cold_left_ms=5000)], 30_000)
    assert known.until_ms(member(), 30_000) == 35_000


def test_a_request_that_may_still_be_on_its_way_delays_the_next(known):
    # Guards against a held link that delivers the requests of some seconds at once.
    known.receive([member(cold_left_ms=60_000)], 10_000)
    known.sent(member(), "call", 10_000)
    assert known.available_ms_by_key([member()], 10_500)["i-1"] < 11_000
    assert known.available_ms_by_key([member()], 10_501)["i-1"] == 70_000
    known.answered(member(), "call", 12_000)
    assert 12_000 < known.available_ms_by_key([member()], 12_000)["i-1"] < 12_100


def test_a_cold_endpoint_is_waited_for_rather_than_an_avoided_one(known):
    # Guards against calls that are sent to ranks which have just refused one as full.
    picker = pick.Picker("z", cold=known)
    warm, cold_one = member("warm", cold_left_ms=0), member(cold_left_ms=60_000)
    known.receive([warm, cold_one], 10_000)
    picker.failed("warm", 10_000)
    assert picker.pick([warm, cold_one], 10_000) is cold_one
    known.sent(cold_one, "call", 10_000)
    assert picker.pick([warm, cold_one], 10_001, wait_until_ms=10_050) is warm
    assert picker.pick([warm, cold_one], 10_001, wait_until_ms=10_100) is None
    assert 10_060 < picker.available_ms([warm, cold_one], 10_001) < 10_100
    picker.failed("i-1", 10_000)
    assert picker.pick([warm, cold_one], 10_001, wait_until_ms=10_100) is warm
    later_ms = 10_000 + pick.AVOID_MS
    assert picker.pick([warm], later_ms, wait_until_ms=later_ms + 100) is warm


def test_a_place_is_left_to_a_more_urgent_call_that_waits(known):
    picker = pick.Picker("z", cold=known)
    members = [member("a", cold_left_ms=60_000), member("b", cold_left_ms=60_000)]
    known.receive(members, 10_000)
    assert picker.pick(members, 10_000, ahead=1) is members[0]
    known.sent(members[0], "call", 10_000)
    assert picker.pick(members, 10_000, ahead=1) is None
    assert picker.available_ms(members, 10_000, ahead=1) > 10_000
    assert picker.pick(members, 10_000) is members[1]


def test_a_cold_endpoint_that_is_draining_is_not_waited_for(known):
    # Guards against calls that fail when the only cold endpoint gets no more requests.
    picker = pick.Picker("z", cold=known)
    warm, cold_one = member("warm", cold_left_ms=0), member(cold_left_ms=60_000)
    known.receive([warm, cold_one], 10_000)
    known.sent(cold_one, "call", 10_000)
    draining = endpoint_signals.Signal(is_draining=True)
    picker.signals.apply("i-1", draining, 10_000, 10_000)
    for _ in range(cold.FULL_REFUSALS):
        known.record_outcome(warm, False, 10_000)
    assert picker.pick([warm, cold_one], 10_001, wait_until_ms=10_100) is warm
    assert picker.available_ms([warm, cold_one], 10_001) is None
