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
    benefit,
    engine,
    gather,
    placement,
    reach,
    switch,
    window,
)
from dunlinpoint.follow import view

log = logs.logger("experts")

# Delay between iterations: of the leader while its group makes steps and while it makes
# none, of its standby, and of the other ranks, which only check whether they have
# become one of the two. Demand shifts to other experts within one step, and makes every
# step longer until the next map is in force.
LEAD_TURN_MS = 50
IDLE_TURN_MS = 400
DEPUTY_TURN_MS = 150
OTHER_TURN_MS = 2000
# Delay of the leader and its standby while the group is broken. Polled every 2 s, a
# group that had reopened kept its first map for up to 2 s, with most streams past
# their latency target.
BROKEN_TURN_MS = 150
# How long the leader may be silent before its standby takes over. A leader queries
# every 50 ms, and every 400 ms or sooner while it switches and commands get lost. With
# 350 ms a slow leader was declared dead, and armed ranks while its standby took over.
PATIENCE_MS = 600
FOLLOW_WAIT_MS = 3000
# A leader needs only its engines' shape and the promised inter-event gap from a
# document. They hardly ever change, and a new document is in force within seconds all
# the same.
BODY_PAUSE_MS = 2000
# Upper limit of the estimated step duration, because an idle group makes no steps.
PASS_LIMIT_MS = 200
# Minimum interval over which steps are counted: one iteration covers one or two.
PACE_MS = 400
# Minimum number of choices of a set that a map is planned by.
LEAST_COUNT = 2000
# Largest random gap between map versions. It prevents a command of an earlier leader
# that is executed late from naming a version that this leader gives to another map.
VERSION_GAP = 1000


@attrs.define
class Leader:
    """State that the agent of rank 0 keeps between iterations."""

    reach: reach.Reach
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
    passes_per_s: float = 0.0
    idle: bool = False
    following: bool = False
    standing: tuple | None = None
    on_group_state: list = attrs.field(factory=list)

    @classmethod
    def from_config(cls, reactor, handler, lead_view, counters, service):
        """A leader for the group of *handler*'s engine, in *service*."""
        ms_clock = clock.Clock(reactor)
        ranks = reach.Reach(handler, lead_view, ms_clock, counters)
        lead = cls(ranks, lead_view, ms_clock, counters, service)
        ranks.on_counts = lead.take_counts
        lead_view.on_document.append(lead.take)
        return lead

    def take(self, document):
        """Take the shape of the experts and the promised gap from a newer document."""
        text = packed.unpack(document.body)
        self.shape, self.urgency.allowed_ms = config.parse_for_ranks(text, self.service)

    def take_counts(self, now, counts):
        """Add one reading of how often experts were chosen, at *now* (ms)."""
        self.window.add(now, counts, self.shape.sets if self.shape is not None else 1)

    @property
    def pass_ms(self):
        """Estimated duration of a step, in ms."""
        if self.passes_per_s <= 0:
            return PASS_LIMIT_MS
        return min(PASS_LIMIT_MS, clock.MS_PER_SECOND / self.passes_per_s)

    def forget(self):
        """Reset what is known of the group: it broke, or another agent leads it."""
        self.epoch = self.mapping = self.map_version = self.last_step = None
        self.passes_per_s = 0.0
        self.idle = False

    def measure_pace(self, step):
        """Update the steps per second from the number *step* and an earlier one."""
        now = self.clock.now()
        if self.last_step is not None:
            then, before = self.last_step
            if now - then < PACE_MS:
                return
            if step >= before:
                self.passes_per_s = (step - before) * 1000 / (now - then)
                self.idle = step == before
        self.last_step = now, step


@defer.inlineCallbacks
def turn(lead):
    """Run one iteration; a Deferred of the delay until the next, in ms."""
    own = yield lead.reach.handler.engine.state()
    tell_standing(lead, own)
    if own.rank > switch.DEPUTY:
        lead.forget()
        return OTHER_TURN_MS
    if not own.open:
        lead.forget()
        return BROKEN_TURN_MS
    if not lead.following:
        lead.following = True
        lead.view.follow(lead.clock.reactor)
    if own.rank != switch.LEAD:
        yield deputise(lead, own)
        return DEPUTY_TURN_MS
    yield lead_turn(lead, own)
    return IDLE_TURN_MS if lead.idle else LEAD_TURN_MS


def tell_standing(lead, own):
    """Notify the listeners at once when the group broke or opened."""
    standing = own.epoch, own.open
    if standing != lead.standing:
        lead.standing = standing
        log.info("group", group=own.group, epoch=own.epoch, open=bool(own.open))
        for hear in lead.on_group_state:
            hear(own)


