"""Lost disks and replaced instances, quorum reads, numbered documents."""

import json

import attrs
from twisted.internet import task

from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.control import agreement, operators
from dunlinpoint.control.tests import cluster


def test_an_instance_that_lost_its_disk_does_not_vote(tmp_path):
    # Failure: an acknowledged document is replaced by another with the same
    # version. "first" is accepted by c0 and c1 alone (c2 is cut off); c0 loses
    # its disk; c1 fails; c2 proposes "second" to c0, which votes again although
    # its promises and acceptances are lost.
    net = cluster.make(tmp_path)
    net.cut("c2")
    assert net.propose("c0", 0, "first").accepted
    net.start("c0", disk="new")
    net.cuts = {"c1"}
    net.catch_up("c0")
    outcome = net.propose("c2", 0, "second")
    assert (outcome.accepted, outcome.reason) == (False, "no_quorum")


def test_an_instance_that_lost_its_disk_can_become_a_voter_again(tmp_path):
    # Failure: after a repair, the failure of a second instance stops all
    # changes. c0 loses its disk and is made a voter again under its new id,
    # then c1 fails. The instance with the empty disk must not count as its
    # former voter, but must become a voter again.
    net = cluster.make(tmp_path)
    assert net.propose("c0", 0, "first").accepted
    net.start("c0", disk="new")
    net.catch_up("c0")
    assert net.by_host["c0"].committed.change_id == "first"
    assert not net.by_host["c0"].is_voter
    assert net.change_voters("c1", ["c0", "c1", "c2"])
    net.catch_up("c0")
    assert net.by_host["c0"].is_voter
    net.cut("c1")
    assert net.propose("c2", 1, "second").accepted
    assert net.by_host["c0"].accepted or net.by_host["c0"].committed.version == 2


def test_a_replaced_instance_leaves_no_second_majority(tmp_path):
    # Failure: two partitions of a deployment accept different documents. c0 is
    # cut off and replaced by c3; then c0 and c1 are cut off together from c2 and
    # c3. c0 still takes the first three for the voters, and c0 with c1 is a
    # majority of those.
    net = cluster.make(tmp_path)
    net.propose("c0", 0, "first")
    net.cut("c0")
    net.start("c3")
    net.catch_up("c3")
    assert net.change_voters("c1", ["c1", "c2", "c3"])
    net.catch_up("c3")
    net.cuts = set()
    for one in ("c0", "c1"):
        for other in ("c2", "c3"):
            net.cut(one, other)
    assert not net.propose("c0", 1, "old side").accepted
    assert net.propose("c3", 1, "new side").accepted
    assert result_of_read(net, "c0") is None


def result_of_read(net, host):
    return cluster.result(agreement.read(net.peers(host)))


def test_a_single_instance_does_not_found_a_deployment(tmp_path):
    # Failure: two deployments are founded instead of one. An instance that starts
    # alone accepts a document; the others start later and accept another. The
    # cause is founding with only the instances that happen to answer.
    net = cluster.make(tmp_path, bootstrap=False)
    net.cut("c0")
    net.catch_up("c0")
    assert net.by_host["c0"].unfounded
    assert not net.propose("c0", 0, "lonely").accepted
    net.cuts = set()
    for host in ("c0", "c1", "c2"):
        net.catch_up(host)
    assert net.propose("c0", 0, "first").accepted


def test_a_founder_that_lost_its_disk_does_not_found_again(tmp_path):
    # Failure: an acknowledged document is lost. c0 and c1 accept "first", which c2
    # has not learned; c0 loses its disk and calls both. The cause is taking one
    # empty answer as proof of a first start.
    net = cluster.make(tmp_path, bootstrap=False)
    for host in ("c0", "c1", "c2"):
        net.catch_up(host)
    net.cut("c2")
    assert net.propose("c0", 0, "first").accepted
    net.start("c0", disk="new")
    net.cuts = {frozenset(("c0", "c1"))}
    net.catch_up("c0")
    assert net.by_host["c0"].unfounded
    net.cuts = set()
    net.catch_up("c0")
    assert net.by_host["c0"].node_id != net.founders[0].node_id


