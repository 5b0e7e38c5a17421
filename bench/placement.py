"""Expert maps across ranks against naive baselines, with regression bounds.

A seeded trace of choices drifts between topics. Each policy sees the faded
counts that a lead would see and decides once a turn:

- ``never``: the map that assigns experts in turn;
- ``scratch``: the heaviest expert first to the least loaded rank, made anew
  at every turn;
- ``improve``: :func:`dunlinpoint.experts.placement.improve` at every turn;
- ``weighed``: the same, only where it saves enough of a pass for what it
  moves, by the rule of :mod:`dunlinpoint.experts.leader`.

Printed for each: mean step load over what even loads would give (skew),
experts moved a turn, and planning time in ms a turn. It exits 1 when a ratio
is above its bound in ``bench/bounds.json`` (times have no bound).

    .venv/bin/python -m bench.placement [--turns N]
"""

import argparse
import json
import os
import random
import sys
import time

import attrs

from dunlinpoint.config import document as config
from dunlinpoint.experts import benefit, placement

BOUNDS = os.path.join(os.path.dirname(__file__), "bounds.json")
PASS_MS = 60.0
SHIFT_EVERY = 8
TOPICS = 9


@attrs.frozen
class Size:
    """A group to plan for."""

    name: str
    ranks: int
    sets: int
    experts: int
    places: int
    spare: int


SIZES = [
    Size("today", 12, 3, 96, 11, 4),
    Size("grown", 24, 16, 96, 5, 1),
    Size("target", 64, 4, 64, 3, 2),
]


def trace(size, turns, seed=7):
    """Faded counts by set and expert for each turn."""
    rng = random.Random(seed)
    topics = [
        [
            [rng.paretovariate(1.3) for _ in range(size.experts)]
            for _ in range(size.sets)
        ]
        for _ in range(TOPICS)
    ]
    weights = [1.0] * TOPICS
    for turn in range(turns):
        if turn % SHIFT_EVERY == 0:
            weights = [rng.random() ** 4 for _ in range(TOPICS)]
        yield [
            [
                100 * sum(w * t[s][e] for w, t in zip(weights, topics, strict=True))
                for e in range(size.experts)
            ]
            for s in range(size.sets)
        ]


def never(size, mapping, counts):
    return mapping


def scratch(size, mapping, counts):
    """Heaviest expert first to the least loaded rank with room."""
    made = []
    for chosen in counts:
        held, load = [[] for _ in range(size.ranks)], [0.0] * size.ranks
        for expert in sorted(range(size.experts), key=lambda e: -chosen[e]):
            room = [r for r in range(size.ranks) if len(held[r]) < size.places]
            rank = min(room, key=load.__getitem__)
            held[rank].append(expert)
            load[rank] += chosen[expert]
        made.append(held)
    return made


def improve(size, mapping, counts):
    room = placement.RankCapacity(size.places, size.spare, size.spare * size.sets)
    return placement.improve(mapping, counts, room)


def weighed(size, mapping, counts):
    shape = config.Experts(size.sets, size.experts, size.places, size.spare)
    proposed = improve(size, mapping, counts)
    before = placement.step_load(mapping, counts)
    after = placement.step_load(proposed, counts)
    saved_ms = benefit.saved_ms(PASS_MS, before, after)
    moved = placement.moved(mapping, proposed)
    pays = saved_ms >= benefit.min_saved_ms(shape, moved, size.ranks)
    return proposed if pays else mapping


def run(size, policy, turns):
    """Skew, moves and planning time of *policy*, averaged over the turns."""
    mapping = placement.round_robin(size.sets, size.experts, size.ranks)
    skew = moved = 0
    spent = 0.0
    for counts in trace(size, turns):
        even = placement.even_load(counts, size.ranks)
        skew += placement.step_load(mapping, counts) / even
        began = time.process_time()
        proposed = policy(size, mapping, counts)
        spent += time.process_time() - began
        moved += placement.moved(mapping, proposed)
        mapping = proposed
    return {
        "skew": round(skew / turns, 3),
        "moved": round(moved / turns, 2),
        "plan_ms": round(spent * 1000 / turns, 2),
    }


def ratios(results):
    """What is bounded: skew against never, moves against scratch and improve."""
    chosen = results["weighed"]
    return {
        "skew_vs_never": chosen["skew"] / results["never"]["skew"],
        "moved_vs_scratch": chosen["moved"] / results["scratch"]["moved"],
        "moved_vs_improve": chosen["moved"] / results["improve"]["moved"],
    }


def main(argv=None):
    parser = argparse.ArgumentParser(description="expert maps against baselines")
    parser.add_argument("--turns", type=int, default=80)
    turns = parser.parse_args(argv).turns
    with open(BOUNDS) as source:
        bounds = json.load(source)["placement"]
    regressed = []
    for size in SIZES:
        results = {}
        for policy in (never, scratch, improve, weighed):
            results[policy.__name__] = run(size, policy, turns)
            line = {"size": size.name, "policy": policy.__name__}
            print(json.dumps(line | results[policy.__name__]))
        for name, ratio in ratios(results).items():
            bound = bounds[size.name][name]
            line = {"size": size.name, "ratio": name, "is": round(ratio, 3)}
            print(json.dumps(line | {"bound": bound}))
            if ratio > bound:
                regressed.append(line)
    if regressed:
        print(json.dumps({"regressed": regressed}))
        sys.exit(1)


if __name__ == "__main__":
    main()
