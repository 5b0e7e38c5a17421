"""Agreement on document versions among acceptors, with cut links."""

from dunlinpoint.config import packed
from dunlinpoint.control import acceptor
from dunlinpoint.control.tests import cluster
from dunlinpoint.wire.gen.dunlin import ttypes


def versions(net):
    return [node.committed.version for node in net.by_host.values()]


def test_commit_reaches_every_acceptor(tmp_path):
    net = cluster.make(tmp_path)
    outcome = net.propose("c0", 0, "c1", '{"a": 1}')
    assert (outcome.accepted, outcome.version) == (True, 1)
    assert versions(net) == [1, 1, 1]


def test_one_of_two_concurrent_changes_of_a_version_wins(tmp_path):
    # Failure: two operators, both changing version 0 at different control
    # instances, have different documents accepted as version 1, because the
    # compare-and-set is checked only locally.
    net = cluster.make(tmp_path)
    first = net.propose("c0", 0, "alice", '{"a": 1}')
    second = net.propose("c1", 0, "bob", '{"b": 1}')
    assert first.accepted and not second.accepted
    assert second.reason == "version_conflict"
    assert {n.committed.change_id for n in net.by_host.values()} == {"alice"}


def test_interleaved_proposers_keep_the_accepted_document(tmp_path):
    # Failure: a version is committed with two different documents. Proposer A
    # gets promises and its document accepted by one acceptor only; proposer B
    # then runs a full round for the same version and proposes its own document
    # instead of the one already accepted under a lower ballot.
    net = cluster.make(tmp_path)
    first = net.by_host["c0"]
    ballot = first.next_ballot()
    for node in net.by_host.values():
        node.prepare(1, ballot, node.node_id)
    document = ttypes.Document(1, "alice", packed.EMPTY, 1, [])
    document.voters = [v.to_message() for v in first.committed.voters]
    assert first.accept(1, ballot, document, first.node_id)
    outcome = net.propose("c2", 0, "bob", '{"b": 1}')
    committed = [n.committed for n in net.by_host.values() if n.committed.version]
    assert {c.change_id for c in committed} == {"alice"}
    assert not outcome.accepted


def test_resend_after_lost_answer_is_not_applied_twice(tmp_path):
    net = cluster.make(tmp_path)
    first = net.propose("c0", 0, "c1", '{"a": 1}')
    again = net.propose("c1", 0, "c1", '{"a": 1}')
    assert first.version == again.version == 1
    assert again.reason == "resent"
    assert net.by_host["c0"].committed.version == 1


def test_minority_cannot_commit(tmp_path):
    # Failure: an isolated control accepts a new document without a quorum, and
    # the majority later commits another one.
    net = cluster.make(tmp_path)
    net.cut("c0")
    outcome = net.propose("c0", 0, "lonely", "{}")
    assert (outcome.accepted, outcome.reason) == (False, "no_quorum")
    assert versions(net) == [0, 0, 0]


def test_restart_keeps_promises_and_documents(tmp_path):
    net = cluster.make(tmp_path)
    net.propose("c0", 0, "c1", '{"a": 1}')
    before = net.by_host["c1"]
    reloaded = net.start("c1")
    assert reloaded.committed == before.committed
    assert reloaded.node_id == before.node_id
    assert reloaded.version_of("c1") == 1


def test_an_older_decision_is_not_committed(tmp_path):
    node = cluster.make(tmp_path).by_host["c0"]
    voting = node.committed.voters
    assert node.commit(acceptor.Decision(5, 5, "five", packed.EMPTY, voting))
    assert not node.commit(acceptor.Decision(3, 3, "three", packed.EMPTY, voting))
    assert node.committed.version == 5


def test_a_state_file_without_rounds_is_upgraded(tmp_path):
    # Failure: after an upgrade a control loses its document or votes under
    # another id, because its state file has versions but no rounds and a newer
    # field gets no value.
    net = cluster.make(tmp_path)
    own = net.founders[0]
    old = {
        "committed": {"version": 4, "change_id": "four", "body": "eJyrrgUAAXUA+Q=="},
        "slot": 5,
        "promised": 2048,
        "accepted_ballot": 0,
        "accepted": None,
        "highest_ballot": 2048,
        "recent": [["four", 4]],
        "recovering": False,
    }
    node = net.by_host["c0"]
    node.store.save(old)
    node = net.start("c0")
    assert (node.node_id, node.committed.version) == (own.node_id, 4)
    assert node.committed.voters == tuple(net.founders)
    assert node.next_ballot() > 2048 * acceptor.BALLOT_STRIDE
