"""Members under leases: what late and repeated heartbeats may not do."""

from dunlinpoint.control import membership
from dunlinpoint.wire.gen.dunlin import ttypes


def beat(sequence=None, **fields):
    fields = {"endpoint_id": "e1", "incarnation": 0, "host": "h", "port": 1} | fields
    return ttypes.Heartbeat(sequence=sequence, **fields)


def only(members, now=0):
    (member,) = members.members(now)
    return member


def test_a_second_heartbeat_without_a_sequence_is_taken():
    # Symptom: an agent's second heartbeat fails inside control, its loop
    # ends, and entries answer "not run" for want of members. Sequence: two
    # heartbeats of an agent that sends no sequence. Cause: an absent field
    # compared with a number.
    members = membership.Membership()
    members.renew(beat(), 0)
    assert not members.renew(beat(load=3), 10)
    assert only(members).load == 3


def test_late_heartbeat_does_not_undo_draining():
    # Symptom: a leaving endpoint gets new work again. Sequence: "ready" with
    # sequence 4 is held up by a cut, "draining" with 5 arrives, then 4 does.
    # Cause: heartbeats taken in the order of arrival.
    members = membership.Membership()
    members.renew(beat(5, draining=True), 0)
    assert not members.renew(beat(4, draining=False), 10)
    assert only(members).draining


def test_late_heartbeat_does_not_bring_back_what_left():
    # Symptom: requests go to an address that another endpoint has taken.
    # Sequence: the endpoint leaves; a heartbeat from before arrives. Cause:
    # nothing remembered that it had left.
    members = membership.Membership()
    members.renew(beat(4), 0)
    members.leave("e1", 10)
    assert not members.renew(beat(6), 20)
    assert only(members, 20).gone


def test_leave_of_an_unknown_endpoint_is_remembered():
    # Symptom and cause as above; here the control never saw it alive.
    members = membership.Membership()
    assert members.leave("e1", 0)
    assert not members.renew(beat(6), 20)
    assert only(members, 20).gone


def test_renewals_leave_the_revision_alone():
    members = membership.Membership()
    members.renew(beat(1), 0)
    before = members.revision
    members.renew(beat(2, load=9), 10)
    assert members.revision == before
    members.renew(beat(3, draining=True), 20)
    assert members.revision > before
