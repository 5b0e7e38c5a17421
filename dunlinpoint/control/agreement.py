"""Agreement among control instances on each decision, round by round.

Each round is single-value Paxos among its voters, who are part of the previous
round's decision: a proposer asks a majority of them to promise a ballot, adopts
any decision already accepted under a lower ballot, asks a majority to accept,
then announces the result to all instances (learn). A minority, such as a
partitioned zone, cannot decide anything; it keeps serving the last decision it
learned.

A decision changes the document, the voters (:mod:`voters`) or a zone's evacuation
(:mod:`evacuation`), and carries the rest over. Because each round has exactly one set
of voters, two partitions of a deployment never use two disjoint majorities: an
instance that missed a change of voters asks the old set, a majority of which took part
in the change and returns it.

Operators' changes are compare-and-set: a change names the version it is based
on and is refused unless that is the version committed here. Two operators
changing the same version reach the same round; one document wins and the other
change is refused as a conflict. A retried change (same change id) is recognised
from the recent history and answered with its version instead of being applied
twice.

Documents are complete, not deltas, so a process that missed hundreds of
rounds catches up by learning the newest one.
"""

from __future__ import annotations

import attrs
from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.config import packed
from dunlinpoint.control import acceptor as acceptors
from dunlinpoint.control import evacuation, voters
from dunlinpoint.wire import errors

log = logs.logger("control")

# Attempts of a read. A new attempt is needed when the answers change the voters.
READ_ATTEMPTS = 5
# Attempts of a proposal. A new one is needed when a change of voters takes its round.
PROPOSE_ATTEMPTS = 3
# Known round of an instance without a decision: the answer then includes the body of
# the committed decision, whatever its round.
NOTHING_KNOWN = -1


@attrs.define
class Outcome:
    """The result of one proposed change.

    ``version`` is the change's version if accepted, else the version committed
    here. ``reason`` is empty, ``"resent"``, ``"held"``, ``"version_conflict"`` or
    ``"no_quorum"``.
    """

    accepted: bool
    version: int
    reason: str = ""


@attrs.define
class Peers:
    """Calls from this control instance to the voters and other instances.

    ``link_to(host, port)`` returns a link to another instance; ``known_addresses()``
    lists the (host, port) of all known instances, which are sent decisions.
    """

    local: acceptors.Acceptor
    link_to: object
    known_addresses: object

    @property
    def voters(self):
        """The voters of the next round."""
        return self.local.committed.voters

    def _call(self, voter, method, *args):
        if voter.node_id == self.local.node_id:
            return defer.maybeDeferred(getattr(self.local, method), *args)
        return self.link_to(*voter.address).call(method, *args)

    def _quorum(self, voting, method, args, is_success):
        """The answers to *method* once a majority succeeded or all have arrived.

        Returns a Deferred of a list; ``is_success(answer)`` tells which ones succeeded.
        Only a majority is waited for: a call to a frozen or partitioned voter lasts
        until its timeout, and waiting for every answer delayed each round by that
        (1.6 s a change with one of three voters frozen, against 4 ms with all up). A
        change could then exceed the 7 s within which it must be in force.
        """
        if not voting:
            return defer.succeed([])
        calls = [self._call(v, method, *args, v.node_id) for v in voting]
        done = defer.Deferred()
        answers = []
        waiting = [len(calls)]

        def collect(value, ok):
            waiting[0] -= 1
            if ok:
                answers.append(value)
            elif not value.check(errors.WireError):
                log.error("call_failed", call=method, error=value.getErrorMessage())
            enough = sum(1 for a in answers if is_success(a)) >= voters.majority(voting)
            if not done.called and (enough or waiting[0] == 0):
                done.callback(list(answers))

        for call in calls:
            call.addCallbacks(
                collect,
                lambda failure: collect(failure, False),
                callbackArgs=(True,),
            )
        return done

    def inspect(self, voting):
        """The states of a majority of *voting*, if they answer (Deferred list)."""
        known = self.local.committed.round
        return self._quorum(voting, "inspect", (known,), lambda state: state.ok)

    @defer.inlineCallbacks
    def is_held(self):
        """Whether a majority of the voters hold the decision committed here."""
        voting, known = self.voters, self.local.committed.round

        def holds(state):
            return state.ok and state.committed.round >= known

        states = yield self._quorum(voting, "inspect", (known,), holds)
        return sum(1 for s in states if holds(s)) >= voters.majority(voting)

    def prepare(self, voting, number, ballot):
        """The promises of the voters that answered (Deferred list)."""
        return self._quorum(voting, "prepare", (number, ballot), lambda p: p.ok)

    @defer.inlineCallbacks
    def accept(self, voting, number, ballot, decision):
        """The number of *voting* that accepted *decision* (Deferred int)."""
        args = number, ballot, decision.to_message()
        answers = yield self._quorum(voting, "accept", args, lambda ok: ok)
        return sum(1 for ok in answers if ok)

    def learn(self, decision, ballot):
        """Notify all instances that *decision* was chosen, without waiting.

        Added voters get it with its body: they did not accept it, and until they hold
        it, the instances that accepted it must not be lost.
        """
        added = {v.address for v in set(decision.voters) - set(self.voters)}
        self.local.commit(decision)
        chosen = decision.to_message(with_body=False)
        complete = decision.to_message()
        for address in self.known_addresses():
            message = complete if address in added else chosen
            self.link_to(*address).call("learn", message, ballot).addErrback(
                lambda failure: failure.trap(errors.WireError)
            )


