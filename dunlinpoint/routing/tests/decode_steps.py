"""A seeded model of a group whose steps get longer with every stream.

Each step gives every stream one event. The result is how many streams were in time:
no inter-event gap longer than allowed. The figures of a step are those of engines in
use.
"""

import random

import attrs

from dunlinpoint.routing import admission_control

STEPS = 5
STEP_MS = 5.85
STREAM_MS = 0.71
EXPERT_SHARE = 0.85
# Time in a step for reading the prompt of each stream that begins in it.
READ_MS = 8.4
EVENTS = 28
MAX_GAP_MS = 120


@attrs.define
class Load:
    """Arrivals a second and the skew of experts, as functions of the time (ms)."""

    per_s: object
    skew: object
    ranks: int = 12
    entries: int = 6
    length_ms: int = 30_000
    seed: int = 3


@attrs.define
class Result:
    """Outcomes of the streams."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def share_in_time(self):
        return self.in_time / (self.in_time + self.late + self.refused)


def step_length_ms(streams, began, skew, ranks):
    """How long (ms) a step takes with *streams* over all *ranks*."""
    busiest = streams / ranks + 1
    own = STEPS * (STEP_MS + STREAM_MS * busiest + READ_MS * min(1, began / ranks))
    return own * (1 - EXPERT_SHARE + EXPERT_SHARE * skew)


def simulate(load, limited):
    """Simulate *load*, with admission control at entries if *limited*."""
    rng = random.Random(load.seed)
    controllers = [
        admission_control.AdmissionController(MAX_GAP_MS) for _ in range(load.entries)
    ]
    streams, result, now = [], Result(), 0.0
    began = 0
    while now < load.length_ms:
        took = step_length_ms(len(streams), began, load.skew(now), load.ranks)
        now += took
        for stream in streams:
            stream[1] -= 1
            stream[2] |= took > MAX_GAP_MS
            controllers[stream[0]].record_gap(took, int(now))
        for entry, left, was_late in streams:
            if not left:
                controllers[entry].ended()
                result.late += was_late
                result.in_time += not was_late
        streams = [s for s in streams if s[1]]
        began = 0
        for _ in range(arrivals(rng, load.per_s(now) * took / 1000)):
            entry = rng.randrange(load.entries)
            if limited and not controllers[entry].admits(int(now), rng):
                result.refused += 1
                continue
            controllers[entry].began()
            streams.append([entry, EVENTS, False])
            began += 1
    return result


def arrivals(rng, mean):
    """The number of arrivals, drawn from a Poisson distribution with *mean*."""
    count, total = 0, rng.expovariate(1)
    while total < mean:
        count += 1
        total += rng.expovariate(1)
    return count
