"""Changes of the voters that a control instance proposes.

:func:`mend` is run at each announcement; one of the voters then proposes the set that
:func:`voters.next_set` asks for. :func:`leave` gives up this instance's own vote before
its process ends. A voter that ends without this counts until the others have missed its
announcements for some time, and losses within that time add up: a removed instance and
a lost disk were a majority of three voters, after which nothing could be decided again.
"""

from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.control import agreement, voters

log = logs.logger("control")

# Less than the time that a process is given to end.
LEAVE_TIMEOUT_MS = 3000
LEAVE_RETRY_MS = 100


def wanted_voters(state):
    """The list of voters that should replace the current one, or ``None``."""
    committed, now = state.peers.local.committed, state.clock.now()
    controls = state.controls
    return voters.next_set(
        controls.located(committed.voters, now),
        controls.candidates(committed, now),
        lambda node_id: controls.silent_ms(node_id, now),
        controls.leaving_ids(now),
        controls.joined_round,
        lambda node_id: controls.known_ms(node_id, now),
    )


@defer.inlineCallbacks
def _change(state, next_voters):
    """Propose *next_voters* and log the result."""
    local, controls, now = state.peers.local, state.controls, state.clock.now()
    before = local.committed.voters
    waiting = controls.candidates(local.committed, now)
    done = yield agreement.change_voters(state.peers, next_voters)
    state.counters.incr("voters_changed" if done else "voters_kept")
    log.info(
        "voters_change",
        done=done,
        round=local.committed.round,
        before=[v.node_id for v in before],
        after=[v.node_id for v in next_voters],
        silent_ms={v.node_id: controls.silent_ms(v.node_id, now) for v in before},
        leaving=sorted(controls.leaving_ids(now)),
        waiting=[v.node_id for v in waiting],
    )


@defer.inlineCallbacks
def mend(state):
    """Propose another set of voters if the current one should change."""
    local, controls, now = state.peers.local, state.controls, state.clock.now()
    if controls.leaving or not local.is_voter:
        return
    is_proposer = voters.is_proposer(
        local.node_id,
        local.committed.voters,
        lambda node_id: controls.silent_ms(node_id, now),
        controls.leaving_ids(now),
    )
    next_voters = wanted_voters(state) if is_proposer else None
    if next_voters is not None:
        yield _change(state, next_voters)


@defer.inlineCallbacks
def leave(state, announce):
    """Give up this instance's vote if the others can do without it.

    ``announce(state)`` sends this instance's announcement. The Deferred fires when the
    voters should not change any more and a majority of them hold the last decision,
    or after :data:`LEAVE_TIMEOUT_MS`. Without a candidate, three voters stay as they
    are, for this instance may start again on its disk.
    """
    local, deadline_ms = state.peers.local, state.clock.now() + LEAVE_TIMEOUT_MS
    was_voter = local.is_voter
    state.controls.leaving = True
    yield announce(state)
    is_done = not was_voter
    while not is_done and state.clock.now() < deadline_ms:
        next_voters = wanted_voters(state) if local.is_voter else None
        if next_voters is not None:
            yield _change(state, next_voters)
        elif local.is_voter or (yield state.peers.is_held()):
            is_done = True
        if not is_done:
            yield state.clock.sleep(LEAVE_RETRY_MS)
    log.info(
        "vote_given_up",
        done=is_done,
        round=local.committed.round,
        voters=[v.node_id for v in local.committed.voters],
    )