@defer.inlineCallbacks
def check_founding(peers, own, founders):
    """Determine whether an instance without state is a founder's first start.

    It is if every other founder answers and none has decided or accepted
    anything: then nothing that it may have voted for was chosen, and their
    promises bound what it may have promised. Otherwise it has lost its disk and
    must be made a voter under its new id.
    """
    local = peers.local
    if not local.unfounded:
        return
    others = [v for v in founders if v != own]
    calls = [
        peers.link_to(*v.address).call("inspect", NOTHING_KNOWN, "") for v in others
    ]
    results = yield defer.DeferredList(calls, consumeErrors=True)
    states = [state for ok, state in results if ok]
    for state in states:
        local.commit(local.read_message(state.committed))
    empty = [s for s in states if not s.committed.round and s.accepted is None]
    if local.unfounded and len(empty) == len(others):
        local.become_founder(own, founders, empty)


@defer.inlineCallbacks
def read(peers):
    """The newest decision (Deferred), or ``None`` if it cannot be determined.

    A majority of the voters must answer. A decision accepted by any of them for
    the next round may already have been acknowledged to its operator, so that
    round is completed before an older decision is returned.
    """
    local = peers.local
    for _ in range(READ_ATTEMPTS):
        voting = peers.voters
        number = local.committed.round
        states = yield peers.inspect(voting)
        valid = [state for state in states if state.ok]
        if not voting or len(valid) < voters.majority(voting):
            return None
        newest = max(valid, key=lambda state: state.committed.round)
        local.commit(local.read_message(newest.committed))
        if local.committed.round != number:
            # A newer decision was learned from the answers or meanwhile. Its
            # voters may differ, and theirs are the answers that count.
            continue
        if not any(s.accepted and s.accepted.round > number for s in valid):
            return local.committed
        yield decide(peers, number + 1, None)
    return None


@defer.inlineCallbacks
def decide(peers, number, proposal, is_wanted=lambda: True):
    """Run round *number*; a Deferred of the ``Decision`` it chose, or ``None``.

    Proposes *proposal* unless another decision was already accepted; with
    *proposal* ``None`` it only completes a round that another proposer began.
    *proposal* is dropped if ``is_wanted()`` is false once it may be proposed: this
    process may have been frozen meanwhile.
    """
    local = peers.local
    voting = peers.voters
    if not voting or local.committed.round + 1 != number:
        return None
    ballot = local.next_ballot()
    promises = yield peers.prepare(voting, number, ballot)
    newest = max(promises, key=lambda p: p.committed.round, default=None)
    if newest is not None and newest.committed.round >= number:
        local.commit(local.read_message(newest.committed))
        return None
    granted = [p for p in promises if p.ok]
    for promise in promises:
        local.highest_ballot = max(local.highest_ballot, promise.promised or 0)
    if len(granted) < voters.majority(voting):
        return None
    prior = max(
        (p for p in granted if p.accepted is not None),
        key=lambda p: p.accepted_ballot,
        default=None,
    )
    chosen = proposal
    if prior is not None:
        chosen = local.read_message(prior.accepted)
    if chosen is None or (chosen is proposal and not is_wanted()):
        return None
    count = yield peers.accept(voting, number, ballot, chosen)
    if count < voters.majority(voting):
        return None
    peers.learn(chosen, ballot)
    return chosen


@defer.inlineCallbacks
def propose(peers, expected_version, change_id, text):
    """Try to commit *text* as the version after *expected_version*.

    Returns a Deferred of an ``Outcome``.
    """
    local = peers.local
    for _ in range(PROPOSE_ATTEMPTS):
        known = local.version_of(change_id)
        if known is not None:
            return Outcome(True, known, "resent")
        current = local.committed
        if expected_version != current.version:
            return Outcome(False, current.version, "version_conflict")
        proposal = attrs.evolve(
            current,
            round=current.round + 1,
            version=current.version + 1,
            change_id=change_id,
            body=packed.pack(text),
        )
        chosen = yield decide(peers, proposal.round, proposal)
        if chosen is not None and chosen.change_id == change_id:
            return Outcome(True, chosen.version)
        if local.committed.round == current.round:
            return Outcome(False, current.version, "no_quorum")
    known = local.version_of(change_id)
    if known is not None:
        return Outcome(True, known, "resent")
    return Outcome(False, local.committed.version, "version_conflict")


@defer.inlineCallbacks
def change_voters(peers, next_voters):
    """Try to decide on *next_voters*; a Deferred of whether it succeeded."""
    current = peers.local.committed
    proposal = attrs.evolve(current, round=current.round + 1, voters=tuple(next_voters))
    chosen = yield decide(peers, proposal.round, proposal)
    return chosen is not None and chosen.voters == proposal.voters


@defer.inlineCallbacks
def change_evacuation(peers, zone, active, is_wanted=lambda: True):
    """Try to decide that *zone* is evacuated (*active*) or not any more.

    Returns a Deferred of whether it succeeded; for ``is_wanted()`` see :func:`decide`.
    """
    current = peers.local.committed
    record = evacuation.Evacuation(zone, active, current.round + 1)
    proposal = attrs.evolve(
        current,
        round=record.round,
        evacuations=evacuation.with_record(current.evacuations, record),
    )
    chosen = yield decide(peers, proposal.round, proposal, is_wanted)
    return chosen is not None and record in chosen.evacuations
