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

An acceptor that lost its disk has lost its promises too. Voting at once, it
could help a majority choose a second document for a version that a majority
with its old vote had already chosen. It therefore starts ``recovering`` and
votes on nothing until it has seen the state of enough other acceptors to
include one member of every majority it may have been part of, or of all of
them (:func:`recover`). An acceptor that starts for the first time cannot be
told from one that lost its disk: without being told, it waits in the same
way, so a new deployment votes once all its acceptors have met.
"""

from __future__ import annotations

import attrs
from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.config import packed
from dunlinpoint.control import store
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("control")

HISTORY = 1024
BALLOT_STRIDE = 1024
READ_ROUNDS = 3
NOTHING_KNOWN = -1
EMPTY = {"version": 0, "change_id": "", "body": packed.to_saved(packed.EMPTY)}
# The fields of an acceptor that are kept on disk.
SAVED = {
    "committed",
    "slot",
    "promised",
    "accepted_ballot",
    "accepted",
    "highest_ballot",
    "recent",
    "recovering",
}


def message(doc):
    """A stored document dict as a ``Document`` message."""
    return ttypes.Document(
        doc["version"], doc["change_id"], packed.from_saved(doc["body"])
    )


def plain(document):
    """A ``Document`` message as a stored dict."""
    return {
        "version": document.version,
        "change_id": document.change_id,
        "body": packed.to_saved(document.body),
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
    recovering: bool = False
    on_learn: list = attrs.field(factory=list)

    @classmethod
    def from_config(cls, folder, bootstrap=True):
        """The acceptor saved under *folder*, or a new one.

        *bootstrap* says that a missing state is a first start; without it,
        a missing state is a lost disk.
        """
        acceptor = cls(store.Store(folder))
        saved = acceptor.store.load()
        if saved:
            for name, value in saved.items():
                setattr(acceptor, name, value)
        else:
            acceptor.recovering = not bootstrap
            acceptor.save()
        return acceptor

    def save(self):
        self.store.save(
            attrs.asdict(self, filter=lambda a, v: a.name in SAVED, recurse=False)
        )

    @property
    def settled(self):
        """Whether no accepted document of unknown fate is held."""
        return self.accepted is None and not self.recovering

    def _shown(self, known_version):
        """The committed document, its body only above *known_version*."""
        document = message(self.committed)
        if document.version <= known_version:
            document.body = None
        return document

    def inspect(self, known_version):
        """The state as it stands, promising nothing."""
        return ttypes.Promise(
            ok=not self.recovering,
            promised=self.promised,
            accepted_ballot=self.accepted_ballot,
            accepted=message(self.accepted) if self.accepted else None,
            committed=self._shown(known_version),
            recovering=self.recovering,
        )

    def adopt(self, states):
        """Take over the most that the acceptors' *states* hold, and vote again."""
        for state in states:
            self.take(state.committed)
        for state in states:
            self.highest_ballot = max(self.highest_ballot, state.promised or 0)
            if state.committed.version + 1 != self.slot:
                continue
            self.promised = max(self.promised, state.promised or 0)
            if state.accepted and state.accepted_ballot > self.accepted_ballot:
                self.accepted_ballot = state.accepted_ballot
                self.accepted = plain(state.accepted)
        self.recovering = False
        self.save()

    def _move_to(self, version):
        if version > self.slot:
            self.slot = version
            self.promised = 0
            self.accepted_ballot = 0
            self.accepted = None

    def prepare(self, version, ballot):
        """Promise *ballot* for *version* if nothing higher was promised."""
        self.highest_ballot = max(self.highest_ballot, ballot)
        promise = ttypes.Promise(ok=False, committed=self._shown(version - 1))
        if self.recovering:
            promise.recovering = True
            return promise
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
        if self.recovering:
            return False
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

    def take(self, document):
        """Take a committed *document*; ``True`` when it is newer than ours."""
        if document.version <= self.committed["version"] or document.body is None:
            return False
        self.committed = plain(document)
        self.recent = (self.recent + [[document.change_id, document.version]])[
            -HISTORY:
        ]
        self._move_to(document.version + 1)
        self.save()
        log.info("document_in_force", version=document.version)
        for hear in self.on_learn:
            hear()
        return True

    def learn(self, chosen, ballot):
        """The document accepted under *ballot* for a version was chosen.

        *chosen* is a ``Document`` message without its body. One accepted
        under another ballot may be another document; then the next catch-up
        brings the chosen one.
        """
        if self.slot == chosen.version and self.accepted:
            if self.accepted_ballot == ballot:
                self.take(message(self.accepted))

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

    def inspect(self):
        """States of a majority that is not recovering, if they answer."""
        known = self.local.committed["version"]
        return self._quorum("inspect", (known,), lambda state: state.ok)

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

    def learn(self, document, ballot):
        """Tell everyone that *document* was chosen; nothing waits for it."""
        try:
            self.local.take(document)
        except store.StoreError as exc:
            # A majority holds the document, so it is in force; this disk
            # being full must not make its operator hear a failure.
            log.error("learn_not_saved", error=str(exc))
        chosen = ttypes.Document(document.version, document.change_id)
        for link in self.links:
            link.call("learn", chosen, ballot).addErrback(
                lambda failure: failure.trap(errors.WireError)
            )


