"""Agreement among control instances on each version of the document.

Each version is one round of single-value Paxos among the acceptors (the
control instances with a disk, listed in every control's settings): a
proposer asks a majority to promise a ballot for version ``v``, takes over
any document already accepted for ``v`` under a lower ballot, asks a
majority to accept, then tells everyone the result (learn). A minority, such
as a zone cut off from the rest, cannot accept a new version; it keeps
serving the last one it learned.

Operators' compare-and-set: a change names the version it was written
against; it is refused unless that is the version committed here. Two
operators racing on one version both reach round ``v + 1``; one document
wins and the other change gets a conflict. A resent change (same change id)
is recognised from the recent history and answered with its version
instead of being applied twice.

Documents are whole, not deltas, so a process that missed hundreds of
versions catches up by learning the newest one.
"""

from __future__ import annotations

import attrs
from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.control import store
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("control")

HISTORY = 1024
BALLOT_STRIDE = 1024
EMPTY = {"version": 0, "change_id": "", "body_json": "{}"}


def message(doc):
    """A stored document dict as a ``Document`` message."""
    return ttypes.Document(doc["version"], doc["change_id"], doc["body_json"])


def plain(document):
    """A ``Document`` message as a stored dict."""
    return {
        "version": document.version,
        "change_id": document.change_id,
        "body_json": document.body_json,
    }


@attrs.define
class Outcome:
    """What became of one proposed change."""

    accepted: bool
    version: int
    reason: str = ""


@attrs.define
class Acceptor:
    """One acceptor's durable state, saved before every answer that counts."""

    store: store.Store
    committed: dict = attrs.field(factory=lambda: dict(EMPTY))
    slot: int = 1
    promised: int = 0
    accepted_ballot: int = 0
    accepted: dict | None = None
    highest_ballot: int = 0
    recent: list = attrs.field(factory=list)

    @classmethod
    def from_config(cls, folder):
        """The acceptor saved under *folder*, or a new one."""
        acceptor = cls(store.Store(folder))
        saved = acceptor.store.load()
        if saved:
            for name, value in saved.items():
                setattr(acceptor, name, value)
        return acceptor

    def save(self):
        self.store.save(
            attrs.asdict(self, filter=lambda a, v: a.name != "store", recurse=False)
        )

    def _move_to(self, version):
        if version > self.slot:
            self.slot = version
            self.promised = 0
            self.accepted_ballot = 0
            self.accepted = None

    def prepare(self, version, ballot):
        """Promise *ballot* for *version* if nothing higher was promised."""
        self.highest_ballot = max(self.highest_ballot, ballot)
        promise = ttypes.Promise(ok=False, committed=message(self.committed))
        if version <= self.committed["version"] or version < self.slot:
            promise.promised = self.promised
            return promise
        self._move_to(version)
        if ballot > self.promised:
            self.promised = ballot
            self.save()
            promise.ok = True
        promise.promised = self.promised
        promise.accepted_ballot = self.accepted_ballot
        promise.accepted = message(self.accepted) if self.accepted else None
        return promise

    def accept(self, version, ballot, document):
        """Accept *document* for *version* under *ballot*; ``True`` if done."""
        if version <= self.committed["version"] or version < self.slot:
            return False
        self._move_to(version)
        if ballot < self.promised:
            return False
        self.promised = ballot
        self.accepted_ballot = ballot
        self.accepted = plain(document)
        self.save()
        return True

    def learn(self, document):
        """Take a committed *document*; ``True`` when it is newer than ours."""
        if document.version <= self.committed["version"]:
            return False
        self.committed = plain(document)
        self.recent = (self.recent + [[document.change_id, document.version]])[
            -HISTORY:
        ]
        self._move_to(document.version + 1)
        self.save()
        log.info("document_in_force", version=document.version)
        return True

    def version_of(self, change_id):
        """The version a change id was committed as, or ``None``."""
        for seen, version in reversed(self.recent):
            if seen == change_id:
                return version
        return None

    def next_ballot(self, index):
        """A ballot above every one seen, unique to acceptor *index*."""
        rounds = self.highest_ballot // BALLOT_STRIDE + 1
        self.highest_ballot = rounds * BALLOT_STRIDE + index
        return self.highest_ballot


@attrs.define
class Peers:
    """The acceptors as this control instance reaches them."""

    local: Acceptor
    index: int
    links: list

    @property
    def majority(self):
        return (len(self.links) + 1) // 2 + 1

    def _quorum(self, method, args, good):
        """Answers to *method* once a majority are *good*, or all have come.

        A frozen or cut-off acceptor answers nothing until its timeout;
        waiting for every answer made each round wait for it (1.6 s a
        change with one of three frozen, against 4 ms with all up), and a
        change could then miss the 7 s bound for being in force. A
        majority is all agreement needs.
        """
        calls = [defer.maybeDeferred(getattr(self.local, method), *args)]
        calls += [link.call(method, *args) for link in self.links]
        done = defer.Deferred()
        answers = []
        waiting = [len(calls)]

        def settle(value, ok):
            waiting[0] -= 1
            if ok:
                answers.append(value)
            enough = sum(1 for a in answers if good(a)) >= self.majority
            if not done.called and (enough or waiting[0] == 0):
                done.callback(list(answers))

        for call in calls:
            call.addCallbacks(
                settle,
                lambda failure: settle(failure, False),
                callbackArgs=(True,),
            )
        return done

    def prepare(self, version, ballot):
        """Promises from the acceptors that answered (a Deferred of a list)."""
        return self._quorum("prepare", (version, ballot), lambda p: p.ok)

    @defer.inlineCallbacks
    def accept(self, version, ballot, document):
        """How many acceptors accepted."""
        answers = yield self._quorum(
            "accept", (version, ballot, document), lambda ok: ok
        )
        return sum(1 for ok in answers if ok)

    def learn(self, document):
        """Tell everyone the committed *document*; nothing waits for it."""
        self.local.learn(document)
        for link in self.links:
            link.call("learn", document).addErrback(
                lambda failure: failure.trap(errors.WireError)
            )


@defer.inlineCallbacks
def propose(peers, expected_version, change_id, body_json):
    """Try to commit *body_json* as the version after *expected_version*."""
    local = peers.local
    known = local.version_of(change_id)
    if known is not None:
        return Outcome(True, known, "resent")
    current = local.committed["version"]
    if expected_version != current:
        return Outcome(False, current, "version_conflict")
    version = current + 1
    ballot = local.next_ballot(peers.index)
    promises = yield peers.prepare(version, ballot)
    newest = max(promises, key=lambda p: p.committed.version, default=None)
    if newest is not None and newest.committed.version >= version:
        local.learn(newest.committed)
        if local.version_of(change_id) is not None:
            return Outcome(True, local.version_of(change_id), "resent")
        return Outcome(False, local.committed["version"], "version_conflict")
    granted = [p for p in promises if p.ok]
    for promise in promises:
        local.highest_ballot = max(local.highest_ballot, promise.promised or 0)
    if len(granted) < peers.majority:
        return Outcome(False, current, "no_quorum")
    prior = max(
        (p for p in granted if p.accepted is not None),
        key=lambda p: p.accepted_ballot,
        default=None,
    )
    mine = ttypes.Document(version, change_id, body_json)
    chosen = prior.accepted if prior is not None else mine
    count = yield peers.accept(version, ballot, chosen)
    if count < peers.majority:
        return Outcome(False, current, "no_quorum")
    peers.learn(chosen)
    if chosen.change_id != change_id:
        return Outcome(False, version, "version_conflict")
    return Outcome(True, version)
