"""Distribution of streams over groups of ranks."""

import random

from dunlinpoint.routing import admission_control, groups
from dunlinpoint.routing.tests import zones

# Four zones of 18 endpoints each, and three groups of 24 that extend over them. The
# callers of two zones send more than those of the others.
ACROSS = {
    "g1": {"a": 18, "b": 6},
    "g2": {"b": 12, "c": 12},
    "g3": {"c": 6, "d": 18},
}
UNEVEN = {"a": 60, "b": 60, "c": 36, "d": 20}
SLOTS = 24
EVEN = {"a": 30, "b": 30, "c": 30, "d": 30}


def test_an_overloaded_zone_uses_groups_with_free_capacity():
    # Guards against an overloaded zone that uses only its own, slow group.
    deployment = zones.Deployment(UNEVEN, ACROSS)
    own_zone = zones.simulate(deployment, zones.own_zone_only)
    found = zones.simulate(deployment, zones.by_share)
    assert min(found.values()) > 2 * min(own_zone.values()), (found, own_zone)
    assert min(found.values()) > 0.8


def test_load_moves_away_from_a_group_with_a_poor_map():
    # The most loaded rank of one group has 2.6 times the mean load for 8 s.
    deployment = zones.Deployment(
        EVEN, ACROSS, lambda group, now: 2.6 if group == "g1" and now > 8000 else 1.5
    )
    own_zone = zones.simulate(deployment, zones.own_zone_only, length_ms=16_000)
    found = zones.simulate(deployment, zones.by_share, length_ms=16_000)
    assert sum(found.values()) > sum(own_zone.values())


def test_shares_do_not_oscillate():
    # Guards against all entries sending to the faster group at once.
    found = zones.simulate(zones.Deployment(EVEN, ACROSS), zones.by_share)
    assert min(found.values()) > 0.97, found


def test_streams_stay_in_their_zone_while_all_groups_are_fast():
    found = groups.Groups(120)
    found.update({"g1": 24, "g2": 24}, {"g1": 24}, SLOTS)
    for now in range(0, 60_000, 125):
        found.record_gap("g1", 50, now)
        found.record_gap("g2", 50, now)
    assert found.share_by_group["g1"] > 0.9
    assert found.share_by_group["g2"] >= groups.MIN_SHARE


def test_a_group_without_capacity_is_not_chosen():
    found = groups.Groups(120)
    found.update({"g1": 24, "g2": 24}, {"g1": 24}, SLOTS)
    full = found.controller("g1")
    full.in_flight = 9
    full.record_gap(admission_control.NO_ADMISSION * 120, 1000)
    rng = random.Random(1)
    assert {found.choose(["g1", "g2"], 1000, False, rng) for _ in range(9)} == {"g2"}
    assert found.choose(["g1"], 1000, False, rng) is None


def test_unknown_groups_are_removed():
    found = groups.Groups(120)
    found.update({"": 3}, {"": 3}, SLOTS)
    found.update({"g1": 24, "g2": 24}, {"g2": 24}, SLOTS)
    assert set(found.share_by_group) == {"g1", "g2"}
    assert abs(sum(found.share_by_group.values()) - 1) < 0.01


def test_streams_of_a_removed_group_do_not_count():
    # Guards against a negative number of streams in flight.
    found = groups.Groups(120)
    found.update({"g1": 24}, {"g1": 24}, SLOTS)
    found.controller("g1").began()
    found.update({}, {}, SLOTS)
    found.stream_ended("g1")
    found.update({"g1": 24}, {"g1": 24}, SLOTS)
    assert found.controller("g1").in_flight == 0


def test_streams_of_a_group_that_is_away_for_a_while_are_counted():
    # Guards against too many streams at a group whose endpoints were all evacuated:
    # those that ran on gave it a new controller, and their ends made its number of
    # streams negative.
    found = groups.Groups(120)
    found.update({"g1": 24}, {"g1": 24}, SLOTS)
    for _ in range(2):
        found.controller("g1").began()
    found.update({}, {}, SLOTS)
    found.record_gap("g1", 50, 1000)
    found.stream_ended("g1")
    found.update({"g1": 24}, {"g1": 24}, SLOTS)
    assert found.controller("g1").in_flight == 1
    found.update({}, {}, SLOTS)
    found.stream_ended("g1")
    assert found.controller_by_group == {}
