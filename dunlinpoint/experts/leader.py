"""The control loop at rank 0, which reads every rank, plans a map and switches to it.

A leader can die or freeze while it holds the group. The agent of the next rank is its
standby: once the leader has stopped querying it, the standby finishes the change of map
in progress and lifts the hold. It plans nothing itself.

In each iteration the leader reads all ranks' counts through their agents. It plans by
recent demand, and switches when the new map saves enough of the time that experts take
in a step. How much is enough depends on how the group weighs skew against the cost of
moving experts.
"""

from __future__ import annotations

import random

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs, metrics
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.experts import (
    aggregation,
    benefit,
    engine,
    group_client,
    placement,
    switch,
    window,
)
from dunlinpoint.follow import view

log = logs.logger("experts")

# Delay between iterations: of the leader while its group makes steps and while it makes
# none, of its standby, and of the other ranks, which only check whether they have
# become one of the two. Demand shifts to other experts within one step, and makes every
# step longer until the next map is in force.
LEADER_INTERVAL_MS = 50
IDLE_INTERVAL_MS = 400
STANDBY_INTERVAL_MS = 150
OTHER_INTERVAL_MS = 2000
# Delay of the leader and its standby while the group is broken. Polled every 2 s, a
# group that had reopened kept its first map for up to 2 s, with most streams past
# their latency target.
BROKEN_INTERVAL_MS = 150
# How long the leader may be silent before its standby takes over. A leader queries
# every 50 ms, and every 400 ms or sooner while it switches and commands get lost. With
# 350 ms a slow leader was declared dead, and armed ranks while its standby took over.
LEADER_TIMEOUT_MS = 600
FOLLOW_WAIT_MS = 3000
# A leader needs only its engines' shape and the promised inter-event gap from a
# document. They hardly ever change, and a new document is in force within seconds all
# the same.
MIN_BODY_INTERVAL_MS = 2000
# Upper limit of the estimated step duration, because an idle group makes no steps.
MAX_STEP_MS = 200
# Minimum interval over which steps are counted: one iteration covers one or two. While
# the step duration is unknown, no map is planned, so it is first taken from a shorter
# interval with a minimum number of steps.
STEP_RATE_INTERVAL_MS = 400
FIRST_RATE_INTERVAL_MS = 150
FIRST_RATE_STEPS = 2
# Minimum number of choices of a set that a map is planned by.
MIN_CHOICES = 2000
# Largest random gap between map versions. It prevents a command of an earlier leader
# that is executed late from naming a version that this leader gives to another map.
MAX_VERSION_GAP = 1000


@attrs.define
class Leader:
    """State that the agent of rank 0 keeps between iterations."""

    group_client: group_client.GroupClient
    view: view.View
    clock: clock.Clock
    counters: metrics.Counters
    service: str
    shape: config.Experts | None = None
    urgency: benefit.Urgency = attrs.field(factory=benefit.Urgency)
    window: window.Window = attrs.field(factory=window.Window)
    rng: random.Random = attrs.field(factory=random.Random)
    epoch: int | None = None
    mapping: list | None = None
    map_version: int | None = None
    last_version: int = 0
    last_step: tuple | None = None
    steps_per_s: float = 0.0
    idle: bool = False
    following: bool = False
    group_state: tuple | None = None
    on_group_state: list = attrs.field(factory=list)

    @classmethod
    def from_config(cls, reactor, handler, leader_view, counters, service):
        """A leader for the group of *handler*'s engine, in *service*."""
        ms_clock = clock.Clock(reactor)
        ranks = group_client.GroupClient(handler, leader_view, ms_clock, counters)
        leader = cls(ranks, leader_view, ms_clock, counters, service)
        ranks.on_counts = leader.add_counts
        leader_view.on_document.append(leader.apply_document)
        return leader

    def apply_document(self, document):
        """Take the shape of the experts and the promised gap from a newer document."""
        text = packed.unpack(document.body)
        self.shape, self.urgency.max_gap_ms = config.parse_for_ranks(text, self.service)

    def add_counts(self, now, counts):
        """Add one reading of how often experts were chosen, at *now* (ms)."""
        self.window.add(now, counts, self.shape.sets if self.shape is not None else 1)

    @property
    def step_ms(self):
        """Estimated duration of a step, in ms."""
        if self.steps_per_s <= 0:
            return MAX_STEP_MS
        return min(MAX_STEP_MS, clock.MS_PER_SECOND / self.steps_per_s)

    def reset(self):
        """Reset what is known of the group: it broke, or another agent leads it."""
        self.epoch = self.mapping = self.map_version = self.last_step = None
        self.idle = False

    def update_step_rate(self, step):
        """Update the steps per second from the number *step* and an earlier one."""
        now = self.clock.now()
        if self.last_step is not None:
            then, before = self.last_step
            if self.idle and step > before:
                # The steps began at an unknown time since the last iteration.
                self.idle, self.last_step = False, (now, step)
                return
            interval_ms = STEP_RATE_INTERVAL_MS
            if self.steps_per_s <= 0 and step - before >= FIRST_RATE_STEPS:
                interval_ms = FIRST_RATE_INTERVAL_MS
            if now - then < interval_ms:
                return
            if step >= before:
                self.steps_per_s = (step - before) * 1000 / (now - then)
                self.idle = step == before
        self.last_step = now, step


