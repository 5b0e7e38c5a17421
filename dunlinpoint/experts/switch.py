"""The change of map: every rank at one step, or none.

Ranks do not compare maps: if one switches at a step and another does not,
the step mixes two maps and every answer of it is wrong. Orders can be lost,
answered late, or carried out seconds after they were given. The order of
things below makes each of those harmless:

1. *Prepare* the new map at every rank and wait until each holds it.
2. *Hold* the group before a step some way ahead, at the deputy's rank, and
   see in its report that the hold is there. From now on that step does not
   begin by itself.
3. *Arm* every rank but the lead's for that step, again until each one's
   report shows it; then the lead's own.
4. *Go*, which lets the step begin with all ranks armed.

Where a rank refuses to be armed, all are disarmed, and hold another map in place of
the one that was to come (:func:`withdraw`). An order to arm that is still on its way,
for seconds even, then names a map that is not prepared, and is refused. Only then is
the hold lifted.

A lead can freeze or die anywhere in between, and its rank's report may be
out of reach with it. That is why the hold stands at another rank, whose
agent is the deputy, and why the lead's own rank is armed last: as long as
any other rank is not armed, the lead's is not either. The deputy first
stops answering the lead, which then cannot see all armed any more, and only
then looks (:func:`resolve`). Only where all others are armed, a matter of
milliseconds, must it wait for the lead's rank to be in reach.

Orders to prepare, arm and disarm may travel by way of other ranks' agents, which can
freeze with them and pass them on seconds later (:mod:`gather`); for the reason just
given that is harmless. The holder alone is asked by nobody else, as its silence tells
the lead to stop, and the hold is put and lifted at its engine.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs
from dunlinpoint.experts import dispatcher, orders

log = logs.logger("experts")

# How far ahead of the group's step the switch is set, in ms of passes: while
# ranks answer, and while orders go unanswered. A step reached before every
# rank is armed stands still, and with it every answer of the group; a step far
# ahead leaves the group with the old map for as long. Holding and arming takes
# 50 to 100 ms where all answer, and 150 ms more where one does not in time.
AHEAD_MS = 300
AHEAD_UNANSWERED_MS = 1500
LEAST_AHEAD = 3
# The same for a change in a hurry: while passes are so long that streams are late by
# them, waiting for the switch costs more than a short stand at the hold would. It goes
# by how long ranks lately took to be armed, this many times the longest, and by the
# figures above until some changes have shown that. It is set to the next pass where
# that is shorter than one: with passes of 150 to 190 ms until the map is in force, a
# pass more costs more than a short stand at the hold now and then.
HURRY_TIMES = 2.0
HURRY_LEAST_MS = 100
HURRY_LEAST_AHEAD = 1
ARMINGS = 6
POLL_MS = 30
COPY_TIMEOUT_MS = 4000
HOLD_TRIES = 3
# How long ranks are waited for that are to hold another map in place of one that is
# withdrawn. Copies take 0.2 s at most; an engine that takes no such order must not hold
# the group for good.
WITHDRAW_MS = 1000
# How long ago the holder may have been seen when ranks are armed: well below the
# time after which a deputy takes a silent lead for dead (600 ms), less that of an
# order on its way.
SEEN_MS = 400
LEAD = 0
DEPUTY = 1


class SwitchError(Exception):
    """A change of map was given up; the map in force stays."""


class EpochEnded(SwitchError):
    """The group broke: whatever was prepared, armed or held is gone."""


@attrs.define
class Plan:
    """One change of map: its *version*, *mapping* and the group's *epoch*.

    *copy_ms* is how long ranks are expected to copy for it, and *hurry* whether it
    is wanted at once.
    """

    version: int
    mapping: list
    epoch: int
    copy_ms: int = 0
    hurry: bool = False


@attrs.define
class Arming:
    """How long it lately took from holding a group to all ranks being armed."""

    took_ms: list = attrs.field(factory=list)

    def took(self, ms):
        """One more change of map came to that."""
        self.took_ms.append(ms)
        del self.took_ms[:-ARMINGS]

    def hurry_ms(self):
        """How far ahead a change in a hurry is set, as a careful one if nothing tells.

        Never farther than a careful one: a lead that froze while it armed ranks took
        seconds for it, and set its next changes of map as many seconds ahead.
        """
        if len(self.took_ms) < ARMINGS:
            return AHEAD_MS
        wanted_ms = max(HURRY_LEAST_MS, HURRY_TIMES * max(self.took_ms))
        return min(AHEAD_MS, wanted_ms)


@attrs.define
class Group:
    """The ranks as the lead reaches them.

    ``ask(ranks, dict)`` has the agents of *ranks* give an order, or none, to their
    engines and gives a Deferred of ``RankAnswer`` by rank of those that answered, as
    they stood after it; ``order(rank, dict)`` gives one to an engine directly, a
    Deferred of its status or 0; ``sleep(ms)`` gives one that fires later.
    ``mapping_of(version)`` is the map that was to come, ``None`` if it is not known;
    ``orders_get_lost()`` tells whether orders went unanswered lately, ``now()`` the
    time in ms, and ``seen_ms`` is when the holder was last asked and answered.
    """

    size: int
    ask: object
    order: object
    sleep: object
    orders_get_lost: object = lambda: False
    now: object = lambda: 0
    mapping_of: object = lambda version: None
    seen_ms: int | None = None
    arming: Arming = attrs.field(factory=Arming)

    @property
    def holder(self):
        """The rank at which the group is held: the deputy's."""
        return min(DEPUTY, self.size - 1)

    @property
    def ranks(self):
        """All ranks."""
        return list(range(self.size))

    @property
    def others(self):
        """Every rank but the lead's."""
        return [rank for rank in range(self.size) if rank != LEAD]

    @defer.inlineCallbacks
    def see(self, ranks=(), order=None):
        """Answers of *ranks*, given *order*, and of the holder in any case.

        Notes when the holder was asked, if it answered.
        """
        asked_ms = self.now()
        asked = sorted({*ranks, self.holder})
        answers = yield self.ask(asked, order)
        if self.holder in answers:
            self.seen_ms = asked_ms
        return answers

    def check_seen(self):
        """Raise ``SwitchError`` unless the holder answered a moment ago.

        A lead that froze, or waited long for another rank, may have been taken for
        dead. What it arms then meets a deputy that has seen no rank armed and is
        about to lift the hold: the step begins with some ranks armed, and mixes
        two maps.
        """
        if self.seen_ms is None or self.now() - self.seen_ms > SEEN_MS:
            raise SwitchError("the holder was not seen lately")


