"""The change of map: every rank at the same step, or none.

Ranks do not compare maps. If one switches at a step and another does not, the step
mixes two maps and every result of it is wrong. Commands can be lost, answered late, or
executed seconds after they were sent. The following sequence makes each of those
harmless:

1. *Prepare* the new map at every rank and wait until each holds it.
2. *Hold* the group before a step some way ahead, at the rank of another agent, the
   holder, and verify the hold in that rank's report. From then on the step does not
   begin by itself.
3. *Arm* every rank but the planner's own for that step, repeatedly until each one's
   report shows it; then the planner's own.
4. *Go*, which lets the step begin with all ranks armed.

If a rank refuses to be armed, all ranks prepare another map in place of the new one,
and those that are armed are disarmed first (:func:`withdraw`). A command to arm that is
still in transit, even for seconds, then names a map that is not prepared, and is
refused. Only then is the hold lifted. A late command to disarm is harmless only if the
engine ignores it while the rank is armed for another version.

The planner is the leader (rank 0, holder at rank 1) or, while the leader is lost, the
standby as acting leader (rank 1, holder at rank 2). The rank of a hold thus tells whose
it is. A planner can freeze or die at any point, and its rank's report may become
unreachable with it. Therefore the hold is placed at another rank, and the planner's own
rank is armed last: as long as any other rank is not armed, the planner's is not either.
The holder's agent first stops answering the planner (it is fenced), which then can no
longer see all ranks armed, and only then reads the ranks' states (:func:`resolve`).
Only if all others are armed, a state that lasts milliseconds, must it wait until the
planner's rank is reachable.

Each planner begins with a reading of all ranks in which no agent refuses its query, and
abandons its change at the first refusal (:class:`Fenced`). A command to go on that is
executed late must not lift a later hold. It can do so only if that hold is at the same
rank and step, so the first hold of a planner, and the first after an abandoned change,
is two steps ahead.

Commands to prepare, arm and disarm may be forwarded by other ranks' agents, which can
freeze with them and forward them seconds later (:mod:`aggregation`). For the reason
above that is harmless. Only the holder is always asked directly, as its silence tells
the leader to stop, and the hold is placed and lifted directly at its engine.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs
from dunlinpoint.experts import commands, dispatcher

log = logs.logger("experts")

# How far ahead of the group's current step the switch is set, in ms of steps: while
# ranks answer, and while commands go unanswered. A step reached before every rank is
# armed stalls, and with it every stream of the group; a step far ahead leaves the group
# with the old map for as long. Holding and arming takes 50 to 100 ms if all ranks
# answer, and 150 ms more if one does not answer in time.
AHEAD_MS = 300
AHEAD_UNANSWERED_MS = 1500
MIN_AHEAD_STEPS = 3
# The same for an urgent change. While steps are so long that streams miss their latency
# target, waiting for the switch costs more than a short stall at the hold would. The
# distance is this multiple of the longest of the recent arming times, and the one above
# until enough changes have been timed. It is one step where the distance is shorter
# than a step: with steps of 150 to 190 ms until the map is in force, one more step
# costs more than an occasional short stall at the hold.
URGENT_AHEAD_FACTOR = 2.0
URGENT_MIN_AHEAD_MS = 100
URGENT_MIN_AHEAD_STEPS = 1
ARMING_SAMPLES = 6
POLL_INTERVAL_MS = 30
COPY_TIMEOUT_MS = 4000
HOLD_ATTEMPTS = 3
# How long to wait for ranks to prepare another map in place of a withdrawn one. Copies
# take 0.2 s at most; an engine that refuses such a command must not hold the group
# forever.
WITHDRAW_TIMEOUT_MS = 1000
# Maximum age of the holder's last answer when ranks are armed: well below the time
# after which a standby takes over from a silent leader (600 ms), less the transit time
# of a command.
MAX_HOLDER_AGE_MS = 400
# Minimum distance of a planner's first hold. A hold is lifted at the earliest in the
# step before it, so that no command to lift it names a step this far ahead.
FIRST_AHEAD_STEPS = 2
# Versions of planned maps are multiples of the stride, plus the planner's offset.
VERSION_STRIDE = 16
VERSION_OFFSET_BY_PLANNER = {0: 0, 1: 8}
# Maximum duration of a reading by which a change of map is begun or finished. Another
# agent takes over only after a longer silence.
MAX_READING_MS = 600
LEADER = 0
STANDBY = 1
# The rank whose agent is the holder for the standby as acting leader.
WITNESS = 2
# An acting leader needs a holder at a third rank.
MIN_ACTING_SIZE = 3


class SwitchError(Exception):
    """A change of map was abandoned; the map in force stays."""


class Fenced(SwitchError):
    """An agent refused the query: another one has taken over from this planner."""


class EpochEnded(SwitchError):
    """The group broke, so that nothing is prepared, armed or held any more."""


@attrs.define
class Plan:
    """One change of map: its *version*, *mapping* and the group's *epoch*.

    *copy_ms* is how long ranks are expected to copy experts for it. *urgent* makes it
    as soon as possible.
    """

    version: int
    mapping: list
    epoch: int
    copy_ms: int = 0
    urgent: bool = False


@attrs.define
class ArmingTimes:
    """Durations (ms) of recent changes, from holding the group to all ranks armed."""

    durations_ms: list = attrs.field(factory=list)

    def add(self, ms):
        """Add the duration of one more change of map."""
        self.durations_ms.append(ms)
        del self.durations_ms[:-ARMING_SAMPLES]

    def urgent_ahead_ms(self):
        """Return how far ahead to set an urgent change, in ms.

        This is the distance of a normal change until enough durations are known, and
        never more than that: a leader that froze while it armed ranks took seconds for
        it, and would set its next changes as many seconds ahead.
        """
        if len(self.durations_ms) < ARMING_SAMPLES:
            return AHEAD_MS
        wanted_ms = max(
            URGENT_MIN_AHEAD_MS, URGENT_AHEAD_FACTOR * max(self.durations_ms)
        )
        return min(AHEAD_MS, wanted_ms)


@attrs.define
class Group:
    """The ranks as the leader reaches them.

    ``ask(ranks, dict)`` sends a command, or none, to the engines of *ranks* through
    their agents; a Deferred of ``RankAnswer`` by rank of those that answered, with
    their state after the command. ``send(rank, dict)`` sends a command to one engine
    directly; a Deferred of its status or 0. ``sleep(ms)`` is a Deferred that fires
    after that time. ``mapping_of(version)`` returns the map prepared as *version*,
    or ``None`` if it is not known. ``commands_get_lost()`` tells whether commands went
    unanswered recently, ``now()`` is the time in ms, and ``holder_seen_ms`` is when the
    last query that the holder answered was sent.

    *planner* is the rank whose agent sends the commands, and *holder* the one at which
    it holds the group. ``ask`` fails with ``Fenced`` if an agent refuses the query.
    *min_ahead_steps* is the minimum distance of a hold.
    """

    size: int
    ask: object
    send: object
    sleep: object
    commands_get_lost: object = lambda: False
    now: object = lambda: 0
    mapping_of: object = lambda version: None
    holder_seen_ms: int | None = None
    arming_times: ArmingTimes = attrs.field(factory=ArmingTimes)
    planner: int = LEADER
    holder: int = attrs.field(
        default=attrs.Factory(lambda self: min(STANDBY, self.size - 1), takes_self=True)
    )
    min_ahead_steps: int = FIRST_AHEAD_STEPS

    @property
    def ranks(self):
        """All ranks."""
        return list(range(self.size))

    @property
    def others(self):
        """Every rank but the planner's."""
        return [rank for rank in range(self.size) if rank != self.planner]

    @defer.inlineCallbacks
    def poll(self, ranks=(), command=None):
        """Ask *ranks* and always the holder, with *command*; their answers.

        Sets ``holder_seen_ms`` to when the query was sent, if the holder answered.
        """
        asked_ms = self.now()
        asked = sorted({*ranks, self.holder})
        answers = yield self.ask(asked, command)
        if self.holder in answers:
            self.holder_seen_ms = asked_ms
        return answers

    def check_holder_seen(self):
        """Raise ``SwitchError`` unless the holder answered recently.

        A planner that froze, or waited long for another rank, may have been declared
        dead. A rank that it arms after that may be armed when the holder's agent has
        already seen none armed and is about to lift the hold: the step begins with some
        ranks armed, and mixes two maps.
        """
        if (
            self.holder_seen_ms is None
            or self.now() - self.holder_seen_ms > MAX_HOLDER_AGE_MS
        ):
            raise SwitchError("the last answer of the holder is too old")


