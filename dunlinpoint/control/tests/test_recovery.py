"""Acceptors that lost their disk, reads that must be sure, numbered documents."""

import json

from twisted.internet import task

from dunlinpoint.config import document as config
from dunlinpoint.control import agreement, operators
from dunlinpoint.control.tests.test_agreement import cluster, result


def lose_disk(acceptors, peers, i, folder):
    """Acceptor *i* comes back empty, as after a lost disk."""
    fresh = agreement.Acceptor.from_config(str(folder), bootstrap=False)
    for other in peers:
        for link in other.links:
            if link.acceptor is acceptors[i]:
                link.acceptor = fresh
    acceptors[i] = fresh
    peers[i].local = fresh


def test_a_lost_disk_does_not_vote_until_it_has_seen_the_others(tmp_path):
    # Symptom: an acknowledged document is replaced by another under the
    # same version. Sequence: "first" is accepted by a0 and a1 alone (a2 is
    # cut off); a0 loses its disk; a1 fails; a2 proposes "second" to a0.
    # Cause: a0 voted again although its promises and acceptances were lost.
    acceptors, peers = cluster(tmp_path)
    for owner in (0, 1):
        for link in peers[owner].links:
            link.cut = link.acceptor is acceptors[2]
    assert result(agreement.propose(peers[0], 0, "first", "{}")).accepted
    lose_disk(acceptors, peers, 0, tmp_path / "new")
    for link in peers[2].links:
        link.cut = link.acceptor is acceptors[1]
    outcome = result(agreement.propose(peers[2], 0, "second", "{}"))
    assert not outcome.accepted
    assert outcome.reason == "no_quorum"


def test_a_lost_disk_votes_again_after_enough_others_answered(tmp_path):
    acceptors, peers = cluster(tmp_path)
    assert result(agreement.propose(peers[0], 0, "first", "{}")).accepted
    lose_disk(acceptors, peers, 0, tmp_path / "new")
    peers[0].links[0].cut = True
    result(agreement.recover(peers[0]))
    assert acceptors[0].recovering
    peers[0].links[0].cut = False
    result(agreement.recover(peers[0]))
    assert not acceptors[0].recovering
    assert acceptors[0].committed["change_id"] == "first"


def test_a_read_finishes_a_round_whose_proposer_died(tmp_path):
    # Symptom: a document read back is older than one acknowledged.
    # Sequence: a document is accepted by two acceptors, its proposer
    # acknowledges it and dies before telling them it was chosen. Cause:
    # a read that shows what is committed and passes over what is accepted.
    acceptors, peers = cluster(tmp_path)
    assert result(agreement.propose(peers[0], 0, "first", "{}")).accepted
    ballot = acceptors[0].next_ballot(0)
    pending = agreement.message(acceptors[0].committed)
    pending.version, pending.change_id = 2, "second"
    for acceptor in acceptors[:2]:
        acceptor.prepare(2, ballot)
        acceptor.accept(2, ballot, pending)
    assert result(agreement.read(peers[2])).change_id == "second"


def test_a_read_without_a_majority_is_not_sure(tmp_path):
    _, peers = cluster(tmp_path)
    assert result(agreement.propose(peers[0], 0, "first", "{}")).accepted
    for link in peers[1].links:
        link.cut = True
    assert result(agreement.read(peers[1])) is None


def numbered(number, name="console"):
    return config.Document(format=config.FORMAT, name=name, number=number)


def put(peers, doc):
    return result(operators.replace(task.Clock(), peers, operators.Numbers(), doc))


def test_the_highest_number_wins_and_older_ones_change_nothing(tmp_path):
    # Symptom: a configuration that was replaced comes back. Sequence:
    # number 7 is accepted; 5, held up on its way, arrives at another
    # control. Cause: documents applied in the order they arrive.
    acceptors, peers = cluster(tmp_path)
    assert put(peers[0], numbered(7)).accepted
    late = put(peers[1], numbered(5, "late"))
    assert late.accepted and late.reason == "held"
    text = agreement.packed.unpack(agreement.message(acceptors[2].committed).body)
    assert json.loads(text)["number"] == 7


def test_of_two_documents_with_one_number_the_first_stays(tmp_path):
    acceptors, peers = cluster(tmp_path)
    assert put(peers[0], numbered(7, "first")).accepted
    assert put(peers[1], numbered(7, "second")).reason == "held"
    text = agreement.packed.unpack(agreement.message(acceptors[2].committed).body)
    assert json.loads(text)["name"] == "first"