def states_of(answers, epoch):
    """States by rank of *answers*; raises ``EpochEnded`` when one is past *epoch*."""
    states = {rank: answer.state for rank, answer in answers.items()}
    if any(s.epoch != epoch or not s.open for s in states.values()):
        raise EpochEnded("the group broke")
    return states


@defer.inlineCallbacks
def prepare(group, plan):
    """Have every rank hold the new map; raises ``SwitchError``.

    An order left unanswered may be carried out late or never. Given again, it is
    refused if it was carried out in the meantime, which harms nothing.
    """
    order = {
        "operation": orders.PREPARE,
        "version": plan.version,
        "epoch": plan.epoch,
        "mapping": plan.mapping,
    }
    began_ms, waited, pause_ms = group.now(), 0, plan.copy_ms
    while True:
        answers = yield group.ask(group.ranks, order)
        states = states_of(answers, plan.epoch)
        late = [
            r
            for r in group.ranks
            if r not in states or states[r].prepared != plan.version
        ]
        if not late:
            return states
        statuses = {r: answers[r].status for r in late if r in answers}
        refused = [r for r, s in statuses.items() if s and s not in dispatcher.OK]
        if refused:
            raise SwitchError(f"prepare refused at ranks {refused}")
        if max(waited, group.now() - began_ms) >= COPY_TIMEOUT_MS:
            raise SwitchError(f"ranks {late} did not hold the map in time")
        yield group.sleep(pause_ms)
        waited += pause_ms
        pause_ms = POLL_MS


@defer.inlineCallbacks
def hold(group, plan, step, passes):
    """Hold the group *passes* ahead of *step*; the step that does not begin.

    Raises ``SwitchError``. A group that has come to the step in the meantime is held
    so many passes later: an order that is late for one step is refused.
    """
    holder, held = group.holder, step + passes
    for _ in range(HOLD_TRIES):
        order = {"operation": orders.HOLD, "step": held, "epoch": plan.epoch}
        yield group.order(holder, order)
        states = states_of((yield group.see()), plan.epoch)
        if holder in states and states[holder].held == held:
            return held
        if holder in states and states[holder].step >= held:
            held = states[holder].step + passes
    # The order may still be carried out; the lead's loop lifts a hold that
    # belongs to no switch.
    raise SwitchError("the group could not be held")


@defer.inlineCallbacks
def arm(group, ranks, version, step, epoch):
    """Arm *ranks* for *step*; ``True`` once all are, ``False`` if one won't."""
    order = {"operation": orders.ARM, "version": version, "step": step, "epoch": epoch}
    pending = set(ranks)
    while pending:
        group.check_seen()
        answers = yield group.see(pending, order)
        states = states_of(answers, epoch)
        if group.holder not in states:
            # The deputy may lift the hold at any moment. Whatever is armed is
            # its to disarm, or the lead's next turn's once it sees it again.
            raise SwitchError("the holder is out of reach")
        if states[group.holder].held != step:
            # A deputy took the lead for dead and lifted the hold.
            raise SwitchError("the hold was lifted")
        pending = {r for r in pending if r not in states or states[r].armed != version}
        if any(answers[r].status == dispatcher.REFUSED for r in pending if r in states):
            return False
        if pending:
            yield group.sleep(POLL_MS)
    return True


