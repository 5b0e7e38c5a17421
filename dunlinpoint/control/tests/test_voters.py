"""Changes of the voters: replaced, added and removed instances."""

import attrs

from dunlinpoint.control import discovery, voters
from dunlinpoint.wire.gen.dunlin import ttypes

NOW = 100_000


def voter(name, zone="z1", host=None):
    return voters.Voter(name, host or name, 7000, zone)


A, B, C, D, E = (voter(n, f"z{i}") for i, n in enumerate("abcde"))


def next_ids(voting, waiting, **silent_by_id):
    found = voters.next_set(voting, waiting, lambda i: silent_by_id.get(i, 0))
    return found and {v.node_id for v in found}


def test_voters_do_not_change_while_all_are_live():
    assert next_ids([A, B, C], []) is None
    assert next_ids([A, B, C], [D]) is None


def test_an_instance_with_an_empty_disk_replaces_its_former_voter_at_once():
    replacement = voter("new", "z0", host="a")
    assert next_ids([A, B, C], [replacement]) == {"new", "b", "c"}


def test_an_unresponsive_voter_is_replaced_by_a_candidate():
    # Failure: after machine a was replaced by d for good, the next failure (b)
    # stops all changes, because a is still a voter.
    assert next_ids([A, B, C], [D], a=voters.UNRESPONSIVE_MS + 1) == {"b", "c", "d"}
    assert next_ids([A, B, C], [D], a=voters.UNRESPONSIVE_MS - 1) is None


def test_an_unresponsive_voter_stays_without_a_candidate():
    assert next_ids([A, B, C], [], a=voters.REMOVAL_MS + 1) is None


def test_two_candidates_are_added_from_the_zones_with_fewest_voters():
    same = voter("same", "z0")
    assert next_ids([A, B, C], [same, D, E]) == {"a", "b", "c", "d", "e"}
    assert next_ids([A, B], [D]) == {"a", "b", "d"}


def test_the_set_stops_growing():
    many = [voter(str(n)) for n in range(voters.MAX_VOTERS)]
    assert next_ids(many, [A, B, C]) is None


def test_lost_voters_are_removed_from_a_large_set():
    lost_ms = voters.REMOVAL_MS + 1
    assert next_ids([A, B, C, D, E], [], a=lost_ms, b=lost_ms) == {"c", "d", "e"}
    assert next_ids([A, B, C, D, E], [], a=lost_ms) is None
    assert next_ids([A, B, C, D], [], a=lost_ms) == {"b", "c", "d"}


def test_one_voter_at_a_time_proposes():
    def silent_ms(node_id):
        return voters.UNRESPONSIVE_MS + 1 if node_id == "a" else 0

    proposers = [
        v.node_id
        for v in (A, B, C)
        if voters.is_proposer(v.node_id, (A, B, C), silent_ms)
    ]
    assert proposers == ["b"]


def heartbeat(name, number, host=None):
    return ttypes.Heartbeat(
        endpoint_id=name, host=host or name, port=7000, zone="z1", round=number
    )


def test_instances_are_discovered_through_any_that_answers():
    # Failure: after all seeds were replaced, a control is isolated, because it
    # calls only its seeds. Its seeds are a and b; b lists c; c announces itself;
    # then a and b are lost.
    known = discovery.Controls(voter("own"), [("a", 7000), ("b", 7000)], NOW)
    member = ttypes.Member(endpoint_id="c", kind=discovery.KIND, host="c", port=7000)
    known.record_listed([member], NOW)
    assert ("c", 7000) in known.addresses((), NOW)
    later = NOW + discovery.LISTED_TIMEOUT_MS + 1
    assert ("c", 7000) not in known.addresses((), later)
    known.record(heartbeat("c", 3), later)
    assert ("c", 7000) in known.addresses((), later)
    assert ("d", 7000) in known.addresses((D,), later)


def test_only_live_instances_with_recent_decisions_are_candidates():
    known = discovery.Controls(A, [], NOW)
    known.record(heartbeat("b", 50), NOW)
    known.record(heartbeat("d", 50), NOW)
    known.record(heartbeat("e", 50 - voters.MAX_LAG_ROUNDS - 1), NOW)

    class Committed:
        round = 50
        voters = (A, B, C)

    assert [v.node_id for v in known.candidates(Committed, NOW)] == ["d"]
    assert known.candidates(Committed, NOW + voters.UNRESPONSIVE_MS + 1) == []
    assert known.silent_ms("c", NOW + 70) == 70
    assert known.silent_ms("b", NOW + 70) == 70
    assert known.silent_ms("a", NOW + 70) == 0


def test_a_live_instance_without_any_decision_is_no_candidate():
    # Failure: an instance that has just started, and holds nothing, is made a voter: in
    # a deployment's first rounds it lags little enough.
    known = discovery.Controls(A, [], NOW)
    known.record(heartbeat("d", 0), NOW)
    committed = attrs.make_class("Committed", ["round", "voters"])
    assert known.candidates(committed(3, (A, B, C)), NOW) == []
    known.record(heartbeat("d", 1), NOW)
    assert [v.node_id for v in known.candidates(committed(3, (A, B, C)), NOW)] == ["d"]


def ids_with_successors(voting, waiting, known_ms=1000, **joined_by_id):
    found = voters.next_set(
        voting,
        waiting,
        lambda _: 0,
        joined_round=lambda node_id: joined_by_id.get(node_id, 0),
        known_ms=lambda _: known_ms,
    )
    return found and {v.node_id for v in found}


def test_an_instance_that_joined_a_zone_later_takes_the_vote_of_an_older_one():
    # Failure: a removed instance counts as a voter, though its successor was up.
    successor, other = voter("s", "z0"), voter("t", "z1")
    assert ids_with_successors([A, B, C], [successor], s=4) == {"s", "b", "c"}
    assert ids_with_successors([successor, B, C], [A, other], s=4, t=4) == {
        "s",
        "t",
        "c",
    }
    assert ids_with_successors([successor, other, C], [A, B], s=4, t=4) is None


def test_an_instance_that_still_runs_long_after_a_later_one_joined_is_added():
    # Failure: a deployment that was extended keeps as few voters as before.
    successor, other = voter("s", "z0"), voter("t", "z1")
    voting, waiting = [successor, other, C], [A, B]
    long_ms = voters.REPLACEMENT_MS
    assert len(ids_with_successors(voting, waiting, long_ms, s=4, t=4)) == 5


def test_a_leaving_voter_is_replaced_at_once_or_removed_with_another_one():
    def after(voting, waiting, *leaving):
        found = voters.next_set(voting, waiting, lambda _: 0, set(leaving))
        return found and {v.node_id for v in found}

    assert after([A, B, C], [D], "a") == {"b", "c", "d"}
    assert after([A, B, C], [], "a") is None
    assert after([A, B, C, D, E], [], "a") is None
    assert after([A, B, C, D, E], [], "a", "b") == {"c", "d", "e"}
