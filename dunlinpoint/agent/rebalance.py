"""When to move experts between the ranks of a group, and where to.

Inputs are the engine's lagged load report: tokens by expert over the last
second. A step lasts as long as its busiest rank, so the skew that costs
time is the spread of tokens between ranks. Moving an expert costs a load
from the rate-limited weight store and a switch of map.

- :func:`plan` packs experts onto ranks, heaviest first onto the least
  loaded rank with room (each rank holds the same number of experts, as
  its memory allows).
- :func:`decide` weighs the rank time a new map would save over
  ``HORIZON_S`` seconds against the experts it moves, with the group's
  ``skew_weight`` from the document (Hoshizora near 1, Port Dues lower),
  and returns the new map only when it is worth its cost.

Both are plain functions over lists: expert loads ``[int]`` by expert,
placements ``[rank]`` by expert.
"""

TOKEN_COST_US = 150
HORIZON_S = 30
EXPERT_MOVE_MS = 250
MIN_TOKENS = 8


def rank_loads(loads, placement, ranks):
    """Tokens by rank under *placement*."""
    totals = [0] * ranks
    for expert, load in enumerate(loads):
        totals[placement[expert]] += load
    return totals


def skew(loads, placement, ranks):
    """Busiest rank's tokens minus the idlest's."""
    totals = rank_loads(loads, placement, ranks)
    return max(totals) - min(totals)


def plan(loads, ranks, current=None):
    """A placement that evens tokens across ranks, same count on each.

    Ties keep an expert where it is in *current*, so an even load moves
    nothing.
    """
    experts = len(loads)
    room = -(-experts // ranks)
    totals = [0] * ranks
    held = [0] * ranks
    placement = [0] * experts
    for expert in sorted(range(experts), key=lambda e: -loads[e]):
        here = current[expert] if current is not None else None

        def key(rank, here=here):
            return (totals[rank], rank != here, rank)

        rank = min((r for r in range(ranks) if held[r] < room), key=key)
        placement[expert] = rank
        totals[rank] += loads[expert]
        held[rank] += 1
    return placement


def moved(old, new):
    """How many experts change rank."""
    return sum(1 for a, b in zip(old, new, strict=True) if a != b)


def decide(loads, placement, ranks, skew_weight):
    """The new placement when worth its cost, else ``None``.

    *loads* are tokens by expert in one second. Skew costs the ranks that
    wait ``skew * TOKEN_COST_US`` of time a second; a new map saves the
    difference for ``HORIZON_S`` seconds, and costs ``EXPERT_MOVE_MS`` for
    each expert it moves. The two are weighed by *skew_weight* (0 to 1).
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
    value = skew_weight * saved_ms - (1.0 - skew_weight) * count * EXPERT_MOVE_MS
    return proposed if value > 0 else None