@defer.inlineCallbacks
def confirm(group):
    """Whether the holder's agent answers a query, without a refusal (``Fenced``).

    A planner whose last such answer is older than ``MAX_HOLDER_AGE_MS`` must get one
    before it reads the ranks' states. Otherwise a part of the states may be older than
    the last commands of a planner that took over and died in the meantime.
    """
    answers = yield group.poll()
    return group.holder in answers


def is_stale(group, asked_ms):
    """Whether a reading that was sent at *asked_ms* may hold outdated states.

    A planner that froze during a reading gets some answers from before, and others from
    after another agent took over.
    """
    return group.now() - asked_ms > MAX_READING_MS


def states_of(answers, epoch):
    """Return states by rank; raises ``EpochEnded`` unless all are open in *epoch*."""
    states = {rank: answer.state for rank, answer in answers.items()}
    if any(s.epoch != epoch or not s.open for s in states.values()):
        raise EpochEnded("the group broke")
    return states


@defer.inlineCallbacks
def prepare(group, plan):
    """Have every rank prepare the new map; raises ``SwitchError``.

    An unanswered command may be executed late or never. If it was executed in the
    meantime, repeating it is refused, which is harmless.
    """
    command = {
        "operation": commands.PREPARE,
        "version": plan.version,
        "epoch": plan.epoch,
        "mapping": plan.mapping,
    }
    start_ms, waited_ms, delay_ms = group.now(), 0, plan.copy_ms
    while True:
        answers = yield group.ask(group.ranks, command)
        states = states_of(answers, plan.epoch)
        pending = [
            r
            for r in group.ranks
            if r not in states or states[r].prepared != plan.version
        ]
        if not pending:
            return states
        statuses = {r: answers[r].status for r in pending if r in answers}
        refused = [r for r, s in statuses.items() if s and s not in dispatcher.OK]
        if refused:
            raise SwitchError(f"prepare refused at ranks {refused}")
        if max(waited_ms, group.now() - start_ms) >= COPY_TIMEOUT_MS:
            raise SwitchError(f"ranks {pending} did not prepare the map in time")
        yield group.sleep(delay_ms)
        waited_ms += delay_ms
        delay_ms = POLL_INTERVAL_MS


