"""What is said of ranks, apart from the HTTP client that asks them."""

from dunlinpoint.wire.gen.dunlin import ttypes

# The kind of member that a rank's agent announces itself as.
KIND = "rank"


def state_message(group, standing, experts=None):
    """A ``RankState`` from parts: *group* and *standing* as keyword dicts."""
    return ttypes.RankState(**group, **standing, experts=experts)
