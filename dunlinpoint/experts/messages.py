"""Wire messages about ranks, independent of the HTTP client of the engine."""

from dunlinpoint.wire.gen.dunlin import ttypes

# Member kind under which a rank's agent announces itself.
KIND = "rank"


def state_message(group, progress, experts=None):
    """Return a ``RankState``; *group* and *progress* are dicts of its fields."""
    return ttypes.RankState(**group, **progress, experts=experts)