@defer.inlineCallbacks
def hold(group, plan, step, steps):
    """Hold the group *steps* steps after *step*; return the step that is held.

    Raises ``SwitchError``. If the group has reached the step in the meantime, it is
    held as many steps later, because a hold before a step that has begun is refused.
    """
    steps = max(steps, group.min_ahead_steps)
    holder, held = group.holder, step + steps
    for _ in range(HOLD_ATTEMPTS):
        command = {"operation": commands.HOLD, "step": held, "epoch": plan.epoch}
        yield group.send(holder, command)
        states = states_of((yield group.poll()), plan.epoch)
        if holder in states and states[holder].held == held:
            return held
        if holder in states and states[holder].step >= held:
            held = states[holder].step + steps
    # The command may still be executed; the leader's control loop lifts a hold that
    # belongs to no change of map.
    raise SwitchError("the group could not be held")


@defer.inlineCallbacks
def arm(group, ranks, version, step, epoch):
    """Arm *ranks* for *step*; ``True`` once all are armed, ``False`` if one refuses."""
    command = {
        "operation": commands.ARM,
        "version": version,
        "step": step,
        "epoch": epoch,
    }
    pending = set(ranks)
    while pending:
        group.check_holder_seen()
        answers = yield group.poll(pending, command)
        states = states_of(answers, epoch)
        if group.holder not in states:
            # Its agent may lift the hold at any moment. Ranks that are armed are
            # disarmed by it, or by this planner once it reaches the holder again.
            raise SwitchError("the holder is unreachable")
        if states[group.holder].held != step:
            # The holder's agent declared the planner dead and lifted the hold.
            raise SwitchError("the hold was lifted")
        pending = {r for r in pending if r not in states or states[r].armed != version}
        if any(answers[r].status == dispatcher.REFUSED for r in pending if r in states):
            return False
        if pending:
            yield group.sleep(POLL_INTERVAL_MS)
    return True


