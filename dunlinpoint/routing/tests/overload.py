"""A seeded model of one group of ranks near its capacity, and of callers that retry.

Every step gives each stream an event. The length of a step follows from the engine's
published figures: the work of the busiest rank by itself, and the experts' work of the
most loaded rank, set by set, which is *skew* times the mean. A stream waits for a slot
while all are taken. It is in time if its first event comes within the latency target,
counted from its caller's first attempt, and no inter-event gap is longer than allowed;
otherwise it is late. A caller that is refused retries once, after its Retry-After, and
is lost if it is refused again.
"""

import collections
import heapq
import random

import attrs

from dunlinpoint.admission import competition, retry_after
from dunlinpoint.forward import capacity
from dunlinpoint.routing import admission_control, latency, outage
from dunlinpoint.routing.tests import decode_steps

# The attempts of a caller that does not obey its Retry-After: it retries at once, and
# three times more.
INSISTENT_ATTEMPTS = 5
# Time between a refusal and such a caller's next attempt.
RETRY_AT_ONCE_MS = 12
# The priority of the workspaces of competing callers.
WORKSPACE_PRIORITY = 1
# The round trip to the engine, and the load of the busiest rank over the mean.
ROUND_TRIP_MS = 8
BUSIEST_LOAD = 1.2
EXPERT_SHARE = 0.85
# The score of a late stream, and of a caller refused twice; one in time scores 1.
LATE_SCORE = 0.25
REFUSED_TWICE_SCORE = -0.3
WINDOW_MS = 2000
# A caller's timeout, and the time step of the model while the group is stalled.
TIMEOUT_MS = 8000
TICK_MS = 25


@attrs.frozen
class Engine:
    """An engine, and the size of its streams.

    A step of the group makes ``steps`` engine steps of ``step_ms`` plus ``stream_ms``
    for each stream of a rank. ``events`` (mean) and ``most_events`` are the number of
    events of a stream, ``prompt`` the mean number of tokens of its prompt.
    """

    step_ms: float = 4.55
    steps: int = 4
    stream_ms: float = 1.81
    read_per_ms: float = 61.4
    slots: int = 6
    events: float = 24
    most_events: int = 61
    prompt: float = 835
    latency_target_ms: int = 503
    max_gap_ms: int = 120

    def step_length_ms(self, writing, read_tokens, skew, slow, ranks):
        """How long a step takes with *writing* streams and *read_tokens* to read."""
        work = self.steps * self.stream_ms * writing / ranks
        read = read_tokens / self.read_per_ms / ranks
        own = self.steps * self.step_ms
        own += (1 - EXPERT_SHARE) * (BUSIEST_LOAD * work + 3 * read)
        return own * slow + EXPERT_SHARE * (work + read) * max(skew, slow)


SMALL = Engine()
# For a group of 72 ranks.
WIDE = Engine(
    steps=5, stream_ms=2.18, slots=5, events=19.4, most_events=48, max_gap_ms=150
)
# For one group of 63 ranks in three zones.
THREE_ZONES = Engine(
    step_ms=5.85,
    steps=6,
    stream_ms=0.85,
    read_per_ms=61.2,
    slots=5,
    events=23,
    most_events=58,
    prompt=840,
    latency_target_ms=406,
    max_gap_ms=120,
)
# For one group of 72 ranks in three zones. At 127 streams a second all are in time, at
# 150 a jump of demand makes steps longer than allowed.
COMPETING = attrs.evolve(THREE_ZONES, stream_ms=1.3, events=26)
# For groups of 64 ranks with few slots and long steps.
LARGE = Engine(
    step_ms=5.85,
    steps=8,
    stream_ms=1.56,
    read_per_ms=61.2,
    slots=3,
    events=17,
    most_events=43,
    latency_target_ms=509,
    max_gap_ms=150,
)


@attrs.frozen
class Kind:
    """Callers of one priority: *per_s* arrivals a second as a function of the time.

    ``workspaces(now)`` returns the weights of the workspaces that send them, by name.
    Callers of *insistent* workspaces retry at once, and up to ``INSISTENT_ATTEMPTS``
    times in all.
    """

    priority: int
    per_s: object
    latency_target_ms: int
    workspaces: object
    insistent: frozenset = frozenset()


