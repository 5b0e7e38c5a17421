"""The change of map: every rank at one step, or none.

Ranks do not compare maps: if one switches at a step and another does not,
the step mixes two maps and every answer of it is wrong. Orders can be lost,
answered late, or carried out seconds after they were given. The order of
things below makes each of those harmless:

1. *Prepare* the new map at every rank and wait until each holds it.
2. *Hold* the group before a step some way ahead, at the lead's own rank,
   and see in its report that the hold is there. From now on that step does
   not begin by itself.
3. *Arm* every rank for that step, again until each one's report shows it.
4. *Go*, which lets the step begin with all ranks armed.

Where a rank refuses to be armed, all are disarmed. The hold is lifted only
once the group has come to a stop at it and no rank is armed: an arm order
still on its way then meets a step that has begun, and is refused. A lead
that dies in between leaves a held group; the next one finishes from the
reports (:func:`resolve`).
"""

import attrs
from twisted.internet import defer

from dunlinpoint import logs

log = logs.logger("experts")

OK = (200, 202)
# How far ahead of the group's step the switch is set, in ms of passes: while
# ranks answer, and while orders go unanswered. A step reached before every
# rank is armed stands still, and with it every answer of the group.
AHEAD_MS = 350
AHEAD_UNANSWERED_MS = 1500
LEAST_AHEAD = 5
POLL_MS = 60
COPY_TIMEOUT_MS = 4000
HOLD_TRIES = 3


class SwitchError(Exception):
    """A change of map was given up; the map in force stays."""


class EpochEnded(SwitchError):
    """The group broke: whatever was prepared, armed or held is gone."""


@attrs.define
class Plan:
    """One change of map: its *version*, *mapping* and the group's *epoch*."""

    version: int
    mapping: list
    epoch: int


@attrs.define
class Group:
    """The ranks as the lead reaches them.

    ``states()`` gives a Deferred of ``RankState`` by rank, ``None`` where a
    rank did not answer; ``order(rank, dict)`` one of an HTTP status or 0;
    ``pause(ms)`` one that fires later.
    """

    size: int
    states: object
    order: object
    pause: object
    unanswered: int = 0

    @defer.inlineCallbacks
    def order_all(self, order, ranks=None):
        """Statuses by rank of *order* at every one of *ranks*."""
        ranks = list(range(self.size) if ranks is None else ranks)
        statuses = yield defer.gatherResults([self.order(r, order) for r in ranks])
        self.unanswered += statuses.count(0)
        return dict(zip(ranks, statuses, strict=True))


def live(states, epoch):
    """The states of *epoch*; raises ``EpochEnded`` when one is past it."""
    known = {rank: state for rank, state in states.items() if state is not None}
    if any(s.epoch != epoch or not s.open for s in known.values()):
        raise EpochEnded("the group broke")
    return known


@defer.inlineCallbacks
def prepare(group, plan):
    """Have every rank hold the new map; raises ``SwitchError``."""
    order = {
        "operation": "prepare",
        "version": plan.version,
        "epoch": plan.epoch,
        "mapping": plan.mapping,
    }
    statuses = yield group.order_all(order)
    refused = [r for r, status in statuses.items() if status and status not in OK]
    if refused:
        raise SwitchError(f"prepare refused at ranks {refused}")
    # An order left unanswered may be carried out late or never. Given again,
    # it is refused if it was carried out in the meantime, which harms nothing.
    again = [rank for rank, status in statuses.items() if not status]
    waited = 0
    while True:
        if again:
            statuses = yield group.order_all(order, again)
            again = [rank for rank, status in statuses.items() if not status]
        states = live((yield group.states()), plan.epoch)
        late = [
            r
            for r in range(group.size)
            if r not in states or states[r].prepared != plan.version
        ]
        if not late:
            return states
        if waited >= COPY_TIMEOUT_MS:
            raise SwitchError(f"ranks {late} did not hold the map in time")
        yield group.pause(POLL_MS)
        waited += POLL_MS


@defer.inlineCallbacks
def hold(group, plan, step):
    """Hold the group before *step* at rank 0; raises ``SwitchError``."""
    order = {"operation": "retention", "step": step, "epoch": plan.epoch}
    for _ in range(HOLD_TRIES):
        yield group.order(0, order)
        states = live((yield group.states()), plan.epoch)
        if 0 in states and states[0].held == step:
            return
        if 0 in states and states[0].step >= step:
            break
    # The order may still be carried out; the lead's loop lifts a hold that
    # belongs to no switch.
    raise SwitchError("the group could not be held")


@defer.inlineCallbacks
def arm(group, version, step, epoch):
    """Arm every rank for *step*; ``True`` once all are, ``False`` if one won't."""
    order = {"operation": "arm", "version": version, "step": step, "epoch": epoch}
    pending = set(range(group.size))
    while pending:
        by_rank = yield group.order_all(order, sorted(pending))
        states = live((yield group.states()), epoch)
        pending = {r for r in pending if r not in states or states[r].armed != version}
        if any(by_rank[r] == 409 for r in pending if r in states):
            return False
        if pending:
            yield group.pause(POLL_MS)
    return True


@defer.inlineCallbacks
def back_out(group, version, step, epoch):
    """Disarm every rank, and lift the hold once the group stands at it."""
    while True:
        order = {"operation": "disarm", "version": version, "epoch": epoch}
        yield group.order_all(order)
        states = live((yield group.states()), epoch)
        standing = 0 in states and states[0].step >= step - 1
        armed = [r for r in range(group.size) if r not in states or states[r].armed]
        if standing and not armed:
            break
        yield group.pause(POLL_MS)
    yield go(group, step, epoch)


@defer.inlineCallbacks
def go(group, step, epoch):
    """Lift the hold before *step*, and see that it is gone."""
    order = {"operation": "go", "step": step, "epoch": epoch}
    while True:
        yield group.order(0, order)
        states = live((yield group.states()), epoch)
        if 0 in states and states[0].held != step:
            return
        yield group.pause(POLL_MS)


def ahead(step, passes_per_s, unanswered):
    """The step to switch at, far enough from *step* to arm every rank."""
    ahead_ms = AHEAD_UNANSWERED_MS if unanswered else AHEAD_MS
    return step + max(LEAST_AHEAD, int(passes_per_s * ahead_ms / 1000))


@defer.inlineCallbacks
def run(group, plan, passes_per_s):
    """Carry out *plan*; raises ``SwitchError`` with the old map in force."""
    states = yield prepare(group, plan)
    newest = max(state.step for state in states.values())
    step = ahead(newest, passes_per_s, group.unanswered)
    yield hold(group, plan, step)
    if (yield arm(group, plan.version, step, plan.epoch)):
        yield go(group, step, plan.epoch)
        return
    yield back_out(group, plan.version, step, plan.epoch)
    raise SwitchError("a rank would not be armed")


@defer.inlineCallbacks
def resolve(group, states, epoch):
    """Finish what an earlier lead left held at rank 0."""
    step = states[0].held
    armed = {s.armed for s in states.values() if s.armed}
    log.warning("held_by_no_switch", step=step, armed=sorted(armed))
    if not armed:
        yield back_out(group, 0, step, epoch)
        return
    version = max(armed)
    if len(armed) == 1 and (yield arm(group, version, step, epoch)):
        yield go(group, step, epoch)
        return
    for version in sorted(armed):
        yield group.order_all(
            {"operation": "disarm", "version": version, "epoch": epoch}
        )
    yield back_out(group, max(armed), step, epoch)
