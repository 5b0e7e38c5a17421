"""The acceptor: the promises, accepted and committed decision of an instance.

The state is on disk before any answer that others rely on. ``node_id``
identifies the voter that the state belongs to. An instance that starts with an
empty disk draws a new id and votes once the others have made it a voter; only
the founding instances of a deployment derive theirs from their addresses.
"""

from __future__ import annotations

import attrs

from dunlinpoint import logs
from dunlinpoint.config import packed
from dunlinpoint.control import evacuation, store, voters
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("control")

# Change ids kept to recognise retried changes.
MAX_CHANGE_IDS = 1024
# A ballot has its counter above the low 32 bits, which identify the proposer.
BALLOT_STRIDE = 1 << 32


@attrs.frozen
class Decision:
    """The decision of one round: a document, evacuations and the next round's voters.

    ``version`` counts documents; the other changes keep it. ``body`` is the
    compressed document, ``voters`` a tuple of ``voters.Voter``, ``evacuations`` a
    tuple of ``evacuation.Evacuation``.
    """

    round: int = 0
    version: int = 0
    change_id: str = ""
    body: bytes | None = packed.EMPTY
    voters: tuple = ()
    evacuations: tuple = ()

    @classmethod
    def from_message(cls, message, known_evacuations=()):
        """The decision in a ``Document`` message.

        A build that does not know evacuations sends no list of them;
        *known_evacuations* are kept then, as such a build cannot change them.
        """
        voting = tuple(voters.Voter.from_message(v) for v in message.voters or ())
        return cls(
            message.round or 0,
            message.version,
            message.change_id,
            message.body,
            voting,
            evacuation.from_messages(message.evacuations, known_evacuations),
        )

    @classmethod
    def from_saved(cls, saved):
        """The decision in a dict of the state file."""
        fields = dict(saved)
        fields["body"] = packed.from_saved(saved["body"])
        fields["voters"] = tuple(voters.Voter(*v) for v in saved["voters"])
        records = saved.get("evacuations", ())
        fields["evacuations"] = tuple(evacuation.Evacuation(*e) for e in records)
        return cls(**fields)

    def to_message(self, with_body=True):
        """This decision as a ``Document`` message."""
        return ttypes.Document(
            version=self.version,
            change_id=self.change_id,
            body=self.body if with_body else None,
            round=self.round,
            voters=[v.to_message() for v in self.voters],
            evacuations=[e.to_message() for e in self.evacuations],
        )

    def to_saved(self):
        """This decision as a dict for the state file.

        Without evacuations the file has the old format, which builds that do not
        know them can load.
        """
        saved = {
            "round": self.round,
            "version": self.version,
            "change_id": self.change_id,
            "body": packed.to_saved(self.body),
            "voters": [v.to_saved() for v in self.voters],
        }
        if self.evacuations:
            saved["evacuations"] = [e.to_saved() for e in self.evacuations]
        return saved