@defer.inlineCallbacks
def recover(peers):
    """Let a recovering acceptor vote again once it has seen enough.

    With ``n`` acceptors and majorities of ``m``, any majority that counted
    the lost vote has at least one member among any ``n - m + 1`` of the
    others. Their promises and acceptances bound what was lost. Once all
    others have answered there is nothing more to learn, even where some of
    them are recovering themselves: that is a first start, or the loss of
    more disks than any majority survives.
    """
    local = peers.local
    if not local.recovering:
        return
    calls = [link.call("inspect", NOTHING_KNOWN) for link in peers.links]
    results = yield defer.DeferredList(calls, consumeErrors=True)
    answered = [state for ok, state in results if ok]
    sound = [state for state in answered if not state.recovering]
    enough = len(peers.links) + 2 - peers.majority
    if len(sound) >= enough or len(answered) == len(peers.links):
        local.adopt(answered)
        log.info("recovered", version=local.committed["version"])


@defer.inlineCallbacks
def read(peers):
    """The newest document for certain, or ``None`` when that can't be known.

    A majority must answer. A document accepted somewhere for the next
    version may have been acknowledged to its operator already, so its round
    is finished before anything older is shown.
    """
    local = peers.local
    for _ in range(READ_ROUNDS):
        states = yield peers.inspect()
        sound = [state for state in states if state.ok]
        if len(sound) < peers.majority:
            return None
        newest = max(sound, key=lambda state: state.committed.version)
        local.take(newest.committed)
        version = local.committed["version"]
        if not any(s.accepted and s.accepted.version > version for s in sound):
            return message(local.committed)
        yield decide(peers, version + 1, None)
    return None


@defer.inlineCallbacks
def decide(peers, version, mine):
    """One round for *version*; the chosen ``Document`` or ``None``.

    Proposes *mine* unless some document was already accepted; with *mine*
    ``None`` it only finishes a round that another proposer began.
    """
    local = peers.local
    ballot = local.next_ballot(peers.index)
    promises = yield peers.prepare(version, ballot)
    newest = max(promises, key=lambda p: p.committed.version, default=None)
    if newest is not None and newest.committed.version >= version:
        local.take(newest.committed)
        return None
    granted = [p for p in promises if p.ok]
    for promise in promises:
        local.highest_ballot = max(local.highest_ballot, promise.promised or 0)
    if len(granted) < peers.majority:
        return None
    prior = max(
        (p for p in granted if p.accepted is not None),
        key=lambda p: p.accepted_ballot,
        default=None,
    )
    chosen = prior.accepted if prior is not None else mine
    if chosen is None:
        return None
    count = yield peers.accept(version, ballot, chosen)
    if count < peers.majority:
        return None
    peers.learn(chosen, ballot)
    return chosen


@defer.inlineCallbacks
def propose(peers, expected_version, change_id, text):
    """Try to commit *text* as the version after *expected_version*."""
    local = peers.local
    known = local.version_of(change_id)
    if known is not None:
        return Outcome(True, known, "resent")
    current = local.committed["version"]
    if expected_version != current:
        return Outcome(False, current, "version_conflict")
    mine = ttypes.Document(current + 1, change_id, packed.pack(text))
    chosen = yield decide(peers, current + 1, mine)
    if chosen is not None and chosen.change_id == change_id:
        return Outcome(True, current + 1)
    known = local.version_of(change_id)
    if known is not None:
        return Outcome(True, known, "resent")
    if local.committed["version"] > current:
        return Outcome(False, local.committed["version"], "version_conflict")
    return Outcome(False, current, "no_quorum")
