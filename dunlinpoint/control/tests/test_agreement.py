"""Agreement on document versions among acceptors, with links we can cut."""

from twisted.internet import defer

from dunlinpoint.config import packed
from dunlinpoint.control import agreement
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes


class FakeLink:
    """Calls another acceptor directly; ``cut`` makes every call not sent."""

    def __init__(self, acceptor):
        self.acceptor = acceptor
        self.cut = False

    def call(self, method, *args):
        if self.cut:
            return defer.fail(errors.NotSent("cut"))
        return defer.maybeDeferred(getattr(self.acceptor, method), *args)


def cluster(tmp_path, size=3):
    acceptors = [
        agreement.Acceptor.from_config(str(tmp_path / f"a{i}")) for i in range(size)
    ]
    peers = []
    for i, local in enumerate(acceptors):
        links = [FakeLink(a) for j, a in enumerate(acceptors) if j != i]
        peers.append(agreement.Peers(local, i, links))
    return acceptors, peers


def result(d):
    out = []
    d.addBoth(out.append)
    return out[0]


def test_commit_reaches_every_acceptor(tmp_path):
    acceptors, peers = cluster(tmp_path)
    outcome = result(agreement.propose(peers[0], 0, "c1", '{"a": 1}'))
    assert outcome == agreement.Outcome(True, 1)
    assert [a.committed["version"] for a in acceptors] == [1, 1, 1]


def test_racing_operators_on_one_version_get_one_winner(tmp_path):
    # Symptom: two operators both see version 1 accepted for different
    # documents. Sequence: both write against version 0 at different control
    # instances. Cause would be a compare-and-set checked only locally.
    acceptors, peers = cluster(tmp_path)
    first = result(agreement.propose(peers[0], 0, "alice", '{"a": 1}'))
    second = result(agreement.propose(peers[1], 0, "bob", '{"b": 1}'))
    assert first.accepted and not second.accepted
    assert second.reason == "version_conflict"
    assert {a.committed["change_id"] for a in acceptors} == {"alice"}


def test_interleaved_proposers_keep_the_accepted_document(tmp_path):
    # Symptom: a version is committed with two different documents.
    # Sequence: proposer A gets promises and its document accepted by one
    # acceptor only; proposer B then runs a full round for the same version.
    # Cause would be B proposing its own document instead of the one
    # already accepted under a lower ballot.
    acceptors, peers = cluster(tmp_path)
    ballot = acceptors[0].next_ballot(0)
    for a in acceptors:
        a.prepare(1, ballot)
    acceptors[0].accept(1, ballot, ttypes.Document(1, "alice", packed.EMPTY))
    outcome = result(agreement.propose(peers[2], 0, "bob", '{"b": 1}'))
    assert {a.committed["change_id"] for a in acceptors} <= {"alice"}
    assert not outcome.accepted or acceptors[2].committed["change_id"] == "bob"
    committed = {a.committed["change_id"] for a in acceptors if a.committed["version"]}
    assert len(committed) == 1


def test_resend_after_lost_answer_is_not_applied_twice(tmp_path):
    acceptors, peers = cluster(tmp_path)
    first = result(agreement.propose(peers[0], 0, "c1", '{"a": 1}'))
    again = result(agreement.propose(peers[1], 0, "c1", '{"a": 1}'))
    assert first.version == again.version == 1
    assert again.reason == "resent"
    assert acceptors[0].committed["version"] == 1


def test_minority_cannot_commit(tmp_path):
    # Symptom: a control cut off with no peer accepts a new document, which
    # the majority later contradicts. Cause would be acting without quorum.
    acceptors, peers = cluster(tmp_path)
    for link in peers[0].links:
        link.cut = True
    outcome = result(agreement.propose(peers[0], 0, "lonely", "{}"))
    assert outcome == agreement.Outcome(False, 0, "no_quorum")
    assert [a.committed["version"] for a in acceptors] == [0, 0, 0]


def test_restart_keeps_promises_and_documents(tmp_path):
    acceptors, peers = cluster(tmp_path)
    result(agreement.propose(peers[0], 0, "c1", '{"a": 1}'))
    reloaded = agreement.Acceptor.from_config(str(tmp_path / "a1"))
    assert reloaded.committed["version"] == 1
    assert reloaded.version_of("c1") == 1


def test_learning_never_goes_back(tmp_path):
    acceptors, _ = cluster(tmp_path)
    acceptors[0].take(ttypes.Document(5, "five", packed.EMPTY))
    assert not acceptors[0].take(ttypes.Document(3, "three", packed.EMPTY))
    assert acceptors[0].committed["version"] == 5
