"""Rebalancing decisions against naive baselines, with regression bounds.

Replays a trace of drifting expert load for each user's profile through three
policies. All decide on loads that are two reports old, like the loads that
engines report:

- ``never``: keep the initial map;
- ``every``: switch to the newly planned map at every report that changes it;
- ``weighed``: :func:`dunlinpoint.agent.rebalance.decide`.

Prints, per profile and policy, mean and p99 skew (difference between the most and
the least loaded rank, in tokens per second), rebalances, experts moved, and the
weighted cost ``w * skew_ms + (1 - w) * move_ms`` per second; then the ratio of
``weighed`` to each baseline. It exits with status 1 when a ratio is above its bound
in ``bench/bounds.json``. Only the decision logic runs here, on a synthetic trace;
``dunlinpoint.lab.load`` reports the step-time skew of engines.

    .venv/bin/python -m bench.rebalance
"""

import json
import os
import random
import sys

from dunlinpoint.agent import rebalance

EXPERTS = 16
RANKS = 4
REPORTS = 600
LAG_REPORTS = 2
BOUNDS = os.path.join(os.path.dirname(__file__), "bounds.json")

PROFILES = {
    # Satellite pass windows: the hot topic changes every 100 s; skew weighs most.
    "hoshizora": {"skew_weight": 0.8, "shift_every": 100, "hot": 600, "base": 40},
    # Morning peak: a single abrupt shift at higher load; rebalance cost weighs most.
    "port-dues": {"skew_weight": 0.3, "shift_every": 300, "hot": 1500, "base": 30},
}


def trace(profile, seed=11):
    """The tokens by expert of each report; one report covers one second."""
    rng = random.Random(seed)
    reports = []
    for t in range(REPORTS):
        topic = (t // profile["shift_every"]) * 5 % EXPERTS
        loads = [rng.randint(0, profile["base"]) for _ in range(EXPERTS)]
        for k in range(4):
            loads[(topic + k) % EXPERTS] += rng.randint(
                profile["hot"] // 2, profile["hot"]
            )
        reports.append(loads)
    return reports


def never(loads, placement, weight):
    return None


def every(loads, placement, weight):
    proposed = rebalance.plan(loads, RANKS, placement)
    return proposed if rebalance.moved(placement, proposed) else None


def run(policy, reports, weight):
    block = EXPERTS // RANKS
    placement = [e // block for e in range(EXPERTS)]
    skews, moves, rebalances = [], 0, 0
    for t, loads in enumerate(reports):
        skews.append(rebalance.skew(loads, placement, RANKS))
        if t >= LAG_REPORTS:
            proposed = policy(reports[t - LAG_REPORTS], placement, weight)
            if proposed is not None:
                moves += rebalance.moved(placement, proposed)
                rebalances += 1
                placement = proposed
    skews.sort()
    skew_ms = sum(skews) / len(skews) * rebalance.TOKEN_COST_US / 1000
    move_ms = moves * rebalance.EXPERT_MOVE_MS / len(reports)
    return {
        "skew_mean": round(sum(skews) / len(skews), 1),
        "skew_p99": skews[int(len(skews) * 0.99)],
        "rebalances": rebalances,
        "experts_moved": moves,
        "cost": round(weight * skew_ms + (1 - weight) * move_ms, 3),
    }


def main():
    with open(BOUNDS) as source:
        bounds = json.load(source)
    regressed = []
    for name, profile in PROFILES.items():
        reports = trace(profile)
        weight = profile["skew_weight"]
        results = {
            policy.__name__: run(policy, reports, weight)
            for policy in (never, every, rebalance_policy)
        }
        for policy, result in results.items():
            print(json.dumps({"profile": name, "policy": policy} | result))
        for baseline in ("never", "every"):
            ratio = results["weighed"]["cost"] / results[baseline]["cost"]
            bound = bounds[name][baseline]
            line = {"profile": name, "weighed_vs": baseline, "ratio": round(ratio, 3)}
            print(json.dumps(line | {"bound": bound}))
            if ratio > bound:
                regressed.append(line)
    if regressed:
        print(json.dumps({"regressed": regressed}))
        sys.exit(1)


def rebalance_policy(loads, placement, weight):
    return rebalance.decide(loads, placement, RANKS, weight)


rebalance_policy.__name__ = "weighed"

if __name__ == "__main__":
    main()
