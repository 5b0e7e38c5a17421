"""A seeded model of one group of ranks near its limit, and of callers that come back.

Every pass gives each stream an event. How long it takes follows from the engine's
published figures: what the busiest rank does by itself, and what the most loaded
rank does of the experts' part, set by set, which is *skew* times the mean. A stream
is in time if its first event comes within the aim, counted from its caller's first
attempt, and no pause is longer than allowed. A caller that is refused comes back
once, when told to, and is lost if refused again.
"""

import heapq
import random

import attrs

from dunlinpoint.routing import pace

# Engine: ms of a step, steps of a pass, ms a writing stream, tokens read a ms.
STEP_MS = 4.55
STEPS = 4
STREAM_MS = 1.81
READ_PER_MS = 61.4
EXPERT_SHARE = 0.85
SLOTS = 6
# Requests: mean prompt (tokens), mean and most events, the aim of the first event.
PROMPT = 835
EVENTS = 24
MOST_EVENTS = 61
AIM_MS = 503
ALLOWED_MS = 120
TIMEOUT_MS = 8000
# The way to the engine and back, and what the busiest rank has over the mean.
WAY_MS = 8
BUSIEST = 1.2
# What a late stream is worth to its caller, and what one refused twice costs.
LATE = 0.25
REFUSED_TWICE = -0.3


@attrs.define
class Load:
    """A day: arrivals a second, skew of experts, and how slow the slowest rank is."""

    per_s: object
    skew: object
    slow: object = lambda now: 1.0
    ranks: int = 16
    entries: int = 9
    length_ms: int = 30_000
    seed: int = 1


@attrs.define
class Result:
    """What became of the callers."""

    in_time: int = 0
    late: int = 0
    lost: int = 0
    refused: int = 0
    by_second: dict = attrs.field(factory=dict)
    passes: list = attrs.field(factory=list)

    @property
    def asked(self):
        return self.in_time + self.late + self.lost

    @property
    def worth(self):
        """Mean worth of a caller."""
        total = self.in_time + LATE * self.late + REFUSED_TWICE * self.lost
        return total / self.asked

    def count(self, kind, asked_ms):
        """One caller's end."""
        setattr(self, kind, getattr(self, kind) + 1)
        row = self.by_second.setdefault(int(asked_ms) // 1000, [0, 0, 0])
        row[("in_time", "late", "lost").index(kind)] += 1


@attrs.define(eq=False)
class Stream:
    """One caller's stream."""

    entry: int
    asked_ms: float
    events: int
    prompt: int
    returned: bool = False
    is_late: bool = False
    last_ms: float | None = None
    until: float = 0.0


def pass_ms(writing, read_tokens, skew, slow, ranks):
    """How long a pass takes."""
    work = STEPS * STREAM_MS * writing / ranks
    read = read_tokens / READ_PER_MS / ranks
    own = STEPS * STEP_MS + (1 - EXPERT_SHARE) * (BUSIEST * work + 3 * read)
    return own * slow + EXPERT_SHARE * (work + read) * max(skew, slow)


def play(load, controls):
    """Play *load* with *controls*, one ``Pace`` for each entry."""
    rng = random.Random(load.seed)
    weights = [rng.uniform(0.5, 1.5) for _ in range(load.entries)]
    result, now, order = Result(), 0.0, 0
    running, queued, coming = [], [], []
    while now < load.length_ms:
        began, queued = split(queued, SLOTS * load.ranks - len(running))
        running += began
        read = sum(s.prompt for s in began)
        writing = len(running) or 1
        took = pass_ms(writing, read, load.skew(now), load.slow(now), load.ranks)
        result.passes.append((now, took, len(running)))
        arrivals = arrived(rng, load.per_s(now) * took / 1000)
        for at in sorted(now + rng.random() * took for _ in range(arrivals)):
            order += 1
            heapq.heappush(coming, (at, order, fresh(rng, load, weights, at)))
        now += took
        for stream in running:
            step(stream, now, controls, result)
        running = [s for s in running if s.events > 0]
        while coming and coming[0][0] <= now:
            at, _, stream = heapq.heappop(coming)
            if controls[stream.entry].has_room(stream.returned):
                controls[stream.entry].began()
                queued.append(stream)
            elif stream.returned:
                result.refused += 1
                result.count("lost", stream.asked_ms)
            else:
                result.refused += 1
                stream.returned = True
                stream.entry = rng.choices(range(load.entries), weights)[0]
                order += 1
                heapq.heappush(coming, (at + rng.uniform(500, 1500), order, stream))
    return result


def step(stream, now, controls, result):
    """One event of *stream* at *now*."""
    control = controls[stream.entry]
    if stream.last_ms is None:
        stream.is_late |= now + WAY_MS - stream.asked_ms > AIM_MS
    else:
        pause_ms = now - stream.last_ms
        stream.is_late |= pause_ms > ALLOWED_MS
        control.saw(pause_ms, int(now))
    stream.last_ms = now
    stream.events -= 1
    if stream.events <= 0:
        control.ended()
        result.count("late" if stream.is_late else "in_time", stream.asked_ms)


def split(items, count):
    """The first *count* of *items*, and the others."""
    count = max(0, count)
    return items[:count], items[count:]


def fresh(rng, load, weights, at):
    """A caller that asks for the first time."""
    events = min(MOST_EVENTS, 1 + int(rng.expovariate(1 / EVENTS)))
    prompt = int(rng.expovariate(1 / PROMPT))
    entry = rng.choices(range(load.entries), weights)[0]
    return Stream(entry, at, events, prompt)


def arrived(rng, mean):
    """How many of *mean* expected arrivals come."""
    count, total = 0, rng.expovariate(1)
    while total < mean:
        count += 1
        total += rng.expovariate(1)
    return count


def shifts(every_ms, calm, peak, lasts_ms):
    """Skew that jumps to *peak* each *every_ms* and falls back within *lasts_ms*."""

    def skew(now):
        since = now % every_ms
        part = max(0.0, 1 - since / lasts_ms)
        return calm + (peak - calm) * part

    return skew


def limited(load):
    """The entries' own paces."""
    return [pace.Pace(ALLOWED_MS) for _ in range(load.entries)]
