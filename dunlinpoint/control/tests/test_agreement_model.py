"""Agreement under any interleaving of proposals, cuts, restarts and disk loss.

Symptom looked for: two acceptors committed different documents as one
version, or an acceptor's committed version went down. Sequence: any mix
of operators proposing on the version they last saw (also stale ones and
resends), links cut and healed, acceptors restarted from disk, one disk
lost while the others keep theirs. Cause this would reveal: a proposer
that does not adopt an accepted value, or state that counts before it is
saved.
"""

import shutil
import tempfile

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dunlinpoint.control import agreement
from dunlinpoint.control.tests.test_agreement import FakeLink, result

SIZE = 3


class Agreement(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.folder = tempfile.mkdtemp(prefix="agreement-model-")
        self.acceptors = [self.load(i) for i in range(SIZE)]
        self.cut = set()
        self.chosen = {}
        self.highest = [0] * SIZE
        self.lost_disk = False
        self.changes = 0

    def load(self, i):
        return agreement.Acceptor.from_config(f"{self.folder}/a{i}")

    def peers(self, i):
        links = []
        for j, acceptor in enumerate(self.acceptors):
            if j == i:
                continue
            link = FakeLink(acceptor)
            link.cut = i in self.cut or j in self.cut
            links.append(link)
        return agreement.Peers(self.acceptors[i], i, links)

    @rule(at=st.integers(0, SIZE - 1), stale=st.booleans(), resend=st.booleans())
    def propose(self, at, stale, resend):
        version = self.acceptors[at].committed["version"]
        expect = max(0, version - 1) if stale else version
        if not resend:
            self.changes += 1
        change_id = f"change-{self.changes}"
        outcome = result(
            agreement.propose(
                self.peers(at), expect, change_id, f'{{"n": {self.changes}}}'
            )
        )
        if outcome.accepted:
            self.chosen.setdefault(outcome.version, set()).add(change_id)

    @rule(i=st.integers(0, SIZE - 1))
    def cut_off(self, i):
        self.cut.add(i)

    @rule()
    def heal(self):
        self.cut.clear()

    @rule(i=st.integers(0, SIZE - 1))
    def restart(self, i):
        self.acceptors[i] = self.load(i)

    @rule(i=st.integers(0, SIZE - 1))
    def lose_disk(self, i):
        # Only one disk may be lost while the others keep theirs: losing a
        # majority's state is beyond what any quorum protocol survives.
        if self.lost_disk:
            return
        self.lost_disk = True
        shutil.rmtree(f"{self.folder}/a{i}", ignore_errors=True)
        self.acceptors[i] = agreement.Acceptor.from_config(
            f"{self.folder}/a{i}", bootstrap=False
        )
        self.highest[i] = 0

    @rule(i=st.integers(0, SIZE - 1))
    def recover(self, i):
        result(agreement.recover(self.peers(i)))

    @invariant()
    def one_document_per_version(self):
        by_version = {}
        for acceptor in self.acceptors:
            committed = acceptor.committed
            if committed["version"]:
                by_version.setdefault(committed["version"], set()).add(
                    committed["change_id"]
                )
        for version, ids in by_version.items():
            assert len(ids) == 1, (version, ids)
            if version in self.chosen:
                assert ids == self.chosen[version], (version, ids, self.chosen)

    @invariant()
    def committed_never_goes_back(self):
        for i, acceptor in enumerate(self.acceptors):
            assert acceptor.committed["version"] >= self.highest[i]
            self.highest[i] = acceptor.committed["version"]

    def teardown(self):
        shutil.rmtree(self.folder, ignore_errors=True)


Agreement.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)
test_agreement_model = Agreement.TestCase
