"""A follower's view of its controls: documents, voters, members, confirmation."""

import attrs
from twisted.internet import defer, task

from dunlinpoint.config import packed
from dunlinpoint.control import voters
from dunlinpoint.follow import controls, view
from dunlinpoint.wire.gen.dunlin import ttypes

VOTERS = [voters.Voter(n, n, 7000, "z1") for n in "abc"]


def follower():
    clock = task.Clock()
    clock.advance(100)
    entry_view = view.View.from_config(clock, "z1", [("a", 7000)])
    follows = entry_view.controls.update([v.address for v in VOTERS], 0)
    return clock, entry_view, {f.link.host: f for f in follows if f.link.host != "seed"}


def reply_from(name, document=None, settled=True, node_id=None):
    return ttypes.View(
        members=[],
        document=document,
        control_id=name,
        revision=1,
        unchanged=False,
        settled=settled,
        lease_ms=2000,
        zone="z1",
        node_id=node_id or name,
    )


def document(number, version=1, body=packed.EMPTY, voting=VOTERS):
    voter_messages = [v.to_message() for v in voting]
    return ttypes.Document(version, f"change-{version}", body, number, voter_messages)


def test_a_majority_of_voters_must_confirm():
    _, entry_view, by_name = follower()
    assert entry_view.confirmed_ms is None
    entry_view.merge(by_name["a"], reply_from("a", document(1)), 10)
    assert entry_view.confirmed_ms is None
    entry_view.merge(by_name["b"], reply_from("b"), 30)
    assert entry_view.confirmed_ms == 10
    entry_view.merge(by_name["c"], reply_from("c", settled=False), 50)
    assert entry_view.confirmed_ms == 10


def test_an_instance_with_an_empty_disk_does_not_confirm_as_its_former_voter():
    # Counting answers by address instead of voter id would accept a revoked key.
    _, entry_view, by_name = follower()
    entry_view.merge(by_name["a"], reply_from("a", document(1)), 10)
    entry_view.merge(by_name["b"], reply_from("b", node_id="new"), 30)
    assert entry_view.confirmed_ms is None


def test_a_superseded_document_is_not_confirmed():
    # Guards against an answer that announces a newer document and still confirms the
    # current one.
    _, entry_view, by_name = follower()
    entry_view.merge(by_name["a"], reply_from("a", document(1)), 10)
    entry_view.merge(by_name["b"], reply_from("b", document(2, 2, body=None)), 30)
    assert entry_view.confirmed_ms is None
    assert entry_view.requests_body(by_name["b"])


def test_the_body_of_a_document_is_not_needed_for_a_round_with_its_version():
    # Guards against a document that is sent again for each change of voters or of an
    # evacuation, and against a follower that does not confirm such a round.
    _, entry_view, by_name = follower()
    applied = []
    entry_view.on_document.append(applied.append)
    entry_view.merge(by_name["a"], reply_from("a", document(1)), 10)
    entry_view.merge(by_name["b"], reply_from("b", document(2, body=None)), 30)
    assert (entry_view.document.round, entry_view.document.body) == (2, packed.EMPTY)
    assert entry_view.confirmed_ms == 10 and len(applied) == 1


def evacuated(number, *records, version=1, body=packed.EMPTY):
    """A decision with the evacuation *records* ``(zone, active, round)``."""
    found = document(number, version, body)
    found.evacuations = [ttypes.Evacuation(*record) for record in records]
    return found


def reply_with_members(name, document):
    """A reply that lists a rank's engine and agent and a control in zones z1, z2."""
    reply = reply_from(name, document)
    reply.members = [
        ttypes.Member(
            endpoint_id=f"{kind}-{zone}", host="h", port=1, kind=kind, zone=zone,
            lease_left_ms=900,
        )
        for kind in ("service", "engine", "rank", "control")
        for zone in ("z1", "z2")
    ]  # fmt: skip
    return reply


def live_ids(entry_view, kind):
    return [m.endpoint_id for m in entry_view.live(kind)]


def test_endpoints_of_evacuated_zones_are_left_out():
    # Guards against requests to an evacuated zone, and against a group that loses its
    # ranks' agents, or entries that lose their controls, by an evacuation.
    _, entry_view, by_name = follower()
    began = evacuated(2, ("z2", True, 2))
    entry_view.merge(by_name["a"], reply_with_members("a", evacuated(1)), 10)
    generation = entry_view.generation
    assert live_ids(entry_view, "service") == ["service-z1", "service-z2"]
    entry_view.merge(by_name["a"], reply_with_members("a", began), 20)
    assert entry_view.generation > generation
    assert live_ids(entry_view, "service") == ["service-z1"]
    assert live_ids(entry_view, "engine") == ["engine-z1"]
    assert [m.zone for m in entry_view.evacuated("service")] == ["z2"]
    assert live_ids(entry_view, "rank") == ["rank-z1", "rank-z2"]
    assert live_ids(entry_view, "control") == ["control-z1", "control-z2"]
    ended = evacuated(3, ("z2", False, 3), body=None)
    entry_view.merge(by_name["b"], reply_from("b", ended), 30)
    assert live_ids(entry_view, "service") == ["service-z1", "service-z2"]


