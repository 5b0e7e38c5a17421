"""A seeded model of a group whose passes get longer with every stream.

Each pass gives every stream one event. What is read off is how many streams
were in time: every pause no longer than allowed. The figures of a pass are
those of the engines that our users run.
"""

import random

import attrs

from dunlinpoint.routing import admission_control

STEPS = 5
STEP_MS = 5.85
STREAM_MS = 0.71
EXPERT_SHARE = 0.85
# Reading prompts takes so much longer of a pass for each that begins in it.
READ_MS = 8.4
EVENTS = 28
ALLOWED_MS = 120


@attrs.define
class Load:
    """Arrivals a second over the length of a day, and the skew of experts."""

    per_s: object
    skew: object
    ranks: int = 12
    entries: int = 6
    length_ms: int = 30_000
    seed: int = 3


@attrs.define
class Result:
    """What became of the streams."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def share_in_time(self):
        return self.in_time / (self.in_time + self.late + self.refused)


def pass_ms(streams, began, skew, ranks):
    """How long a pass takes with so many streams over all ranks."""
    busiest = streams / ranks + 1
    own = STEPS * (STEP_MS + STREAM_MS * busiest + READ_MS * min(1, began / ranks))
    return own * (1 - EXPERT_SHARE + EXPERT_SHARE * skew)


def play(load, limited):
    """Play *load*, with entries that keep to their pace or let everyone in."""
    rng = random.Random(load.seed)
    paces = [
        admission_control.AdmissionController(ALLOWED_MS) for _ in range(load.entries)
    ]
    streams, result, now = [], Result(), 0.0
    began = 0
    while now < load.length_ms:
        took = pass_ms(len(streams), began, load.skew(now), load.ranks)
        now += took
        for stream in streams:
            stream[1] -= 1
            stream[2] |= took > ALLOWED_MS
            paces[stream[0]].record_gap(took, int(now))
        for entry, left, was_late in streams:
            if not left:
                paces[entry].ended()
                result.late += was_late
                result.in_time += not was_late
        streams = [s for s in streams if s[1]]
        began = 0
        for _ in range(arrivals(rng, load.per_s(now) * took / 1000)):
            entry = rng.randrange(load.entries)
            if limited and not paces[entry].has_room(int(now), rng):
                result.refused += 1
                continue
            paces[entry].began()
            streams.append([entry, EVENTS, False])
            began += 1
    return result


def arrivals(rng, mean):
    """How many of *mean* expected arrivals come."""
    count, total = 0, rng.expovariate(1)
    while total < mean:
        count += 1
        total += rng.expovariate(1)
    return count
