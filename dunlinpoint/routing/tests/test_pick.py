"""Selection of endpoints: load, zones, failures, and an even distribution."""

import collections

import attrs
import pytest

from dunlinpoint.control import followers
from dunlinpoint.routing import endpoint_order, pick
from dunlinpoint.routing.tests import model
from dunlinpoint.wire.gen.dunlin import ttypes


def member(name, zone="z0", slots=6, load=0):
    return ttypes.Member(endpoint_id=name, zone=zone, slots=slots, load=load)


def chosen(picker, members, now=0, exclude=()):
    found = picker.pick(members, now, exclude)
    return found and found.endpoint_id


def test_the_least_loaded_is_picked_and_order_breaks_ties():
    picker = pick.Picker("z0")
    members = [member("b"), member("a")]
    assert chosen(picker, members) == "b"
    picker.began("b")
    assert chosen(picker, members) == "a"
    picker.ended("b")
    assert chosen(picker, members) == "b"


def test_another_zone_is_used_once_the_own_one_is_busier():
    picker = pick.Picker("z0")
    members = [member("near"), member("far", "z1")]
    assert chosen(picker, members) == "near"
    picker.began("near")
    assert chosen(picker, members) == "near"
    picker.began("near")
    assert chosen(picker, members) == "far"


def test_reported_load_counts_if_it_is_higher():
    picker = pick.Picker("z0")
    assert chosen(picker, [member("a", load=3), member("b", load=1)]) == "b"


def test_a_failed_endpoint_is_avoided_for_a_while():
    picker = pick.Picker("z0")
    members = [member("a"), member("b")]
    picker.failed("a", 0)
    assert chosen(picker, members) == "b"
    assert chosen(picker, members, pick.AVOID_MS) == "a"
    assert chosen(picker, members[:1]) == "a"
    assert chosen(picker, members, exclude={"a", "b"}) is None


def test_records_of_removed_endpoints_are_dropped():
    # Guards against memory that grows with every endpoint that has ever existed.
    picker = pick.Picker("z0")
    for i in range(3000):
        name = f"e{i}"
        picker.began(name)
        picker.ended(name)
        picker.forget({name})
    assert len(picker.record_by_incarnation) == 1


def test_each_entry_begins_at_another_endpoint():
    members = [member(f"m{i}") for i in range(6)]
    first = [endpoint_order.rotated(members, i, 3)[0].endpoint_id for i in range(3)]
    assert first == ["m0", "m2", "m4"]
    assert endpoint_order.rotated([], 0, 3) == []
    assert endpoint_order.rotated(members, 0, 0) == members


def test_the_entries_of_a_zone_begin_at_evenly_spaced_endpoints():
    # Guards against entries of a zone that begin at endpoints close to each other.
    members = [member(f"m{i}", f"z{i % 3}") for i in range(24)]
    first = [endpoint_order.preferred_order(members, "z1", i, 4)[0] for i in range(4)]
    assert {m.zone for m in first} == {"z1"}
    assert [m.endpoint_id for m in first] == ["m1", "m7", "m13", "m19"]


def test_indexes_follow_the_entries_that_poll():
    known = followers.Followers()

    def position(zone, name, now):
        """Index and number of entries: in the zone, then in all zones."""
        return attrs.astuple(known.position_of(zone, name, now))

    assert position("z1", "", 0) == (0, 0, 0, 0)
    assert position("z1", "b", 0) == (0, 1, 0, 1)
    assert position("z1", "a", 10) == (0, 2, 0, 2)
    assert position("z2", "a", 10) == (0, 1, 2, 3)
    assert position("z1", "b", 20) == (1, 2, 1, 3)
    assert position("z1", "b", 20 + followers.ENTRY_TIMEOUT_MS) == (0, 1, 0, 1)


def test_a_poll_does_not_renumber_all_entries():
    # Guards against a control that needs a whole core for the polls of some hundred
    # entries.
    known = followers.Followers()
    names = [f"e{i}" for i in range(600)]
    for name in names:
        known.position_of("z1", name, 10)
    before = known.position_by_entry
    assert [known.position_of("z1", name, 300).entry_count for name in names] == [
        600
    ] * 600
    assert known.position_by_entry is before


# Upper limit of the requests that one rank gets in a run, over the mean of the ranks.
MAX_SENT_RATIO = 1.4
# A deployment of today's size, a grown one, and one with as many entries as the design
# allows for; arrivals fill about three quarters of the ranks' slots.
GROUPS = [
    pytest.param(model.Group(6, 12, 28), 1.50, id="today"),
    pytest.param(model.Group(31, 72, 150, slots=5), 1.80, id="grown"),
    pytest.param(model.Group(140, 64, 140, length_s=15), 2.00, id="many entries"),
]


@pytest.mark.parametrize("group, busiest", GROUPS)
def test_entries_without_shared_state_distribute_evenly(group, busiest):
    # Guards against a busiest endpoint that determines the speed of all others.
    found = model.simulate(group, model.round_robin)
    before = model.simulate(group, model.at_random)
    assert found.busiest <= busiest
    assert found.busiest <= before.busiest
    assert found.busiest < model.simulate(group, model.same).busiest
    assert found.most <= MAX_SENT_RATIO


def test_a_zone_with_few_ranks_of_a_group_does_not_overload_them():
    # Guards against six ranks getting all that their zone sends to a group of 24.
    group = [member(f"a{i:02}", "a") for i in range(18)]
    group += [member(f"b{i:02}", "b") for i in range(6)]
    got = collections.Counter()
    for position in range(8):
        picker = pick.Picker("b")
        order = endpoint_order.preferred_order_in_group(group, "b", position, 8)
        assert not endpoint_order.is_evenly_distributed(group, "b")
        for _ in range(9):
            found = picker.pick(order, 0, prefer_own_zone=False)
            picker.began(found.endpoint_id)
            got[found.endpoint_id] += 1
    in_b = sum(count for name, count in got.items() if name.startswith("b"))
    assert in_b <= 8 * 9 / 24 * 6 * 1.35
    assert max(got.values()) <= 2 * 8 * 9 / 24


def test_an_even_group_is_used_in_the_own_zone_first():
    group = [member(f"a{i}", "a") for i in range(4)]
    group += [member(f"b{i}", "b") for i in range(4)]
    assert endpoint_order.is_evenly_distributed(group, "b")
    order = endpoint_order.preferred_order_in_group(group, "b", 0, 2)
    assert [m.zone for m in order[:4]] == ["b"] * 4


def test_a_restarted_endpoint_has_a_new_record():
    # Guards against the state of the previous incarnation counting against a new one.
    picker = pick.Picker("z0")
    earlier, again = member("a"), member("a")
    earlier.incarnation, again.incarnation = 1000, 2000
    for _ in range(3):
        picker.began(pick.incarnation_key(earlier))
        picker.failed(pick.incarnation_key(earlier), 0)
    other = member("b")
    tried = {pick.incarnation_key(earlier)}
    assert chosen(picker, [again, other], exclude=tried) == "a"
    picker.ended(pick.incarnation_key(earlier))
    assert picker.record(pick.incarnation_key(again)).in_flight == 0