@defer.inlineCallbacks
def run_iteration(leader):
    """Run one iteration; a Deferred of the delay until the next, in ms."""
    own = yield leader.group_client.handler.engine.state()
    notify_group_state(leader, own)
    if own.rank > switch.STANDBY:
        leader.reset()
        return OTHER_INTERVAL_MS
    if not own.open:
        leader.reset()
        return BROKEN_INTERVAL_MS
    if not leader.following:
        leader.following = True
        leader.view.follow(leader.clock.reactor)
    if own.rank != switch.LEADER:
        yield take_over(leader, own)
        return STANDBY_INTERVAL_MS
    yield leader_iteration(leader, own)
    return IDLE_INTERVAL_MS if leader.idle else LEADER_INTERVAL_MS


def notify_group_state(leader, own):
    """Notify the listeners at once when the group broke or opened."""
    group_state = own.epoch, own.open
    if group_state != leader.group_state:
        leader.group_state = group_state
        log.info("group", group=own.group, epoch=own.epoch, open=bool(own.open))
        for listener in leader.on_group_state:
            listener(own)


@defer.inlineCallbacks
def leader_iteration(leader, own):
    """Run the leader's iteration; *own* is its rank's state."""
    if own.epoch != leader.epoch:
        leader.reset()
        leader.group_client.reset()
        leader.epoch = own.epoch
        leader.window.resume(leader.clock.now())
    leader.update_step_rate(own.step)
    query = aggregation.Question(
        counts=True, experts=leader.mapping is None, leading=True
    )
    answers = yield leader.group_client.read(own.group, own.rank, query)
    states = {number: answer.state for number, answer in answers.items()}
    if len(states) < own.size or any(s.epoch != own.epoch for s in states.values()):
        leader.counters.incr("turn.incomplete")
        return
    group = leader.group_client.group(own.size, own.rank)
    if states[group.holder].held:
        yield switch.resolve(group, states, own.epoch)
        leader.mapping = None
        return
    if not update_mapping(leader, states):
        return
    yield replan(leader, group, states)


@defer.inlineCallbacks
def take_over(leader, own):
    """Lift a hold left behind by a leader that no longer queries any rank.

    Otherwise the group stalls until the leader's machine is back. A working leader
    queries every rank several times a second, also while it switches.
    """
    poll_query = aggregation.Question()
    if own.epoch != leader.epoch:
        # The ranks' agents must be known before the leader becomes unreachable.
        leader.reset()
        leader.epoch = own.epoch
        leader.group_client.reset()
    if len(leader.group_client.member_by_rank) < own.size:
        yield leader.group_client.read(own.group, own.rank, poll_query)
        return
    handler = leader.group_client.handler
    since_query_ms = 0
    if handler.last_query_ms is not None:
        since_query_ms = leader.clock.now() - handler.last_query_ms
    if since_query_ms < LEADER_TIMEOUT_MS or not own.held:
        return
    leader.counters.incr("deputised")
    handler.fenced = True
    try:
        answers = yield leader.group_client.read(own.group, own.rank, poll_query)
        states = {number: answer.state for number, answer in answers.items()}
        group = leader.group_client.group(own.size, own.rank)
        yield switch.resolve(group, states, own.epoch)
    finally:
        handler.fenced = False


