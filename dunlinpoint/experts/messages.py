"""Wire messages about ranks, independent of the HTTP client of the engine."""

from dunlinpoint.wire.gen.dunlin import ttypes

# Member kind under which a rank's agent announces itself.
KIND = "rank"
# An engine's pace on the wire is in thousandths of the normal one. It is announced at
# once if it changed by a tenth or more.
NORMAL_PACE = 1000
MIN_PACE_CHANGE = 100


def state_message(group, progress, experts=None):
    """Return a ``RankState``; *group* and *progress* are dicts of its fields."""
    return ttypes.RankState(**group, **progress, experts=experts)


def has_pace_changed(before, after):
    """Whether a pace changed enough to be announced; ``None`` (unknown) is normal."""
    return abs((before or NORMAL_PACE) - (after or NORMAL_PACE)) >= MIN_PACE_CHANGE