@defer.inlineCallbacks
def withdraw(group, ranks, states, step, epoch):
    """Disarm *ranks* for good, and lift the hold once the group stands at it.

    A rank that was disarmed is armed again by an order that is carried out late. Seen
    unarmed, it could still change its map alone while the order to go on is given and
    given again. So each rank is to hold a newer map as well, with which it refuses
    to be armed for the one before; the same experts, so that it has nothing to copy.
    """
    versions = versions_of(states)
    newest = versions[-1] if versions else 0
    mapping = group.mapping_of(newest) if newest else None
    instead = {
        "operation": orders.PREPARE,
        "version": newest + 1,
        "epoch": epoch,
        "mapping": mapping,
    }
    began_ms, waited = group.now(), 0
    while True:
        for version in versions:
            order = {"operation": orders.DISARM, "version": version, "epoch": epoch}
            answers = yield group.see(ranks, order)
        answers = yield group.see(ranks, instead if mapping is not None else None)
        states = states_of(answers, epoch)
        holder = states.get(group.holder)
        if holder is not None and holder.held != step:
            return
        late = [r for r in ranks if r not in states or states[r].armed]
        waited = max(waited, group.now() - began_ms)
        if mapping is not None and waited < WITHDRAW_MS:
            late += [r for r in ranks if r in states and states[r].prepared <= newest]
        if holder is not None and holder.step >= step - 1 and not late:
            break
        yield group.sleep(POLL_MS)
        waited += POLL_MS
    yield go(group, step, epoch)


@defer.inlineCallbacks
def go(group, step, epoch):
    """Lift the hold before *step*, and see that it is gone."""
    order = {"operation": orders.GO, "step": step, "epoch": epoch}
    while True:
        yield group.order(group.holder, order)
        states = states_of((yield group.see()), epoch)
        holder = states.get(group.holder)
        if holder is not None and holder.held != step:
            return
        yield group.sleep(POLL_MS)


def ahead(group, plan, passes_per_s):
    """How many passes ahead the switch is set, enough to arm every rank."""
    passes_per_ms = passes_per_s / clock.MS_PER_SECOND
    if group.orders_get_lost():
        return max(LEAST_AHEAD, int(passes_per_ms * AHEAD_UNANSWERED_MS))
    if plan.hurry:
        hurry_ms = group.arming.hurry_ms()
        return max(HURRY_LEAST_AHEAD, int(passes_per_ms * hurry_ms))
    return max(LEAST_AHEAD, int(passes_per_ms * AHEAD_MS))


@defer.inlineCallbacks
def run(group, plan, passes_per_s):
    """Carry out *plan*; raises ``SwitchError`` with the old map in force."""
    states = yield prepare(group, plan)
    newest = max(state.step for state in states.values())
    passes = ahead(group, plan, passes_per_s)
    version, epoch = plan.version, plan.epoch
    began_ms, armed = group.now(), False
    try:
        step = yield hold(group, plan, newest, passes)
        armed = yield arm(group, group.others, version, step, epoch)
        armed = armed and (yield arm(group, [LEAD], version, step, epoch))
    finally:
        # One that was given up was set too little ahead, as far as is known.
        took_ms = group.now() - began_ms
        group.arming.took(took_ms if armed else max(took_ms, AHEAD_MS))
    if armed:
        yield go(group, step, epoch)
        return
    yield withdraw(group, group.ranks, states, step, epoch)
    raise SwitchError("a rank would not be armed")


@defer.inlineCallbacks
def resolve(group, states, epoch):
    """Finish what a lead left held; ``False`` when that can't be done yet.

    *states* must have been read after the lead was kept from seeing more.
    """
    step = states[group.holder].held
    missing = [rank for rank in range(group.size) if rank not in states]
    armed = [rank for rank, state in states.items() if state.armed]
    log.warning("held_by_no_switch", step=step, armed=armed, missing=missing)
    if len(armed) == group.size:
        yield go(group, step, epoch)
        return True
    if missing == [LEAD] and len(armed) == len(states):
        return False
    if missing and missing != [LEAD]:
        return False
    yield withdraw(group, sorted(states), states, step, epoch)
    return True


def versions_of(states):
    """The maps that ranks of *states* may be armed for, now or by an order on its way.

    A map can be armed wherever it is prepared and not in force yet.
    """
    wanted = {v for s in states.values() for v in (s.armed, s.prepared) if v}
    return sorted(wanted - {s.map_version for s in states.values()})