def update_mapping(leader, states):
    """Set the map in force from the ranks' lists; return whether it is known."""
    versions = {s.map_version for s in states.values()}
    if len(versions) != 1:
        leader.counters.incr("turn.maps_differ")
        leader.mapping = None
        return False
    version = versions.pop()
    if leader.mapping is not None and leader.map_version == version:
        return True
    leader.map_version = version
    if not version and leader.shape is not None:
        shape = leader.shape
        leader.mapping = placement.round_robin(shape.sets, shape.experts, len(states))
        return True
    if any(not s.experts for s in states.values()):
        leader.mapping = None
        return False
    sets = len(states[0].experts)
    leader.mapping = [
        [list(states[r].experts[i]) for r in sorted(states)] for i in range(sets)
    ]
    return True


@defer.inlineCallbacks
def replan(leader, group, states):
    """Plan a map, and switch to it if it saves enough."""
    shape = leader.shape
    if shape is None or any(s.armed for s in states.values()):
        return
    if leader.steps_per_s <= 0:
        # What a map saves, and whether it is urgent, follows from the step duration.
        return
    counts = leader.window.by_set(shape.sets)
    if sum(counts[0]) < MIN_CHOICES:
        return
    even = placement.even_load(counts, group.size)
    before = placement.step_load(leader.mapping, counts)
    urgent = leader.urgency.is_urgent(leader.step_ms, before / even)
    proposed = placement.improve(
        leader.mapping, counts, benefit.rank_capacity(shape, urgent)
    )
    after = placement.step_load(proposed, counts)
    moved = placement.moved(leader.mapping, proposed)
    minimum_ms = benefit.min_saved_ms(shape, moved, group.size)
    if benefit.saved_ms(leader.step_ms, before, after) < minimum_ms:
        return
    highest = max(max(s.map_version, s.prepared, s.armed) for s in states.values())
    version = max(highest, leader.last_version) + leader.rng.randint(1, MAX_VERSION_GAP)
    leader.last_version = version
    copy_ms = round(placement.max_new_experts(leader.mapping, proposed) * shape.copy_ms)
    plan = switch.Plan(version, proposed, leader.epoch, copy_ms, urgent)
    start_ms = leader.clock.now()
    try:
        yield switch.run(group, plan, leader.steps_per_s)
    except switch.SwitchError as exc:
        leader.counters.refused("map_switch")
        log.warning("switch_given_up", version=version, reason=str(exc))
        leader.mapping = None
        return
    leader.mapping, leader.map_version = proposed, version
    took_ms = leader.clock.now() - start_ms
    leader.counters.observe_ms("switch", took_ms)
    leader.counters.incr("rebalanced")
    leader.counters.incr("experts_moved", moved)
    log.info(
        "expert_map",
        version=version,
        moved=moved,
        choices=round(sum(counts[0])),
        pass_ms=round(leader.step_ms),
        before=round(before / even, 2),
        after=round(after / even, 2),
        took_ms=took_ms,
        hurry=urgent,
    )


def run(reactor, leader):
    """Run the control loop until the reactor stops."""
    leader.view.wait_ms = FOLLOW_WAIT_MS
    leader.view.min_body_interval_ms = MIN_BODY_INTERVAL_MS

    def failed(failure):
        leader.counters.retried("turn_failed")
        if not failure.check(engine.RankError, switch.SwitchError):
            log.error("turn_failed", error=failure.getTraceback())
        return IDLE_INTERVAL_MS

    def schedule(delay_ms):
        leader.clock.call_later(delay_ms, iterate)

    def iterate():
        run_iteration(leader).addErrback(failed).addCallback(schedule)

    schedule(IDLE_INTERVAL_MS)
