"""Takeover from a lost leader, by the agents of ranks 1 and 2.

The standby is the agent of rank 1. It takes over when the leader's agent is known dead,
because its port refuses connections, or has been silent for ``LEADER_TIMEOUT_MS``. It
first refuses the leader's queries, then finishes the change of map that the leader
left, and then runs the leader's iterations itself, with its holds at rank 2. It gives
way between two iterations once the leader queries it again.

It leads only if the leader's queries told that the leader can give way, and only in
groups of at least three ranks. Otherwise it only lifts the hold of a leader that has
been silent.

The agent of rank 2 lifts a hold at its rank that a lost acting leader left.

No counts are handed over: the ranks' agents return the growth of their counters since
the last query of either leader (:class:`window.Counter`).
"""

from __future__ import annotations

from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.experts import aggregation, switch
from dunlinpoint.wire import errors

log = logs.logger("experts")

# Delay between iterations of the agents of ranks 1 and 2 while they do not lead.
INTERVAL_MS = 100
# How long the leader may be silent before its standby takes over. A leader queries
# every 50 ms, and every 400 ms or sooner while it switches and commands get lost. With
# 350 ms a slow leader was declared dead, and armed ranks while its standby took over.
LEADER_TIMEOUT_MS = 600
# Silence of the leader after which its standby checks whether its process is dead.
PROBE_SILENCE_MS = 150
# After a freeze of its own, the standby first has to read the queries that arrived
# meanwhile.
RECHECK_MS = 20
# A leader that waits for its standby to give way queries it at least this often.
WAITING_LEADER_MS = 500


def silence_ms(leader):
    """Return for how long no leader has queried this agent; 0 if none has yet."""
    queried_ms = leader.group_client.handler.last_query_ms
    return 0 if queried_ms is None else leader.clock.now() - queried_ms


@defer.inlineCallbacks
def knows_ranks(leader, own):
    """Whether the agents of all ranks of this epoch are known, after asking for them.

    They must be known before the leader is lost.
    """
    client = leader.group_client
    if own.epoch != leader.epoch:
        stop_acting(leader, "epoch")
        leader.reset()
        client.reset()
        leader.epoch = own.epoch
    if len(client.member_by_rank) < own.size:
        yield client.read(own.group, own.rank, aggregation.Question())
        return False
    return True


@defer.inlineCallbacks
def is_acting(leader, own):
    """Whether the standby is the acting leader, after it took over or gave way."""
    if not (yield knows_ranks(leader, own)):
        return False
    if leader.acting:
        refused_ms = leader.group_client.handler.refused_ms
        if refused_ms is None or leader.clock.now() - refused_ms > WAITING_LEADER_MS:
            leader.group_client.bypass(switch.LEADER)
            yield finish_own_hold(leader, own)
            return True
        stop_acting(leader, "returned")
        return False
    leader.update_step_rate(own.step)
    reason = yield loss_of_leader(leader)
    if reason is None:
        return False
    handler = leader.group_client.handler
    may_act = leader.may_act and handler.gives_way
    if may_act and own.size >= switch.MIN_ACTING_SIZE:
        act(leader, own, reason)
        leader.group_client.bypass(switch.LEADER)
        yield finish_own_hold(leader, own)
        return True
    if own.held and silence_ms(leader) >= LEADER_TIMEOUT_MS:
        handler.fenced = True
        try:
            yield finish_own_hold(leader, own)
        finally:
            handler.fenced = False
    return False


@defer.inlineCallbacks
def loss_of_leader(leader):
    """Return why the leader counts as lost, or ``None``."""
    if silence_ms(leader) < PROBE_SILENCE_MS:
        return None
    if silence_ms(leader) >= LEADER_TIMEOUT_MS:
        yield leader.clock.sleep(RECHECK_MS)
        return "silent" if silence_ms(leader) >= LEADER_TIMEOUT_MS else None
    try:
        yield leader.group_client.probe(switch.LEADER)
    except errors.ConnectionRefused:
        # A leader that has just started may have queried this agent meanwhile.
        return "dead" if silence_ms(leader) >= PROBE_SILENCE_MS else None
    return None


def act(leader, own, reason):
    """Become the acting leader: refuse the leader's queries from now on."""
    log.warning(
        "takes_over",
        group=own.group,
        rank=own.rank,
        reason=reason,
        age_ms=silence_ms(leader),
    )
    leader.counters.incr("deputised")
    leader.counters.incr(f"deputised.{reason}")
    leader.acting, leader.settled, leader.mapping = True, False, None
    handler = leader.group_client.handler
    handler.fenced, handler.refused_ms = True, None
    leader.group_client.set_guard(switch.WITNESS)


def stop_acting(leader, reason):
    """Give way to the leader; no change of map is in progress."""
    if not leader.acting:
        return
    log.info("gives_way", reason=reason)
    leader.counters.incr(f"gave_way.{reason}")
    leader.acting, leader.settled, leader.mapping = False, False, None
    handler = leader.group_client.handler
    handler.fenced = handler.leads = False
    handler.last_query_ms = leader.clock.now()
    leader.group_client.set_guard(switch.STANDBY)


@defer.inlineCallbacks
def finish_own_hold(leader, own):
    """Finish the change of map that holds the group at this agent's rank, if any."""
    if not own.held:
        return
    if not leader.acting:
        leader.counters.incr("deputised")
    client = leader.group_client
    group = client.group(own.size, own.rank, leading=False)
    asked_ms = leader.clock.now()
    answers = yield client.read(own.group, own.rank, aggregation.Question())
    if switch.is_stale(group, asked_ms):
        return
    states = {number: answer.state for number, answer in answers.items()}
    if not states.get(own.rank) or not states[own.rank].held:
        return
    yield switch.resolve(group, states, own.epoch)


@defer.inlineCallbacks
def lift_abandoned_hold(leader, own):
    """Lift a hold at rank 2 that no leader has taken care of for some time.

    Neither agent that may lead leads, twice with ``MAX_HOLDER_AGE_MS`` between, after
    which a leader that was cut off arms no more ranks. A leader that returns meanwhile
    is refused until the hold is lifted.
    """
    leader.group_client.guard = None
    if not (yield knows_ranks(leader, own)):
        return
    if not own.held or not (yield is_unled(leader)):
        leader.held_since_ms = None
        return
    now = leader.clock.now()
    if leader.held_since_ms is None:
        leader.held_since_ms = now
    if now - leader.held_since_ms <= switch.MAX_HOLDER_AGE_MS:
        return
    handler = leader.group_client.handler
    handler.fenced = True
    try:
        yield finish_own_hold(leader, own)
    finally:
        handler.fenced = False


@defer.inlineCallbacks
def is_unled(leader):
    """Whether no leader has queried this agent, and no agent says that it leads."""
    queried_ms = leader.group_client.handler.last_query_ms
    if queried_ms is not None and silence_ms(leader) < LEADER_TIMEOUT_MS:
        return False
    for number in (switch.LEADER, switch.STANDBY):
        try:
            gathered = yield leader.group_client.probe(number)
        except errors.ConnectionRefused:
            continue
        # An agent of an older build does not tell whether it leads.
        if gathered is not None and gathered.leads is not False:
            return False
    return leader.group_client.handler.last_query_ms == queried_ms
