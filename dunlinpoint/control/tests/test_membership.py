"""Member leases: delayed and repeated heartbeats, departures and restarts."""

from dunlinpoint.control import membership
from dunlinpoint.wire.gen.dunlin import ttypes


def heartbeat(sequence=None, **fields):
    fields = {"endpoint_id": "e1", "incarnation": 0, "host": "h", "port": 1} | fields
    return ttypes.Heartbeat(sequence=sequence, **fields)


def only(members, now=0):
    (member,) = members.members(now)
    return member


def test_a_second_heartbeat_without_a_sequence_is_accepted():
    # Guards against comparing an absent sequence with a number.
    members = membership.Membership()
    members.renew(heartbeat(), 0)
    assert not members.renew(heartbeat(load=3), 10)
    assert only(members).load == 3


def test_delayed_heartbeat_does_not_undo_draining():
    # Guards against heartbeats applied in the order of arrival.
    members = membership.Membership()
    members.renew(heartbeat(5, draining=True), 0)
    assert not members.renew(heartbeat(4, draining=False), 10)
    assert only(members).draining


def test_delayed_heartbeat_does_not_restore_an_endpoint_that_left():
    # Guards against requests to an address that now belongs to another endpoint.
    members = membership.Membership()
    members.renew(heartbeat(4), 0)
    members.leave("e1", 10)
    assert not members.renew(heartbeat(6), 20)
    assert only(members, 20).gone


def test_departure_of_an_unknown_endpoint_is_recorded():
    # As above, at a control that never received a heartbeat of the endpoint.
    members = membership.Membership()
    assert members.leave("e1", 0)
    assert not members.renew(heartbeat(6), 20)
    assert only(members, 20).gone


def test_renewals_do_not_change_the_revision():
    members = membership.Membership()
    members.renew(heartbeat(1), 0)
    before = members.revision
    members.renew(heartbeat(2, load=9), 10)
    assert members.revision == before
    members.renew(heartbeat(3, draining=True), 20)
    assert members.revision > before


def test_a_restarted_endpoint_is_a_member_at_once():
    # Guards against ordering heartbeats by sequence alone, which restarts.
    members = membership.Membership()
    members.renew(heartbeat(40, incarnation=1000), 0)
    assert members.renew(heartbeat(1, incarnation=2000, port=2), 10)
    assert only(members).port == 2


def test_an_endpoint_that_left_and_restarted_is_a_member():
    # Guards against a new incarnation taken for a delayed heartbeat.
    members = membership.Membership()
    members.renew(heartbeat(40, incarnation=1000), 0)
    members.leave("e1", 10, 1000)
    assert members.renew(heartbeat(1, incarnation=2000), 20)
    assert not only(members, 20).gone


def test_delayed_messages_of_an_earlier_incarnation_are_ignored():
    # Guards against a running endpoint drained, moved or removed by delayed messages
    # of its earlier incarnation.
    members = membership.Membership()
    members.renew(heartbeat(1, incarnation=2000), 0)
    assert not members.renew(heartbeat(41, incarnation=1000, port=9), 10)
    assert not members.renew(heartbeat(42, incarnation=1000, draining=True), 10)
    assert not members.leave("e1", 10, 1000)
    member = only(members, 10)
    assert (member.port, bool(member.draining), bool(member.gone)) == (1, False, False)


def test_a_departure_without_incarnation_covers_all_earlier_ones():
    # Guards against a departure recorded without an incarnation, which would count as
    # older than every incarnation.
    members = membership.Membership()
    assert members.leave("e1", 0, wall_ms=1500)
    assert not members.renew(heartbeat(6, incarnation=1000), 20)
    assert only(members, 20).gone
    assert members.renew(heartbeat(1, incarnation=2000), 30)
    assert not only(members, 30).gone


def test_the_time_that_an_endpoint_stays_cold_is_aged():
    # Guards against entries that take an endpoint as cold for longer than it is.
    members = membership.Membership()
    members.renew(heartbeat(1, cold_left_ms=3000), 0)
    assert only(members, 1000).cold_left_ms == 2000
    members.renew(heartbeat(2), 1500)
    assert only(members, 1600).cold_left_ms == 1400
    assert only(members, 3400).cold_left_ms == 0
    members.renew(heartbeat(1, incarnation=7), 3400)
    assert only(members, 3400).cold_left_ms is None


def test_turning_cold_is_a_change_and_a_countdown_is_none():
    # Guards against followers that are sent every heartbeat, or learn it too late.
    members = membership.Membership()
    members.renew(heartbeat(1), 0)
    assert members.renew(heartbeat(2, cold_left_ms=3000), 0)
    assert not members.renew(heartbeat(3, cold_left_ms=1800), 1200)
    assert not members.renew(heartbeat(4, cold_left_ms=900), 2400)
    assert not members.renew(heartbeat(5, cold_left_ms=0), 3600)
    assert members.renew(heartbeat(6, cold_left_ms=3000), 4800)
    assert not members.renew(heartbeat(5, cold_left_ms=0), 4900)
    assert only(members, 4900).cold_left_ms == 2900


def test_a_control_forwards_that_an_endpoint_turned_cold_with_the_changes():
    members = membership.Membership()
    members.renew(heartbeat(1), 0)
    before = members.revision
    members.renew(heartbeat(2, cold_left_ms=3000), 0)
    (member,) = members.changes_since(before, 100).members
    assert member.cold_left_ms == 2900


def test_a_pace_that_changes_by_a_tenth_is_a_change():
    # Guards against entries that learn of a slow rank only with another change.
    members = membership.Membership()
    members.renew(heartbeat(), 0)
    assert not members.renew(heartbeat(pace=1050), 10)
    assert members.renew(heartbeat(pace=1600), 20)
    assert not members.renew(heartbeat(pace=1650), 30)
    assert only(members, 30).pace == 1650
    assert members.renew(heartbeat(), 40)
    assert only(members, 40).pace is None