@attrs.define
class Load:
    """A run: arrivals a second, skew of experts, and slowdown of the slowest rank.

    The group is stalled during ``stalled_ms`` (from, to). The last three fields set
    alternatives to the entries' behaviour: whether a caller's first attempt is refused
    instead of waiting for the group, the fraction of an entry's slots that late callers
    may take, and whether endpoints serve these last.
    """

    per_s: object
    skew: object
    slow: object = lambda now: 1.0
    ranks: int = 16
    entries: int = 9
    length_ms: int = 30_000
    seed: int = 1
    engine: Engine = SMALL
    stalled_ms: tuple | None = None
    refuses_first_attempts: bool = False
    late_slots_fraction: float = latency.PAST_TARGET_SLOTS_FRACTION
    late_served_last: bool = True
    kinds: tuple = ()
    is_competing: bool = False

    def is_stalled(self, now):
        """Whether the group is stalled at *now*."""
        if self.stalled_ms is None:
            return False
        return self.stalled_ms[0] <= now < self.stalled_ms[1]

    def opened_recently(self, now):
        """Whether there may be callers that waited for the group to open."""
        if self.stalled_ms is None:
            return False
        return 0 <= now - self.stalled_ms[1] < outage.BACKLOG_DRAIN_MS


@attrs.define
class Result:
    """Outcomes of the callers, by the window of their first attempt."""

    by_window: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    stream_ms: float = 0.0
    callers_ended: list = attrs.field(factory=list)
    attempts: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )

    def count(self, caller, kind):
        """Count the outcome of a caller: ``in_time``, ``late`` or ``lost``."""
        self.by_window[int(caller.first_attempt_ms // WINDOW_MS)][kind] += 1
        self.callers_ended.append((caller, kind))

    def count_attempt(self, caller, at, is_admitted):
        """Record whether an attempt that ended at *at* was admitted."""
        if caller.kind is not None and not is_insistent(caller):
            key = caller.kind.priority, int(at // 1000)
            kind = "newcomer" if caller.attempts == 1 else "returning"
            self.attempts[key][kind, is_admitted] += 1

    def total(self, kind):
        """The number of callers with the outcome *kind*."""
        return sum(window[kind] for window in self.by_window.values())

    @property
    def callers(self):
        return sum(window.total() for window in self.by_window.values())

    @property
    def score(self):
        """The mean score of a caller."""
        late, lost = (
            LATE_SCORE * self.total("late"),
            REFUSED_TWICE_SCORE * self.total("lost"),
        )
        return (self.total("in_time") + late + lost) / self.callers

    def share_in_time(self, window):
        """The fraction in time of the callers of one window."""
        found = self.by_window[window]
        return found["in_time"] / max(1, found.total())


@attrs.define(eq=False)
class Stream:
    """One caller's stream."""

    entry: int
    first_attempt_ms: float
    events: int
    prompt: int
    draw: float
    is_retry: bool = False
    is_past_latency_target: bool = False
    last_ms: float | None = None
    attempt_ms: float = 0.0
    queue_key: tuple | None = None
    is_queued: bool = False
    kind: Kind | None = None
    workspace: str = ""
    attempts: int = 1
    caller: competition.Caller | None = None

    def __attrs_post_init__(self):
        self.attempt_ms = self.first_attempt_ms

    def latency_target_ms(self, engine):
        """Its latency target: that of its kind, or the engine's."""
        return self.kind.latency_target_ms if self.kind else engine.latency_target_ms

    def end(self, now):
        """The outcome of the caller of a stream that is complete at *now*."""
        if now - self.first_attempt_ms > TIMEOUT_MS:
            return "lost"
        return "late" if self.is_past_latency_target else "in_time"

    def cannot_meet_target(self, engine, now):
        """Whether its first event can't come within the latency target any more."""
        return latency.is_past_latency_target(
            self.first_attempt_ms - now, 0, self.latency_target_ms(engine)
        )

    def wait_until(self, engine):
        """When its caller stops waiting here for capacity, as in :mod:`capacity`."""
        if not self.is_queued:
            wait_ms = capacity.WAIT_SHARE * self.latency_target_ms(engine)
            return self.attempt_ms + min(wait_ms, capacity.MAX_WAIT_MS)
        return self.gives_up_ms(engine)

    def gives_up_ms(self, engine):
        """When its caller would give up without a first event."""
        event_timeout_ms = outage.event_timeout_ms(
            self.latency_target_ms(engine), engine.max_gap_ms
        )
        until_ms = self.attempt_ms + event_timeout_ms - outage.FIRST_EVENT_RESERVE_MS
        return min(
            until_ms, self.first_attempt_ms + TIMEOUT_MS - outage.TYPICAL_ANSWER_MS
        )


@attrs.define
class Entry:
    """One entry: its admission control, and its queue of late callers."""

    controller: object
    queue: latency.Queue = attrs.field(factory=latency.Queue)

    def accepts(self, load, stream, now):
        """Whether *stream* is not refused at once."""
        if load.opened_recently(now):
            return True
        return (
            self.controller.long_window_admitted_share(now, stream.is_retry)
            > stream.draw
        )

    def admits(self, stream, now, rng, engine, entry_slots):
        """Whether *stream* is admitted now."""
        if not self.controller.admits(now, rng, stream.is_retry):
            return False
        if not stream.is_queued:
            return True
        if stream.queue_key is None:
            until_ms = stream.gives_up_ms(engine)
            stream.queue_key = not stream.is_retry, until_ms, id(stream)
            self.queue.enter(stream.queue_key)
        return (
            self.queue.ahead_of(stream.queue_key) + 1
            <= entry_slots - self.controller.in_flight
        )

    def leave(self, stream, now, is_admitted):
        """Remove *stream* from the queue."""
        if stream.queue_key is not None:
            self.queue.leave(stream.queue_key)
            stream.queue_key = None

    def retry_after_ms(self, rng, stream, left_ms, is_overload):
        """The Retry-After of a refusal, before it is cut to what callers obey."""
        return rng.uniform(
            *(
                retry_after.OVERLOAD_RANGE_MS
                if is_overload
                else retry_after.WAIT_ENDED_RANGE_MS
            )
        )


@attrs.define
class CompetingEntry(Entry):
    """An entry that decides which of the competing callers it admits."""

    decisions: competition.Competition = attrs.field(factory=competition.Competition)

    def accepts(self, load, stream, now):
        if stream.caller is None:
            stream.caller = competition.Caller(
                (WORKSPACE_PRIORITY, stream.kind.priority),
                stream.workspace,
                admission_control.is_caller_retry(
                    stream.first_attempt_ms + TIMEOUT_MS - stream.attempt_ms, TIMEOUT_MS
                ),
                stream.draw,
            )
            elapsed_ms = stream.attempt_ms - stream.first_attempt_ms
            self.decisions.arrive(stream.caller, elapsed_ms, now)
        if load.opened_recently(now) or stream.caller.group is not None:
            return True
        share = self.controller.long_window_admitted_share(now)
        return not self.decisions.is_shed(stream.caller, "g", share, now)

    def admits(self, stream, now, rng, engine, entry_slots):
        caller = stream.caller
        if stream.is_queued:
            free_slots = int(entry_slots - self.controller.in_flight)
            is_next = self.decisions.is_next_after_outage(
                caller, stream.gives_up_ms(engine), free_slots, now
            )
            return is_next and self.controller.admits(now, rng, caller.is_retry)
        is_admitted = self.controller.admits(now, rng, caller.is_retry)
        return self.decisions.take(caller, "g" if is_admitted else None, now) == "g"

    def leave(self, stream, now, is_admitted):
        if is_admitted:
            self.decisions.joined(stream.caller, now)
        elif stream.caller is not None:
            self.decisions.leave(stream.caller, now)

    def retry_after_ms(self, rng, stream, left_ms, is_overload):
        return retry_after.after_refusal_ms(is_overload, left_ms, TIMEOUT_MS, rng)


def waits(load, stream, now):
    """Whether the caller of *stream* waits here while its group is stalled."""
    if load.refuses_first_attempts and not stream.is_retry:
        return False
    return now < stream.gives_up_ms(load.engine)


def simulate(load, make_controller=admission_control.AdmissionController):
    """Simulate *load* with entries that admit by ``make_controller(max_gap_ms)``."""
    engine = load.engine
    rng = random.Random(load.seed)
    weights = [rng.uniform(0.5, 1.5) for _ in range(load.entries)]
    entry_type = CompetingEntry if load.is_competing else Entry
    entries = [
        entry_type(make_controller(engine.max_gap_ms)) for _ in range(load.entries)
    ]
    entry_slots = load.late_slots_fraction * engine.slots * load.ranks / load.entries
    result, now = Result(), 0.0
    running, queued, coming = [], [], []
    while now < load.length_ms:
        stalled = load.is_stalled(now)
        if stalled:
            count_lost(running + queued, entries, result)
            running, queued, took = [], [], TICK_MS
        else:
            if load.late_served_last:
                queued.sort(
                    key=served_order if load.is_competing else is_past_latency_target
                )
            began, queued = split(queued, engine.slots * load.ranks - len(running))
            running += began
            read = sum(s.prompt for s in began)
            skew, slow = load.skew(now), load.slow(now)
            took = engine.step_length_ms(len(running), read, skew, slow, load.ranks)
        for _ in range(decode_steps.arrivals(rng, load.per_s(now) * took / 1000)):
            caller = first_attempt(rng, load, weights, now + rng.random() * took)
            if load.kinds:
                assign_kind(rng, load, caller, now)
            heapq.heappush(coming, (caller.first_attempt_ms, rng.random(), caller))
        now += took
        result.stream_ms += took * len(running)
        for stream in running:
            step(engine, stream, now, entries[stream.entry].controller, result)
        running = [s for s in running if s.events > 0]
        while coming and coming[0][0] <= now:
            at, _, caller = heapq.heappop(coming)
            entry = entries[caller.entry]
            if stalled:
                accepted, is_admitted, stays = True, False, waits(load, caller, at)
            else:
                accepted = entry.accepts(load, caller, now)
                caller.is_queued = load.opened_recently(
                    now
                ) and caller.cannot_meet_target(engine, now)
                is_admitted = accepted and entry.admits(
                    caller, now, rng, engine, entry_slots
                )
                stays = accepted and at < caller.wait_until(engine)
            if stays and not is_admitted:
                heapq.heappush(
                    coming, (at + capacity.POLL_INTERVAL_MS, rng.random(), caller)
                )
                continue
            entry.leave(caller, now, is_admitted)
            result.count_attempt(caller, at, is_admitted)
            if is_admitted:
                entry.controller.began()
                caller.is_past_latency_target = caller.cannot_meet_target(engine, now)
                queued.append(caller)
                continue
            if not may_retry(caller, at):
                result.count(caller, "lost")
                continue
            retry_at_ms = refuse(rng, load, caller, at, weights, entry, not accepted)
            heapq.heappush(coming, (retry_at_ms, rng.random(), caller))
    return result


def is_past_latency_target(stream):
    return stream.is_past_latency_target


def served_order(stream):
    """The order in which endpoints serve competing callers: their priority header."""
    return stream.is_past_latency_target, stream.kind.priority


def assign_kind(rng, load, caller, now):
    """Draw the kind and the workspace of *caller*, by the arrivals at *now*."""
    rates = [kind.per_s(now) for kind in load.kinds]
    caller.kind = rng.choices(load.kinds, rates)[0]
    weight_by_name = caller.kind.workspaces(now)
    names = list(weight_by_name)
    caller.workspace = rng.choices(names, [weight_by_name[n] for n in names])[0]


def may_retry(caller, at):
    """Whether *caller* makes another attempt after a refusal at *at*."""
    if is_insistent(caller):
        return caller.attempts < INSISTENT_ATTEMPTS
    return not caller.is_retry


def is_insistent(caller):
    """Whether *caller* retries at once, whatever its Retry-After."""
    return caller.kind is not None and caller.workspace in caller.kind.insistent


def count_lost(streams, entries, result):
    """Count *streams* as lost: the group broke, and their callers have given up."""
    for stream in streams:
        entries[stream.entry].controller.ended()
        result.count(stream, "lost")


def refuse(rng, load, caller, at, weights, entry, is_overload):
    """Refuse *caller* at *at*; return when it retries, at an entry drawn anew."""
    caller.is_retry = True
    caller.attempts += 1
    caller.entry = rng.choices(range(len(weights)), weights)[0]
    caller.draw = rng.random()
    left_ms = caller.first_attempt_ms + TIMEOUT_MS - at
    if is_insistent(caller):
        caller.attempt_ms = at + RETRY_AT_ONCE_MS
        caller.caller = None
        caller.is_retry = admission_control.is_caller_retry(left_ms, TIMEOUT_MS)
        return caller.attempt_ms
    if load.is_stalled(at):
        wait_ms = outage.outage_retry_after_ms(load.stalled_ms[0], at, left_ms, rng)
    else:
        wait_ms = entry.retry_after_ms(rng, caller, left_ms, is_overload)
    caller.caller = None
    caller.attempt_ms = at + min(wait_ms, outage.max_retry_after_ms(left_ms))
    return caller.attempt_ms


def step(engine, stream, now, controller, result):
    """Give *stream* one event at *now*."""
    if stream.last_ms is None:
        stream.is_past_latency_target |= (
            now + ROUND_TRIP_MS - stream.first_attempt_ms
            > stream.latency_target_ms(engine)
        )
    else:
        gap_ms = now - stream.last_ms
        stream.is_past_latency_target |= gap_ms > engine.max_gap_ms
        controller.record_gap(gap_ms, int(now))
    stream.last_ms = now
    stream.events -= 1
    if stream.events <= 0:
        controller.ended()
        result.count(stream, stream.end(now))


def split(items, count):
    """The first *count* of *items*, and the rest."""
    count = max(0, count)
    return items[:count], items[count:]


def first_attempt(rng, load, weights, at):
    """A caller's first attempt."""
    engine = load.engine
    events = min(engine.most_events, 1 + int(rng.expovariate(1 / engine.events)))
    prompt = int(rng.expovariate(1 / engine.prompt))
    entry = rng.choices(range(load.entries), weights)[0]
    return Stream(entry, at, events, prompt, rng.random())


class FullAdmission:
    """Admission control that admits every request."""

    def __init__(self, max_gap_ms):
        pass

    def record_gap(self, gap_ms, now):
        pass

    def began(self):
        pass

    def ended(self):
        pass

    def long_window_admitted_share(self, now, is_retry):
        return 1.0

    def admits(self, now, rng, is_retry):
        return True