@defer.inlineCallbacks
def withdraw(group, ranks, states, step, epoch, held_rank=None):
    """Disarm *ranks* for good, and lift the hold once the group has reached it.

    The hold is at *held_rank*, or at the holder.

    A command to arm that is executed late arms a disarmed rank again. Even a rank that
    was seen disarmed could then change its map alone while the command to go on is sent
    and repeated. Each rank therefore also prepares a newer map, after which it refuses
    to be armed for the one before. The newer map has the same experts, so that nothing
    has to be copied.

    At least one rank must have prepared it before any rank is disarmed. Otherwise, if
    this agent dies in between, late commands to arm can lead another one to see all
    ranks armed and lift the hold, and a late command to disarm follows.
    """
    versions = versions_of(states)
    newest = versions[-1] if versions else 0
    mapping = group.mapping_of(newest) if newest else None
    replacement = {
        "operation": commands.PREPARE,
        "version": newest + 1,
        "epoch": epoch,
        "mapping": mapping,
    }
    held_rank = group.holder if held_rank is None else held_rank
    asked = sorted({*ranks, held_rank})
    start_ms, waited_ms = group.now(), 0
    while mapping is not None and waited_ms < WITHDRAW_TIMEOUT_MS:
        states = states_of((yield group.poll(asked, replacement)), epoch)
        if held_rank in states and states[held_rank].held != step:
            return
        if all_armed(group, states):
            yield lift_hold(group, step, epoch, held_rank)
            return
        if any(state.prepared > newest for state in states.values()):
            break
        yield group.sleep(POLL_INTERVAL_MS)
        waited_ms = max(waited_ms + POLL_INTERVAL_MS, group.now() - start_ms)
    start_ms, waited_ms = group.now(), 0
    while True:
        for version in versions:
            command = {"operation": commands.DISARM, "version": version, "epoch": epoch}
            answers = yield group.poll(asked, command)
        answers = yield group.poll(asked, replacement if mapping is not None else None)
        states = states_of(answers, epoch)
        holder = states.get(held_rank)
        if holder is not None and holder.held != step:
            return
        pending = [r for r in ranks if r not in states or states[r].armed]
        waited_ms = max(waited_ms, group.now() - start_ms)
        if mapping is not None and waited_ms < WITHDRAW_TIMEOUT_MS:
            pending += [
                r for r in ranks if r in states and states[r].prepared <= newest
            ]
        if holder is not None and holder.step >= step - 1 and not pending:
            break
        yield group.sleep(POLL_INTERVAL_MS)
        waited_ms += POLL_INTERVAL_MS
    yield lift_hold(group, step, epoch, held_rank)