@defer.inlineCallbacks
def lead_turn(lead, own):
    """Run the leader's iteration; *own* is its rank's state."""
    if own.epoch != lead.epoch:
        lead.forget()
        lead.reach.forget()
        lead.epoch = own.epoch
        lead.window.resume(lead.clock.now())
    lead.measure_pace(own.step)
    asked = gather.Question(counts=True, experts=lead.mapping is None, leading=True)
    answers = yield lead.reach.read(own.group, own.rank, asked)
    states = {number: answer.state for number, answer in answers.items()}
    if len(states) < own.size or any(s.epoch != own.epoch for s in states.values()):
        lead.counters.incr("turn.incomplete")
        return
    group = lead.reach.group(own.size, own.rank)
    if states[group.holder].held:
        yield switch.resolve(group, states, own.epoch)
        lead.mapping = None
        return
    if not learn_mapping(lead, states):
        return
    yield consider(lead, group, states)


@defer.inlineCallbacks
def deputise(lead, own):
    """Lift a hold left behind by a leader that no longer queries any rank.

    Otherwise the group stalls until the leader's machine is back. A working leader
    queries every rank several times a second, also while it switches.
    """
    looks = gather.Question()
    if own.epoch != lead.epoch:
        # The ranks' agents must be known before the leader becomes unreachable.
        lead.forget()
        lead.epoch = own.epoch
        lead.reach.forget()
    if len(lead.reach.member_by_rank) < own.size:
        yield lead.reach.read(own.group, own.rank, looks)
        return
    handler = lead.reach.handler
    silent_ms = 0
    if handler.read_ms is not None:
        silent_ms = lead.clock.now() - handler.read_ms
    if silent_ms < PATIENCE_MS or not own.held:
        return
    lead.counters.incr("deputised")
    handler.fenced = True
    try:
        answers = yield lead.reach.read(own.group, own.rank, looks)
        states = {number: answer.state for number, answer in answers.items()}
        group = lead.reach.group(own.size, own.rank)
        yield switch.resolve(group, states, own.epoch)
    finally:
        handler.fenced = False


def learn_mapping(lead, states):
    """Set the map in force from the ranks' lists; whether it is known."""
    versions = {s.map_version for s in states.values()}
    if len(versions) != 1:
        lead.counters.incr("turn.maps_differ")
        lead.mapping = None
        return False
    version = versions.pop()
    if lead.mapping is not None and lead.map_version == version:
        return True
    lead.map_version = version
    if not version and lead.shape is not None:
        shape = lead.shape
        lead.mapping = placement.round_robin(shape.sets, shape.experts, len(states))
        return True
    if any(not s.experts for s in states.values()):
        lead.mapping = None
        return False
    sets = len(states[0].experts)
    lead.mapping = [
        [list(states[r].experts[i]) for r in sorted(states)] for i in range(sets)
    ]
    return True


@defer.inlineCallbacks
def consider(lead, group, states):
    """Plan a map, and switch to it if it saves enough."""
    shape = lead.shape
    if shape is None or any(s.armed for s in states.values()):
        return
    counts = lead.window.by_set(shape.sets)
    if sum(counts[0]) < LEAST_COUNT:
        return
    even = placement.even_load(counts, group.size)
    before = placement.step_load(lead.mapping, counts)
    hurry = lead.urgency.is_due(lead.pass_ms, before / even)
    proposed = placement.improve(lead.mapping, counts, benefit.room_of(shape, hurry))
    after = placement.step_load(proposed, counts)
    moved = placement.moved(lead.mapping, proposed)
    least = benefit.min_saved_ms(shape, moved, group.size)
    if benefit.saved_ms(lead.pass_ms, before, after) < least:
        return
    highest = max(max(s.map_version, s.prepared, s.armed) for s in states.values())
    version = max(highest, lead.last_version) + lead.rng.randint(1, VERSION_GAP)
    lead.last_version = version
    copy_ms = round(placement.largest_part(lead.mapping, proposed) * shape.copy_ms)
    plan = switch.Plan(version, proposed, lead.epoch, copy_ms, hurry)
    began_ms = lead.clock.now()
    try:
        yield switch.run(group, plan, lead.passes_per_s)
    except switch.SwitchError as exc:
        lead.counters.refused("map_switch")
        log.warning("switch_given_up", version=version, reason=str(exc))
        lead.mapping = None
        return
    lead.mapping, lead.map_version = proposed, version
    took_ms = lead.clock.now() - began_ms
    lead.counters.observe_ms("switch", took_ms)
    lead.counters.incr("rebalanced")
    lead.counters.incr("experts_moved", moved)
    log.info(
        "expert_map",
        version=version,
        moved=moved,
        choices=round(sum(counts[0])),
        pass_ms=round(lead.pass_ms),
        before=round(before / even, 2),
        after=round(after / even, 2),
        took_ms=took_ms,
        hurry=hurry,
    )


def run(reactor, lead):
    """Run the control loop until the reactor stops."""
    lead.view.wait_ms = FOLLOW_WAIT_MS
    lead.view.min_body_interval_ms = BODY_PAUSE_MS

    def failed(failure):
        lead.counters.retried("turn_failed")
        if not failure.check(engine.RankError, switch.SwitchError):
            log.error("turn_failed", error=failure.getTraceback())
        return IDLE_TURN_MS

    def again(pause_ms):
        lead.clock.call_later(pause_ms, take_turn)

    def take_turn():
        turn(lead).addErrback(failed).addCallback(again)

    again(IDLE_TURN_MS)
