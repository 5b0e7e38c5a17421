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


def test_an_endpoint_that_starts_again_is_a_member_at_once():
    # Symptom: a restarted endpoint gets no work until its earlier life's lease has
    # run out. Sequence: heartbeats 1 to 40 of one start, a crash, heartbeat 1 of the
    # next. Cause: heartbeats ordered by their counts alone, which start anew.
    members = membership.Membership()
    members.renew(beat(40, incarnation=1000), 0)
    assert members.renew(beat(1, incarnation=2000, port=2), 10)
    assert only(members).port == 2


def test_an_endpoint_that_left_and_starts_again_is_a_member():
    # Symptom: a replaced endpoint gets no work for two minutes. Sequence: it leaves,
    # which is remembered against late heartbeats, and starts again under its id.
    # Cause: whatever bore the id was taken for a late heartbeat.
    members = membership.Membership()
    members.renew(beat(40, incarnation=1000), 0)
    members.leave("e1", 10, 1000)
    assert members.renew(beat(1, incarnation=2000), 20)
    assert not only(members, 20).gone


def test_what_an_earlier_life_said_late_does_not_touch_the_new_one():
    # Symptom: a sound endpoint is drained, moved or gone for good. Sequence: it
    # starts again; then what its earlier life said arrives, held up by a cut:
    # a heartbeat, "draining", and that it leaves. Cause: as above.
    members = membership.Membership()
    members.renew(beat(1, incarnation=2000), 0)
    assert not members.renew(beat(41, incarnation=1000, port=9), 10)
    assert not members.renew(beat(42, incarnation=1000, draining=True), 10)
    assert not members.leave("e1", 10, 1000)
    member = only(members, 10)
    assert (member.port, bool(member.draining), bool(member.gone)) == (1, False, False)


def test_a_leave_that_names_no_life_ends_those_there_were():
    # Symptom: requests go to an endpoint that has left. Sequence: it announces itself
    # at one control and leaves at another, naming no life; a late heartbeat of it
    # follows. Cause: the leave was recorded for no life, which every life is newer
    # than. One that starts after it is not meant.
    members = membership.Membership()
    assert members.leave("e1", 0, wall_ms=1500)
    assert not members.renew(beat(6, incarnation=1000), 20)
    assert only(members, 20).gone
    assert members.renew(beat(1, incarnation=2000), 30)
    assert not only(members, 30).gone
