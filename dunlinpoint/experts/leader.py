"""The control loop at rank 0, which reads every rank, plans a map and switches to it.

A leader can die or freeze, also while it holds the group. The agent of rank 1 is its
standby: once the leader's process is known dead, or has been silent for some time, the
standby refuses the leader's queries, finishes the change of map in progress, and leads
in its place (:mod:`standby`). The agent of rank 2 lifts a hold that an acting leader
left. A leader that is back reads the group only after rank 1's agent has answered it
without a refusal.

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
    load,
    placement,
    standby,
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
OTHER_INTERVAL_MS = 2000
# Delay of the leader and its standby while the group is broken. Polled every 2 s, a
# group that had reopened kept its first map for up to 2 s, with most streams past
# their latency target.
BROKEN_INTERVAL_MS = 150
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
# Largest random gap between map versions, in strides. It prevents a command of an
# earlier leader that is executed late from naming a version that this leader gives to
# another map.
MAX_VERSION_GAP = 1000


@attrs.define
class Leader:
    """State that an agent keeps between iterations.

    With *acting*, the agent of rank 1 leads in place of the leader's; it never does
    without *may_act*, and then only lifts holds. *settled* tells that this agent's last
    change of map succeeded, since when no other agent can have sent commands.
    ``held_since_ms`` is since when rank 2 has been held by nobody.
    """

    group_client: group_client.GroupClient
    view: view.View
    clock: clock.Clock
    counters: metrics.Counters
    service: str
    shape: config.Experts | None = None
    urgency: benefit.Urgency = attrs.field(factory=benefit.Urgency)
    window: window.Window = attrs.field(factory=window.Window)
    load_log: load.LoadLog = attrs.field(factory=load.LoadLog)
    rng: random.Random = attrs.field(factory=random.Random)
    epoch: int | None = None
    mapping: list | None = None
    map_version: int | None = None
    last_version: int = 0
    last_step: tuple | None = None
    steps_per_s: float = 0.0
    idle: bool = False
    following: bool = False
    may_act: bool = True
    acting: bool = False
    settled: bool = False
    held_since_ms: int | None = None
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

    def set_leads(self, own, leads):
        """Set whether this agent leads its group, and log a change."""
        handler = self.group_client.handler
        if leads != handler.leads:
            handler.leads = leads
            log.info("leads", group=own.group, rank=own.rank, on=leads)

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
    if own.rank > switch.WITNESS:
        leader.reset()
        return OTHER_INTERVAL_MS
    if not own.open:
        standby.stop_acting(leader, "broken")
        leader.reset()
        return BROKEN_INTERVAL_MS
    if not leader.following:
        leader.following = True
        leader.view.follow(leader.clock.reactor)
    if own.rank == switch.WITNESS:
        yield standby.lift_abandoned_hold(leader, own)
        return standby.INTERVAL_MS
    if own.rank == switch.STANDBY:
        if not (yield standby.is_acting(leader, own)):
            return standby.INTERVAL_MS
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
    """Run the iteration of the leader or acting leader; *own* is its rank's state."""
    if own.epoch != leader.epoch:
        leader.reset()
        leader.group_client.reset()
        leader.epoch = own.epoch
        leader.window.resume(leader.clock.now())
    leader.update_step_rate(own.step)
    if not (yield may_lead(leader, own)):
        return
    query = aggregation.Question(
        counts=True, experts=leader.mapping is None, leading=True
    )
    asked_ms = leader.clock.now()
    answers = yield leader.group_client.read(own.group, own.rank, query)
    states = {number: answer.state for number, answer in answers.items()}
    group = leader.group_client.group(own.size, own.rank, leading=True)
    if switch.is_stale(group, asked_ms):
        leader.counters.incr("turn.stale")
        return
    if len(states) < own.size or any(s.epoch != own.epoch for s in states.values()):
        leader.counters.incr("turn.incomplete")
        return
    group_load = load.GroupLoad.from_states(states.values())
    leader.load_log.update(own.group, group_load, leader.step_ms, leader.clock.now())
    if leader.settled:
        group.min_ahead_steps = switch.URGENT_MIN_AHEAD_STEPS
    is_known = update_mapping(leader, states)
    if any(state.held for state in states.values()):
        yield resolve(leader, group, states)
        return
    if is_known:
        yield replan(leader, group, states)


@defer.inlineCallbacks
def may_lead(leader, own):
    """Whether no other agent leads, by a recent answer of the guard.

    The guard is rank 1's agent for the leader, and rank 2's for the acting leader.
    """
    client = leader.group_client
    if own.size > 1 and not is_guard_seen(leader):
        leader.settled = False
        if client.guard not in client.member_by_rank:
            # Not a leader's query, which would take the counts.
            yield client.read(own.group, own.rank, aggregation.Question())
        answers = {}
        if client.guard in client.member_by_rank:
            query = aggregation.Question(leading=True)
            timeout_ms = group_client.SWITCH_TIMEOUT_MS
            asked = client.ask([client.guard], own.rank, query, timeout_ms)
            answers = yield asked.addErrback(wait_for_acting_leader, leader)
        if client.guard not in answers:
            leader.set_leads(own, False)
            return False
    leader.set_leads(own, True)
    return True


def is_guard_seen(leader):
    """Whether the guard answered a query that was sent recently."""
    seen_ms = leader.group_client.guard_seen_ms
    if seen_ms is None:
        return False
    return leader.clock.now() - seen_ms <= switch.MAX_HOLDER_AGE_MS


def wait_for_acting_leader(failure, leader):
    """Handle the guard's refusal: no rank answered this leader."""
    failure.trap(switch.Fenced)
    leader.counters.incr("turn.fenced")
    leader.mapping = None
    return {}


@defer.inlineCallbacks
def resolve(leader, group, states):
    """Finish what a planner left held.

    Ranks prepare the map in force in place of one that this agent does not know.
    """
    known, in_force = group.mapping_of, leader.mapping
    group.mapping_of = lambda version: known(version) or in_force
    leader.settled, leader.mapping = False, None
    yield switch.resolve(group, states, leader.epoch)


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
    version = next_version(leader, states, group.planner)
    copy_ms = round(placement.max_new_experts(leader.mapping, proposed) * shape.copy_ms)
    plan = switch.Plan(version, proposed, leader.epoch, copy_ms, urgent)
    start_ms = leader.clock.now()
    try:
        yield switch.run(group, plan, leader.steps_per_s)
    except switch.SwitchError as exc:
        leader.counters.refused("map_switch")
        log.warning("switch_given_up", version=version, reason=str(exc))
        leader.mapping, leader.settled = None, False
        return
    leader.settled = True
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


def next_version(leader, states, planner):
    """Return a version above all in *states*, which only rank *planner* may plan.

    Versions between two multiples of the stride are those of maps that replace a
    withdrawn one.
    """
    highest = max(max(s.map_version, s.prepared, s.armed) for s in states.values())
    strides = max(highest, leader.last_version) // switch.VERSION_STRIDE
    strides += leader.rng.randint(1, MAX_VERSION_GAP)
    leader.last_version = strides * switch.VERSION_STRIDE
    leader.last_version += switch.VERSION_OFFSET_BY_PLANNER[planner]
    return leader.last_version


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
