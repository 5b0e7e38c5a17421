"""Agreement under any interleaving of proposals, cuts, restarts and disk loss.

Failure: two acceptors commit different decisions for one round, or an
acceptor's committed round decreases. The model mixes operators' changes to the
version they last saw (also stale ones and retries), links cut and healed,
acceptors restarted from disk, lost disks, evacuations of zones, and changes of the
voters to any set of instances. A decision must change only one of these and carry the
rest over. Possible causes are a proposer that does not adopt an accepted value,
an answer sent before its state is saved, an instance with an empty disk that
votes as its former voter, or two sets of voters for one round.
"""

import pathlib
import shutil
import tempfile

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dunlinpoint.control import evacuation
from dunlinpoint.control.tests import cluster

HOSTS = [f"c{i}" for i in range(5)]
FOUNDERS = 3
AT = st.sampled_from(HOSTS)


class Agreement(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.folder = tempfile.mkdtemp(prefix="agreement-model-")
        self.net = cluster.make(pathlib.Path(self.folder), FOUNDERS)
        for host in HOSTS[FOUNDERS:]:
            self.net.start(host, bootstrap=True)
        self.disk = dict.fromkeys(HOSTS, 0)
        self.highest = dict.fromkeys(HOSTS, 0)
        self.chosen = {}
        self.by_round = {}
        self.acknowledged = []
        self.changes = 0

    @rule(at=AT, stale=st.booleans(), resend=st.booleans())
    def propose(self, at, stale, resend):
        version = self.net.by_host[at].committed.version
        expect = max(0, version - 1) if stale else version
        if not resend:
            self.changes += 1
        change_id = f"change-{self.changes}"
        outcome = self.net.propose(at, expect, change_id, f'{{"n": {self.changes}}}')
        if outcome.accepted:
            self.chosen.setdefault(outcome.version, set()).add(change_id)

    @rule(at=AT, hosts=st.sets(AT, min_size=1))
    def change_voters(self, at, hosts):
        self.net.change_voters(at, sorted(hosts))

    @rule(at=AT, zone=st.sampled_from(["z1", "z2"]), active=st.booleans())
    def change_evacuation(self, at, zone, active):
        if self.net.change_evacuation(at, zone, active):
            evacuations = self.net.by_host[at].committed.evacuations
            self.acknowledged.append(evacuation.record_of(evacuations, zone))

    @rule(one=AT, other=AT)
    def cut(self, one, other):
        self.net.cut(one, None if one == other else other)

    @rule()
    def heal(self):
        self.net.cuts.clear()

    @rule(at=AT)
    def restart(self, at):
        self.net.start(at, disk=self.disk_of(at))

    @rule(at=AT)
    def lose_disk(self, at):
        self.disk[at] += 1
        self.highest[at] = 0
        self.net.start(at, disk=self.disk_of(at))

    def disk_of(self, at):
        return f"{at}-{self.disk[at]}" if self.disk[at] else at

    @rule(at=AT)
    def catch_up(self, at):
        node = self.net.by_host[at]
        for host, other in self.net.by_host.items():
            if not self.net.is_cut(at, host):
                node.commit(other.committed)

    @invariant()
    def one_decision_per_round(self):
        for node in self.net.by_host.values():
            found = node.committed
            if found.round:
                known = self.by_round.setdefault(found.round, found)
                assert known == found, (known, found)
                if found.version in self.chosen:
                    assert self.chosen[found.version] == {found.change_id}

    @invariant()
    def a_decision_changes_one_thing(self):
        for number, found in self.by_round.items():
            before = self.by_round.get(number - 1)
            if before is not None:
                fields = ("version", "voters", "evacuations")
                changed = [f for f in fields if getattr(before, f) != getattr(found, f)]
                assert len(changed) <= 1, (before, found)
                assert (before.body == found.body) or changed == ["version"]

    @invariant()
    def acknowledged_orders_stay(self):
        for node in self.net.by_host.values():
            for record in self.acknowledged:
                if node.committed.round >= record.round:
                    evacuations = node.committed.evacuations
                    found = evacuation.record_of(evacuations, record.zone)
                    assert found == record or found.round > record.round

    @invariant()
    def committed_never_goes_back(self):
        for host, node in self.net.by_host.items():
            assert node.committed.round >= self.highest[host]
            self.highest[host] = node.committed.round

    def teardown(self):
        shutil.rmtree(self.folder, ignore_errors=True)


Agreement.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)
test_agreement_model = Agreement.TestCase