@defer.inlineCallbacks
def lift_hold(group, step, epoch, held_rank=None):
    """Lift the hold before *step*, and verify that it is lifted."""
    held_rank = group.holder if held_rank is None else held_rank
    command = {"operation": commands.GO, "step": step, "epoch": epoch}
    while True:
        yield group.send(held_rank, command)
        states = states_of((yield group.poll([held_rank])), epoch)
        holder = states.get(held_rank)
        if holder is not None and holder.held != step:
            return
        yield group.sleep(POLL_INTERVAL_MS)


def steps_ahead(group, plan, steps_per_s):
    """Return how many steps ahead the switch is set, enough to arm every rank."""
    steps_per_ms = steps_per_s / clock.MS_PER_SECOND
    if group.commands_get_lost():
        return max(MIN_AHEAD_STEPS, int(steps_per_ms * AHEAD_UNANSWERED_MS))
    if plan.urgent:
        urgent_ahead_ms = group.arming_times.urgent_ahead_ms()
        return max(URGENT_MIN_AHEAD_STEPS, int(steps_per_ms * urgent_ahead_ms))
    return max(MIN_AHEAD_STEPS, int(steps_per_ms * AHEAD_MS))


@defer.inlineCallbacks
def run(group, plan, steps_per_s):
    """Execute *plan*; raises ``SwitchError``, which leaves the old map in force."""
    states = yield prepare(group, plan)
    newest = max(state.step for state in states.values())
    steps = steps_ahead(group, plan, steps_per_s)
    version, epoch = plan.version, plan.epoch
    start_ms, armed = group.now(), False
    try:
        step = yield hold(group, plan, newest, steps)
        armed = yield arm(group, group.others, version, step, epoch)
        armed = armed and (yield arm(group, [group.planner], version, step, epoch))
    finally:
        # An abandoned change counts as taking at least the normal distance, as it may
        # have been set too few steps ahead.
        took_ms = group.now() - start_ms
        group.arming_times.add(took_ms if armed else max(took_ms, AHEAD_MS))
    if armed:
        yield lift_hold(group, step, epoch)
        return
    yield withdraw(group, group.ranks, states, step, epoch)
    raise SwitchError("a rank refused to be armed")


@defer.inlineCallbacks
def resolve(group, states, epoch):
    """Finish what a planner left held; ``False`` if that is not possible yet.

    *states* must have been read after that planner's queries were first refused, or
    after it had stopped. If its own rank is the only one missing, it is not armed as
    long as another is not.
    """
    step_by_rank = {rank: state.held for rank, state in states.items() if state.held}
    missing = [rank for rank in range(group.size) if rank not in states]
    armed = [rank for rank, state in states.items() if state.armed]
    log.warning(
        "held_by_no_switch",
        step=min(step_by_rank.values(), default=0),
        armed=armed,
        missing=missing,
    )
    holds = sorted(step_by_rank.items(), key=lambda hold: hold[1])
    if all_armed(group, states):
        for rank, step in holds:
            yield lift_hold(group, step, epoch, rank)
        return True
    planners = {planner_of_hold(rank) for rank in step_by_rank}
    if missing and (planners != set(missing) or len(armed) == len(states)):
        return False
    for rank, step in holds:
        yield withdraw(group, sorted(states), states, step, epoch, rank)
    return True


def all_armed(group, states):
    """Whether all ranks are armed for the same map."""
    versions = {state.armed for state in states.values()}
    return len(states) == group.size and len(versions) == 1 and 0 not in versions


def planner_of_hold(rank):
    """Return the rank of the planner that holds the group at *rank*."""
    return max(LEADER, rank - 1)


def versions_of(states):
    """Return the map versions that ranks may be armed for, now or by a late command.

    A map can be armed wherever it is prepared and not in force yet.
    """
    wanted = {v for s in states.values() for v in (s.armed, s.prepared) if v}
    return sorted(wanted - {s.map_version for s in states.values()})
