"""Expert maps across ranks against naive baselines, with regression bounds.

A seeded trace of expert selections drifts between topics. In each planning turn a
policy receives the decayed counts that a group's leader would see, and decides:

- ``never``: keep the initial round-robin map;
- ``scratch``: in every turn a new map, heaviest expert first, to the least loaded
  rank;
- ``improve``: :func:`dunlinpoint.experts.placement.improve` in every turn;
- ``weighed``: the same, but only where the step time saved is enough for the number
  of experts moved, by the rule of :mod:`dunlinpoint.experts.leader`.

Prints for each policy the mean ratio of step load to evenly distributed load (skew),
the experts moved per turn, and the planning time per turn in ms. It exits with
status 1 when a ratio is above its bound in ``bench/bounds.json`` (times have no
bound).

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
STEP_MS = 60.0
SHIFT_INTERVAL_TURNS = 8
TOPICS = 9


@attrs.frozen
class Size:
    """The dimensions of a group to plan for.

    *places* and *spare* are those of
    :class:`dunlinpoint.experts.placement.RankCapacity`.
    """

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
    """Yield the decayed counts, by set and expert, of each turn."""
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
        if turn % SHIFT_INTERVAL_TURNS == 0:
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
    """Assign the heaviest expert first, to the least loaded rank with a free place."""
    new_mapping = []
    for set_counts in counts:
        held, load = [[] for _ in range(size.ranks)], [0.0] * size.ranks
        for expert in sorted(range(size.experts), key=lambda e: -set_counts[e]):
            free_ranks = [r for r in range(size.ranks) if len(held[r]) < size.places]
            rank = min(free_ranks, key=load.__getitem__)
            held[rank].append(expert)
            load[rank] += set_counts[expert]
        new_mapping.append(held)
    return new_mapping


def improve(size, mapping, counts):
    capacity = placement.RankCapacity(size.places, size.spare, size.spare * size.sets)
    return placement.improve(mapping, counts, capacity)


def weighed(size, mapping, counts):
    shape = config.Experts(size.sets, size.experts, size.places, size.spare)
    proposed = improve(size, mapping, counts)
    before = placement.step_load(mapping, counts)
    after = placement.step_load(proposed, counts)
    saved_ms = benefit.saved_ms(STEP_MS, before, after)
    moved = placement.moved(mapping, proposed)
    is_worthwhile = saved_ms >= benefit.min_saved_ms(shape, moved, size.ranks)
    return proposed if is_worthwhile else mapping


def run(size, policy, turns):
    """Mean skew, experts moved and planning time of *policy* per turn."""
    mapping = placement.round_robin(size.sets, size.experts, size.ranks)
    skew = moved = 0
    planning_s = 0.0
    for counts in trace(size, turns):
        even = placement.even_load(counts, size.ranks)
        skew += placement.step_load(mapping, counts) / even
        start_s = time.process_time()
        proposed = policy(size, mapping, counts)
        planning_s += time.process_time() - start_s
        moved += placement.moved(mapping, proposed)
        mapping = proposed
    return {
        "skew": round(skew / turns, 3),
        "moved": round(moved / turns, 2),
        "plan_ms": round(planning_s * 1000 / turns, 2),
    }


def ratios(results):
    """The bounded ratios of ``weighed`` to the baselines, by name."""
    result = results["weighed"]
    return {
        "skew_vs_never": result["skew"] / results["never"]["skew"],
        "moved_vs_scratch": result["moved"] / results["scratch"]["moved"],
        "moved_vs_improve": result["moved"] / results["improve"]["moved"],
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