def test_a_starting_entry_knows_the_evacuated_zones_from_its_first_answer():
    # Guards against requests to an evacuated zone until the document is fetched, or
    # from a document of a control that does not know evacuations.
    _, entry_view, by_name = follower()
    restored = []
    entry_view.on_restored.append(restored.append)
    known = evacuated(5, ("z1", False, 3), ("z2", True, 4), body=None)
    entry_view.merge(by_name["a"], reply_with_members("a", known), 10)
    assert entry_view.evacuated_zones == {"z2"}
    assert live_ids(entry_view, "service") == ["service-z1"]
    entry_view.merge(by_name["b"], reply_from("b", document(6)), 20)
    entry_view.merge(by_name["c"], reply_from("c", evacuated(2, version=0)), 30)
    assert entry_view.evacuated_zones == {"z2"} and restored == []


def test_callbacks_are_called_with_restored_zones():
    # Guards against endpoints that are not known to be cold after an evacuation that
    # ended, also one that ended before this process had heard of its beginning.
    _, entry_view, by_name = follower()
    restored = []
    entry_view.on_restored.append(restored.append)
    for found in (
        evacuated(1),
        evacuated(2, ("z1", True, 2)),
        evacuated(3, ("z1", False, 3)),
        evacuated(4, ("z1", False, 3), version=2),
        evacuated(7, ("z1", True, 5), ("z2", False, 7), version=2),
    ):
        entry_view.merge(by_name["a"], reply_from("a", found), 10)
    assert restored == [{"z1"}, {"z2"}]


def test_a_change_of_voters_is_applied_without_a_new_document():
    _, entry_view, by_name = follower()
    applied = []
    entry_view.on_document.append(applied.append)
    entry_view.merge(by_name["a"], reply_from("a", document(1)), 10)
    changed = [*VOTERS[:2], voters.Voter("d", "d", 7000, "z1")]
    entry_view.merge(by_name["a"], reply_from("a", document(2, voting=changed)), 20)
    assert [v.node_id for v in entry_view.voting] == ["a", "b", "d"]
    assert len(applied) == 1


def test_an_older_round_changes_nothing():
    _, entry_view, by_name = follower()
    entry_view.merge(by_name["a"], reply_from("a", document(5, version=4)), 10)
    entry_view.merge(by_name["b"], reply_from("b", document(3, version=2)), 10)
    assert entry_view.document.version == 4


def test_seeds_are_polled_again_when_no_control_answers():
    # Guards against a follower that stays without any control.
    clock = task.Clock()
    known = controls.Controls(clock, [("seed", 7000)], 0)
    assert [f.link.host for f in known.update([], 0)] == ["seed"]
    known.update([("a", 7000)], 10)
    assert set(known.followed_by_address) == {("a", 7000)}
    known.followed_by_address["a", 7000].answered_ms = 20
    known.update([("a", 7000)], 20 + controls.SEED_FALLBACK_MS + 1)
    assert set(known.followed_by_address) == {("a", 7000), ("seed", 7000)}


def test_an_equal_member_list_changes_nothing():
    # Guards against sorting all endpoints again whenever a lease is renewed.
    _, entry_view, by_name = follower()

    def listed(lease_left_ms, **changed):
        fields = {"endpoint_id": "e", "host": "h", "port": 1, "kind": "service"}
        member = ttypes.Member(lease_left_ms=lease_left_ms, **(fields | changed))
        reply = reply_from("a")
        reply.members = [member]
        return reply

    entry_view.merge(by_name["a"], listed(900), 10)
    known = entry_view.generation
    entry_view.merge(by_name["a"], listed(800), 20)
    assert entry_view.generation == known
    for changed in ({"draining": True}, {"load": 3}, {"broken": True}, {"port": 2}):
        entry_view.merge(by_name["a"], listed(700, **changed), 30)
        assert entry_view.generation > known
        known = entry_view.generation