def test_two_of_five_lose_their_disks_while_the_others_restart(tmp_path):
    # Failure: a document is lost after its acknowledgement. Of five voters, three
    # accept a change; two of these lose their disks and the others restart from
    # theirs. The remaining one still holds the change as accepted, and a read must
    # complete its round.
    net = cluster.make(tmp_path, size=5)
    for host in ("c3", "c4"):
        net.cut(host)
    assert net.propose("c0", 0, "first").accepted
    net.cuts = set()
    for host in ("c0", "c1"):
        net.start(host, disk=f"new-{host}")
    for host in ("c2", "c3", "c4"):
        net.start(host)
    assert result_of_read(net, "c4").change_id == "first"
    assert net.change_voters("c2", ["c0", "c1", "c2", "c3", "c4"])


def test_a_read_completes_the_round_of_a_failed_proposer(tmp_path):
    # Failure: a read returns an older document than one acknowledged. A document
    # is accepted by two acceptors; its proposer acknowledges it and fails before
    # it announces the result. The cause is a read that returns the committed
    # document and ignores an accepted one.
    net = cluster.make(tmp_path)
    assert net.propose("c0", 0, "first").accepted
    first = net.by_host["c0"]
    ballot = first.next_ballot()
    pending = first.committed.to_message()
    pending.round, pending.version, pending.change_id = 2, 2, "second"
    for node in (first, net.by_host["c1"]):
        node.prepare(2, ballot, node.node_id)
        assert node.accept(2, ballot, pending, node.node_id)
    assert result_of_read(net, "c2").change_id == "second"


def test_a_read_without_a_majority_returns_nothing(tmp_path):
    net = cluster.make(tmp_path)
    assert net.propose("c0", 0, "first").accepted
    net.cut("c1")
    assert result_of_read(net, "c1") is None


def numbered(number, name="console"):
    return config.Document(format=config.FORMAT, name=name, number=number)


def put(net, host, doc):
    return cluster.result(
        operators.replace(task.Clock(), net.peers(host), operators.NumberCache(), doc)
    )


def text_at(net, host):
    return json.loads(packed.unpack(net.by_host[host].committed.body))


def test_the_highest_number_wins_and_older_ones_change_nothing(tmp_path):
    # Failure: a replaced configuration returns. Number 7 is accepted, then a
    # delayed number 5 arrives at another control, and documents are applied in
    # the order of arrival.
    net = cluster.make(tmp_path)
    assert put(net, "c0", numbered(7)).accepted
    late = put(net, "c1", numbered(5, "late"))
    assert late.accepted and late.reason == "held"
    assert text_at(net, "c2")["number"] == 7


def test_of_two_documents_with_one_number_the_first_stays(tmp_path):
    net = cluster.make(tmp_path)
    assert put(net, "c0", numbered(7, "first")).accepted
    assert put(net, "c1", numbered(7, "second")).reason == "held"
    assert text_at(net, "c2")["name"] == "first"


def test_a_read_calls_the_voters_of_a_newly_learned_decision(tmp_path):
    # Failure: a read returns an older document than one acknowledged. c1 and c2
    # accept c3, c4 and c5 as the next voters; these accept "second"; c0 calls c1
    # and c2 and learns of the new voters before their answers arrive. The cause is
    # relying on the old voters' answers about a round that others decide.
    net = cluster.make(tmp_path)
    assert net.propose("c0", 0, "first").accepted
    for host in ("c3", "c4", "c5"):
        net.start(host)
    voting = tuple(net.voter(host) for host in ("c3", "c4", "c5"))
    moved = attrs.evolve(net.by_host["c1"].committed, round=2, voters=voting)
    for host in ("c1", "c2"):
        node = net.by_host[host]
        node.prepare(2, 1 << 33, node.node_id)
        assert node.accept(2, 1 << 33, moved.to_message(), node.node_id)
    for host in ("c3", "c4", "c5"):
        net.by_host[host].commit(moved)
    net.cut("c0", "c3")
    assert net.propose("c3", 1, "second").accepted
    net.cuts = set()
    peers = net.peers("c0")
    link_to = peers.link_to

    def learn_first(host, port):
        net.by_host["c0"].commit(moved)
        return link_to(host, port)

    peers.link_to = learn_first
    assert cluster.result(agreement.read(peers)).change_id == "second"
