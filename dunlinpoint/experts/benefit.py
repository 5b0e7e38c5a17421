"""Benefit of a change of expert map, the limits on its size, and its urgency."""

import attrs

from dunlinpoint.experts import placement

# Minimum saving per step that justifies a new map, in ms: a fixed amount, plus an
# amount per expert that a rank copies per set on average, for a group that weighs
# only the cost of moving experts. The second amount is relative to ranks and sets
# because the absolute number of copies grows with the group: counted over the whole
# group, one of 24 ranks and 16 sets never changed its map, as its first change moves
# hundreds of experts although they are no larger a share of the weights.
MIN_SAVED_MS = 6.0
MIN_SAVED_PER_MOVE_MS = 21.0
# Share of a step's duration that is spent in experts.
EXPERT_SHARE = 0.85
# Maximum time for which a rank copies experts for one map. Demand shifts abruptly to
# other experts every few seconds; a map that takes as long to copy serves demand that
# no longer exists.
MAX_COPY_MS = 150
# The same for an urgent map. Where copying an expert takes 33 ms (72 ranks), one expert
# per rank gives most of the gain that even four give after a demand shift, and is in
# force 0.1 s sooner.
URGENT_MAX_COPY_MS = 50
# A change of map is urgent while steps last longer than this share of the shortest
# inter-event gap that callers are promised: a single step above the promise delays a
# stream, and one step in two is a third longer than the mean.
URGENT_GAP_SHARE = 0.6
# Weight of the newest skew in the moving average of skew.
SKEW_SMOOTHING = 0.2


def min_saved_ms(shape, moved, ranks):
    """Minimum saving per step, in ms, that justifies moving *moved* experts."""
    cost_weight = 1 - shape.skew_weight
    share = moved / (ranks * shape.sets)
    return MIN_SAVED_MS + MIN_SAVED_PER_MOVE_MS * cost_weight * share


def saved_ms(step_ms, before, after):
    """Reduction of step duration, in ms, when load goes from *before* to *after*."""
    return step_ms * EXPERT_SHARE * (1 - after / before)


def rank_capacity(shape, urgent=False):
    """Return the ``RankCapacity`` of each rank for one change of map of *shape*."""
    new = shape.spare * shape.sets
    if shape.copy_ms > 0:
        allowed_ms = URGENT_MAX_COPY_MS if urgent else MAX_COPY_MS
        new = min(new, max(1, int(allowed_ms / shape.copy_ms)))
    return placement.RankCapacity(shape.places, shape.spare, new)


@attrs.define
class Urgency:
    """Whether a change of map is urgent.

    *max_gap_ms* is the longest inter-event gap that meets the latency target, or 0 if
    there is no target; *mean_skew* the moving average of skew (highest load of a rank
    over the mean load).
    """

    max_gap_ms: int = 0
    mean_skew: float | None = None

    def is_urgent(self, step_ms, skew):
        """Whether steps are too long, given their duration *step_ms* and new *skew*.

        *step_ms* is an average over past steps. The duration of steps since a demand
        shift is estimated from the ratio of *skew* to its moving average.
        """
        mean = self.mean_skew or skew
        self.mean_skew = mean + SKEW_SMOOTHING * (skew - mean)
        slowdown = 1 - EXPERT_SHARE + EXPERT_SHARE * max(1.0, skew / mean)
        return step_ms * slowdown > URGENT_GAP_SHARE * self.max_gap_ms > 0
