"""Decides when and where to move experts between the ranks of a group.

The input is the engine's load report, which lags: tokens by expert over the
last second. A step takes as long as its busiest rank, so the skew that costs
time is the difference in tokens between ranks. Moving an expert costs a load
from the rate-limited weight store and a map switch.

- :func:`plan` packs experts onto ranks, heaviest first onto the least loaded
  rank with a free slot (each rank holds the same number of experts, as its
  memory allows).
- :func:`decide` compares the rank time that a new map would save over
  ``HORIZON_S`` seconds with the cost of the experts it moves, weighted by the
  group's ``skew_weight`` from the document (near 1 for the deployment
  ``hoshizora``, lower for ``port-dues``), and returns the new map only if its
  benefit exceeds its cost.

Both are pure functions over lists: expert loads ``[int]`` by expert,
placements ``[rank]`` by expert.
"""

TOKEN_COST_US = 150
HORIZON_S = 30
EXPERT_MOVE_MS = 250
MIN_TOKENS = 8


def rank_loads(loads, placement, ranks):
    """Tokens by rank (``[int]``) under *placement*."""
    totals = [0] * ranks
    for expert, load in enumerate(loads):
        totals[placement[expert]] += load
    return totals


def skew(loads, placement, ranks):
    """Tokens of the busiest rank minus those of the least busy one."""
    totals = rank_loads(loads, placement, ranks)
    return max(totals) - min(totals)


def plan(loads, ranks, current=None):
    """A placement that balances tokens across ranks, with equal expert counts.

    On a tie an expert stays where it is in *current*, so no expert moves under an
    even load.
    """
    experts = len(loads)
    capacity = -(-experts // ranks)
    totals = [0] * ranks
    expert_counts = [0] * ranks
    placement = [0] * experts
    for expert in sorted(range(experts), key=lambda e: -loads[e]):
        current_rank = current[expert] if current is not None else None

        def key(rank, current_rank=current_rank):
            return (totals[rank], rank != current_rank, rank)

        rank = min((r for r in range(ranks) if expert_counts[r] < capacity), key=key)
        placement[expert] = rank
        totals[rank] += loads[expert]
        expert_counts[rank] += 1
    return placement


def moved(old, new):
    """The number of experts that change rank."""
    return sum(1 for a, b in zip(old, new, strict=True) if a != b)


def decide(loads, placement, ranks, skew_weight):
    """The new placement if its benefit exceeds its cost, else ``None``.

    *loads* are tokens by expert in one second. Skew makes ranks wait for
    ``skew * TOKEN_COST_US`` per second. A new map saves the difference in skew for
    ``HORIZON_S`` seconds and costs ``EXPERT_MOVE_MS`` per moved expert. The saving
    is weighted by *skew_weight* (0 to 1), the cost by its complement.
    """
    if sum(loads) < MIN_TOKENS:
        return None
    proposed = plan(loads, ranks, placement)
    count = moved(placement, proposed)
    if not count:
        return None
    saved_ms = (
        (skew(loads, placement, ranks) - skew(loads, proposed, ranks))
        * TOKEN_COST_US
        / 1000
        * HORIZON_S
    )
    weighted_benefit_ms = (
        skew_weight * saved_ms - (1.0 - skew_weight) * count * EXPERT_MOVE_MS
    )
    return proposed if weighted_benefit_ms > 0 else None