@attrs.define
class Acceptor:
    """An acceptor's durable state, saved before every answer that others rely on.

    ``unfounded`` is set while it is unknown whether this is a founder's first
    start or a founder that lost its disk. ``joined_round`` is the first round that
    an instance learned which was added later, 0 for one of the deployment's first
    start, ``None`` if no round is known yet. ``recent`` holds the last
    ``[change_id, version]`` pairs. The callables in ``on_commit`` are called
    without arguments after each new decision.
    """

    store: store.Store
    node_id: str
    committed: Decision = attrs.field(factory=Decision)
    round: int = 1
    promised: int = 0
    accepted_ballot: int = 0
    accepted: Decision | None = None
    highest_ballot: int = 0
    recent: list = attrs.field(factory=list)
    unfounded: bool = False
    joined_round: int | None = 0
    on_commit: list = attrs.field(factory=list)

    @classmethod
    def from_config(cls, folder, own=None, founders=(), bootstrap=True):
        """The acceptor saved in *folder*, or a new one.

        *founders* are the voters of the first round; *own* is the one with this
        instance's address, if any. With *bootstrap*, missing state means a first
        start; without it, the disk may have been lost.
        """
        state_store = store.Store(folder)
        saved = state_store.load()
        initial = Decision(voters=tuple(founders))
        if saved:
            return cls.from_saved(state_store, saved, own, initial)
        if own is not None and bootstrap:
            acceptor = cls(state_store, own.node_id, committed=initial)
        else:
            acceptor = cls(
                state_store,
                voters.new_id(),
                # Without *bootstrap* the seed addresses may belong to other
                # instances than the founders.
                committed=initial if bootstrap else Decision(),
                unfounded=own is not None,
                joined_round=0 if bootstrap else None,
            )
        acceptor.save()
        return acceptor

    @classmethod
    def from_saved(cls, state_store, saved, own, initial):
        """The acceptor in *saved*, the dict of a state file."""
        if "node_id" not in saved:
            saved = _upgrade_state(saved, own, initial)
        accepted = saved["accepted"]
        return cls(
            state_store,
            node_id=saved["node_id"],
            committed=Decision.from_saved(saved["committed"]),
            round=saved["round"],
            promised=saved["promised"],
            accepted_ballot=saved["accepted_ballot"],
            accepted=Decision.from_saved(accepted) if accepted else None,
            highest_ballot=saved["highest_ballot"],
            recent=saved["recent"],
            unfounded=saved["unfounded"],
            joined_round=saved.get("joined_round", 0),
        )

    def save(self):
        """Write the state durably; raises ``store.StoreError``."""
        self.store.save(
            {
                "node_id": self.node_id,
                "committed": self.committed.to_saved(),
                "round": self.round,
                "promised": self.promised,
                "accepted_ballot": self.accepted_ballot,
                "accepted": self.accepted.to_saved() if self.accepted else None,
                "highest_ballot": self.highest_ballot,
                "recent": self.recent,
                "unfounded": self.unfounded,
                "joined_round": self.joined_round,
            }
        )

    @property
    def settled(self):
        """Whether no decision is accepted here that may or may not be chosen."""
        return self.accepted is None

    @property
    def is_voter(self):
        """Whether this acceptor is a voter of the next round."""
        return any(v.node_id == self.node_id for v in self.committed.voters)

    def read_message(self, message):
        """The ``Decision`` in a ``Document`` message from another instance."""
        return Decision.from_message(message, self.committed.evacuations)

    def _promise(self, ok, known_round):
        """The state as a message, with the committed text if above *known_round*."""
        return ttypes.Promise(
            ok=ok,
            promised=self.promised,
            accepted_ballot=self.accepted_ballot,
            accepted=self.accepted.to_message() if self.accepted else None,
            committed=self.committed.to_message(self.committed.round > known_round),
        )

    def inspect(self, known_round, node_id):
        """The current state as a ``Promise`` message, without promising anything."""
        return self._promise(node_id == self.node_id, known_round)

    def _enter_round(self, number):
        if number > self.round:
            self.round = number
            self.promised = 0
            self.accepted_ballot = 0
            self.accepted = None

    def prepare(self, number, ballot, node_id):
        """Promise *ballot* for round *number* if it exceeds the one promised."""
        self.highest_ballot = max(self.highest_ballot, ballot)
        if node_id != self.node_id or number < self.round:
            return self._promise(False, number - 1)
        self._enter_round(number)
        ok = ballot > self.promised
        if ok:
            self.promised = ballot
            self.save()
        return self._promise(ok, number - 1)

    def accept(self, number, ballot, document, node_id):
        """Accept *document* for round *number* under *ballot*; whether accepted."""
        if node_id != self.node_id or number < self.round:
            return False
        self._enter_round(number)
        if ballot < self.promised:
            return False
        self.promised = ballot
        self.accepted_ballot = ballot
        self.accepted = self.read_message(document)
        self.save()
        return True

    def commit(self, decision):
        """Commit *decision* if it is newer than the committed one; whether it was."""
        if decision.round <= self.committed.round or decision.body is None:
            return False
        changed = decision.version != self.committed.version
        self.committed = decision
        self.unfounded = False
        if self.joined_round is None:
            self.joined_round = decision.round
        if changed:
            self.recent = (self.recent + [[decision.change_id, decision.version]])[
                -MAX_CHANGE_IDS:
            ]
        self._enter_round(decision.round + 1)
        try:
            self.save()
        except store.StoreError as exc:
            # A majority holds the decision, so it is in force even if this disk
            # is full; the failure must not be reported to the operator.
            log.error("decision_not_saved", round=decision.round, error=str(exc))
        log.info(
            "decided",
            round=decision.round,
            version=decision.version,
            voters=[v.node_id for v in decision.voters],
            evacuated=sorted(evacuation.active_zones(decision.evacuations)),
        )
        for callback in self.on_commit:
            callback()
        return True

    def learn(self, chosen, ballot):
        """Commit the decision accepted under *ballot*, which was chosen.

        *chosen* is its ``Document`` message, to added voters with the body. Without
        it, a decision accepted here under another ballot may differ, so it is not
        committed; the next catch-up fetches the chosen one.
        """
        if chosen.body is not None:
            self.commit(self.read_message(chosen))
        elif self.round == chosen.round and self.accepted:
            if self.accepted_ballot == ballot:
                self.commit(self.accepted)

    def become_founder(self, own, founders, states):
        """Become the founder *own*, bound by the promises in the others' *states*."""
        self.node_id = own.node_id
        self.committed = attrs.evolve(self.committed, voters=tuple(founders))
        for state in states:
            self.promised = max(self.promised, state.promised or 0)
        self.highest_ballot = max(self.highest_ballot, self.promised)
        self.unfounded = False
        self.joined_round = 0
        self.save()
        log.info("founded", node_id=self.node_id)

    def version_of(self, change_id):
        """The version that *change_id* was committed as, or ``None``."""
        for seen, version in reversed(self.recent):
            if seen == change_id:
                return version
        return None

    def next_ballot(self):
        """A ballot above all seen ones that only this instance uses."""
        counter = self.highest_ballot // BALLOT_STRIDE + 1
        self.highest_ballot = counter * BALLOT_STRIDE + voters.ballot_suffix(
            self.node_id
        )
        return self.highest_ballot


def _upgrade_state(saved, own, initial):
    """Convert *saved* from the state format without voters to the current one.

    In the old format each version is one round, and its voters are the founders.
    """
    voting = [v.to_saved() for v in initial.voters]

    def decision(old):
        return old and old | {"round": old["version"], "voters": voting}

    known = own is not None and not saved["recovering"]
    return saved | {
        "node_id": own.node_id if known else voters.new_id(),
        "committed": decision(saved["committed"]),
        "accepted": decision(saved["accepted"]) if known else None,
        "round": saved["slot"],
        "highest_ballot": saved["highest_ballot"] * BALLOT_STRIDE,
        "promised": saved["promised"] * BALLOT_STRIDE,
        "accepted_ballot": saved["accepted_ballot"] * BALLOT_STRIDE,
        "unfounded": False,
    }