def test_members_dropped_in_a_partition_are_listed_again():
    # Guards against members that stay missing because the list of the control that
    # holds their leases is unchanged since they were dropped here.
    clock, entry_view, by_name = follower()
    listed = reply_from("a")
    listed.members = [
        ttypes.Member(
            endpoint_id="e", host="h", port=1, kind="service", lease_left_ms=900
        )
    ]
    entry_view.merge(by_name["a"], listed, 10)
    assert [m.endpoint_id for m in entry_view.live("service")] == ["e"]
    clock.advance(5)
    entry_view.merge(by_name["b"], reply_from("b"), 5_000)
    assert entry_view.live("service") == []
    unchanged = reply_from("a")
    unchanged.unchanged = True
    entry_view.merge(by_name["a"], unchanged, 5_010)
    assert by_name["a"].revision == view.NO_REVISION
    entry_view.merge(by_name["a"], listed, 5_060)
    assert [m.endpoint_id for m in entry_view.live("service")] == ["e"]


def test_controls_that_know_different_incarnations_of_an_endpoint():
    # Guards against ordering member records by sequence numbers alone, which restart
    # with each incarnation.
    def listed(name, **fields):
        base = {"endpoint_id": "e", "host": "h", "port": 1, "kind": "service"}
        reply = reply_from(name)
        reply.members = [ttypes.Member(lease_left_ms=900, **(base | fields))]
        return reply

    restarted = {"incarnation": 2000, "sequence": 1, "port": 2}
    for earlier in ({"gone": True}, {"draining": True}, {}):
        earlier = {"incarnation": 1000, "sequence": 40} | earlier
        for first, second in ((earlier, restarted), (restarted, earlier)):
            _, entry_view, by_name = follower()
            entry_view.merge(by_name["a"], listed("a", **first), 10)
            entry_view.merge(by_name["b"], listed("b", **second), 20)
            (member,) = entry_view.live("service")
            assert member.port == 2


def test_a_follower_limits_the_rate_of_documents():
    # Guards against a group leader's link saturated by documents it hardly needs.
    clock, entry_view, by_name = follower()
    entry_view.min_body_interval_ms = 2000
    entry_view.merge(by_name["a"], reply_from("a", document(1)), 10)
    assert entry_view.document.round == 1
    entry_view.merge(by_name["a"], reply_from("a", document(2, 2, body=None)), 20)
    assert not entry_view.requests_body(by_name["a"])
    clock.advance(2)
    entry_view.merge(by_name["a"], reply_from("a", document(3, 3, body=None)), 2030)
    assert entry_view.requests_body(by_name["a"])
    entry_view.merge(by_name["a"], reply_from("a", document(3, 3)), 2040)
    assert entry_view.document.round == 3


@attrs.define
class Link:
    """A link that records whether each poll requests bodies, and never answers."""

    bodies: list = attrs.field(factory=list)

    def call(self, _method, _zone, _revision, _round, _wait_ms, bodies, *_, **_kwargs):
        self.bodies.append(bodies)
        return defer.Deferred()


def test_another_zones_control_sends_no_body_that_the_own_zone_has_sent():
    # Guards against a poll that waits at another zone's control with a request for
    # bodies: the next document then reaches every entry from each zone.
    _, entry_view, by_name = follower()
    own, other = by_name["a"], by_name["b"]
    other.link = Link()
    entry_view.merge(own, reply_from("a", document(1)), 10)
    notification = reply_from("b", document(2, 2, body=None))
    notification.zone = "z2"
    entry_view.merge(other, notification, 30)
    entry_view.poll(other)
    entry_view.merge(own, reply_from("a", document(2, 2)), 40)
    entry_view.poll(other)
    assert other.link.bodies == [True, False]


def test_a_control_that_knows_few_entries_does_not_reduce_the_count():
    # Guards against entries that each use a whole rate limit after controls restarted.
    clock, entry_view, by_name = follower()

    def count(name, entry, entries):
        reply = reply_from(name)
        reply.entry, reply.entries = entry, entries
        entry_view.merge(by_name[name], reply, 10)
        return entry_view.entry_index, entry_view.entry_count

    assert count("a", 4, 6) == (4, 6)
    assert count("b", 0, 1) == (4, 6)
    assert count("b", 5, 7) == (5, 7)
    clock.advance(view.ENTRY_COUNT_HOLD_MS / 1000 + 1)
    assert count("a", 2, 3) == (2, 3)


def test_members_are_passed_on_with_the_time_of_their_receipt():
    # Guards against an entry that counts the time an endpoint stays cold from later on.
    clock, entry_view, by_name = follower()
    received = []
    entry_view.on_members.append(lambda members, now: received.append((members, now)))
    reply = reply_from("a")
    reply.members = [ttypes.Member(endpoint_id="i-1", lease_left_ms=9, cold_left_ms=7)]
    entry_view.merge(by_name["a"], reply, 10)
    assert received == [(reply.members, 100_000)]
