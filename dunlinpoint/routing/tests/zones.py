"""A seeded model of several groups of ranks behind entries in several zones.

As in :mod:`decode_steps`, each step of a group gives each of its streams one event, and
a stream is in time if no inter-event gap is longer than allowed.
"""

import random

import attrs

from dunlinpoint.routing import groups
from dunlinpoint.routing.tests import decode_steps

RANKS = 24
ENTRIES = 8
SKEW = 1.5
STEP_MS = 10
SLOTS = 24


@attrs.define
class Group:
    """One group's streams, and when its step ends."""

    streams: list = attrs.field(factory=list)
    began: int = 0
    ends_ms: float = 0.0
    started_ms: float = 0.0
    turned: list = attrs.field(factory=list)


@attrs.frozen
class Deployment:
    """Arrivals a second by zone, and each group's endpoints by zone."""

    per_s_by_zone: dict
    sizes_by_group: dict
    skew: object = lambda group, now: SKEW


def own_zone_only(entry, names, _now, rng):
    """Draw a group by its endpoints in the entry's own zone only."""
    weights = [entry.own_zone_share_by_group[name] for name in names]
    return rng.choices(names, weights)[0]


def by_share(entry, names, now, rng):
    return entry.choose(names, now, False, rng)


def simulate(deployment, choose, length_ms=24_000, seed=3):
    """The fraction of streams in time, by zone."""
    rng = random.Random(seed)
    names = list(deployment.sizes_by_group)
    live = {name: Group() for name in names}
    entries = {
        zone: [entry_of(deployment, zone) for _ in range(ENTRIES)]
        for zone in deployment.per_s_by_zone
    }
    counts = {zone: [0, 0] for zone in entries}
    for now in range(0, length_ms, STEP_MS):
        for zone, per_s in deployment.per_s_by_zone.items():
            for _ in range(decode_steps.arrivals(rng, per_s * STEP_MS / 1000)):
                entry = rng.choice(entries[zone])
                name = choose(entry, names, now, rng)
                live[name].streams.append([entry, zone, decode_steps.EVENTS, False])
                live[name].began += 1
        for name, group in live.items():
            if now >= group.ends_ms:
                end_step(name, group, now, counts)
                took = decode_steps.step_length_ms(
                    len(group.streams),
                    group.began,
                    deployment.skew(name, now),
                    RANKS,
                )
                group.started_ms, group.ends_ms, group.began = now, now + took, 0
    return {zone: done / max(1, all_) for zone, (done, all_) in counts.items()}


def entry_of(deployment, zone):
    """The ``Groups`` of one entry in *zone*."""
    entry = groups.Groups(decode_steps.MAX_GAP_MS)
    sizes = {g: sum(s.values()) for g, s in deployment.sizes_by_group.items()}
    here = {g: s.get(zone, 0) for g, s in deployment.sizes_by_group.items()}
    entry.update(sizes, here, SLOTS)
    return entry


def end_step(name, group, now, counts):
    """Give every stream of *group* its event."""
    took = now - group.started_ms
    staying = []
    for stream in group.streams:
        entry, zone, _, _ = stream
        stream[2] -= 1
        stream[3] |= took > decode_steps.MAX_GAP_MS
        entry.record_gap(name, took, now)
        if stream[2]:
            staying.append(stream)
        else:
            counts[zone][0] += not stream[3]
            counts[zone][1] += 1
    group.streams = staying
