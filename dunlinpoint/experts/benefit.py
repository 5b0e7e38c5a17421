"""What a change of map is worth: whether it pays, how large it is, and how soon due."""

import attrs

from dunlinpoint.experts import placement

# What a new map must save of a pass, in ms: a little in any case, and so much
# for each expert that a rank must copy of a set on average, for a group that
# weighs only the cost of moving. Counted over the whole group instead, one of
# 24 ranks and 16 sets never changed its map: its first one moves hundreds of
# experts, though they are no larger part of the weights.
LEAST_SAVED_MS = 6.0
SAVED_PER_MOVE_MS = 21.0
# The part of a pass that experts take.
EXPERT_SHARE = 0.85
# How long ranks may copy for one map. Demand moves on to other experts every few
# seconds and at once; a map that takes as long to copy is made for demand that
# is gone.
COPY_MS = 150
# The same for a map in a hurry. Where an expert takes 33 ms (72 ranks), one a rank is
# most of what even four bring after a jump, and is in force 0.1 s sooner.
HURRY_COPY_MS = 50
# A change of map is in a hurry while passes last longer than this part of the shortest
# pause that callers are promised: one pass above the promise makes a stream late, and
# one pass in two is a third longer than the mean.
HURRY_SHARE = 0.6
# How much the newest skew counts in what is usual.
SKEW_NEWEST = 0.2


def min_saved_ms(shape, moved, ranks):
    """What a map that moves so many experts must save of a pass, in ms."""
    cost_weight = 1 - shape.skew_weight
    share = moved / (ranks * shape.sets)
    return LEAST_SAVED_MS + SAVED_PER_MOVE_MS * cost_weight * share


def saved_ms(pass_ms, before, after):
    """What a pass is shorter with load *after* instead of *before*, in ms."""
    return pass_ms * EXPERT_SHARE * (1 - after / before)


def room_of(shape, hurry=False):
    """The ``RankCapacity`` of each rank for one change of map of *shape*."""
    new = shape.spare * shape.sets
    if shape.copy_ms > 0:
        allowed_ms = HURRY_COPY_MS if hurry else COPY_MS
        new = min(new, max(1, int(allowed_ms / shape.copy_ms)))
    return placement.RankCapacity(shape.places, shape.spare, new)


@attrs.define
class Urgency:
    """Whether a change of map is due at once, for callers promised *allowed_ms*.

    *allowed_ms* is the longest pause between events that is in time, or 0 if there is
    none; *usual_skew* the highest load of a rank over the mean, as it was of late.
    """

    allowed_ms: int = 0
    usual_skew: float | None = None

    def is_due(self, pass_ms, skew):
        """Whether passes are long, counted as *pass_ms* and with *skew* from now on.

        Passes are counted over some of them; those since demand has jumped are only
        expected, by how much more *skew* is than it was of late.
        """
        usual = self.usual_skew or skew
        self.usual_skew = usual + SKEW_NEWEST * (skew - usual)
        longer = 1 - EXPERT_SHARE + EXPERT_SHARE * max(1.0, skew / usual)
        return pass_ms * longer > HURRY_SHARE * self.allowed_ms > 0
