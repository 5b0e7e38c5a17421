"""Division of the overall admitted share among urgencies.

Each urgency keeps a part, a fixed fraction of the overall share. What remains goes to
the most urgent callers first. Within an urgency, callers that retried as told are
counted before newcomers. What is admitted in all never exceeds the overall share.
"""

import attrs

# The part that each urgency keeps, of the share admitted over all.
KEPT_FRACTION = 0.5
# The admitted share of callers that retried as told, relative to newcomers of the same
# urgency. Above 1, so that they are not refused more often in spite of the few
# arrivals from which an entry knows the mix.
RETURNING_FACTOR = 1.05
# Overall shares below the first are lowered by the power of the second.
LOW_SHARE = 0.95
LOW_SHARE_EXPONENT = 2


@attrs.frozen
class Demand:
    """Arrivals of one urgency, as rates or sums: newcomers, and returning callers.

    ``reduced`` is by how much less arrivals of reduced workspaces count, in all.
    """

    newcomers: float
    returning: float
    reduced: float = 0.0

    @property
    def total(self):
        """All arrivals."""
        return self.newcomers + self.returning


@attrs.frozen
class Shares:
    """Admitted shares (0 to 1) of one urgency's newcomers and returning callers."""

    newcomers: float
    returning: float


def competing_share(share):
    """The overall share to divide, from that of callers that do not compete.

    Where callers do not compete, returning ones are admitted less often. Here they are
    admitted like newcomers, which adds load, so a low share is lowered further.
    """
    if share >= LOW_SHARE:
        return share
    return LOW_SHARE * (share / LOW_SHARE) ** LOW_SHARE_EXPONENT


def divide(share, demand_by_urgency):
    """``Shares`` by urgency, from the overall *share* and ``Demand`` by urgency."""
    kept = KEPT_FRACTION * share
    left = (share - kept) * sum(d.total for d in demand_by_urgency.values())
    shares_by_urgency = {}
    for urgency, demand in sorted(demand_by_urgency.items()):
        extra = min(left, (1 - kept) * demand.total)
        left -= extra
        own = min(1.0, kept + extra / demand.total) if demand.total else share
        shares_by_urgency[urgency] = _divide_own(own, demand)
    return shares_by_urgency


def _divide_own(share, demand):
    """``Shares`` of one urgency with the admitted *share* of all its arrivals."""
    if not demand.total:
        return Shares(share, share)
    # What reduced workspaces do not get goes to the other callers.
    share = min(1.0, share * demand.total / (demand.total - demand.reduced))
    weighted = demand.newcomers + RETURNING_FACTOR * demand.returning
    returning = min(1.0, RETURNING_FACTOR * share * demand.total / weighted)
    left = share * demand.total - returning * demand.returning
    if not demand.newcomers:
        return Shares(share, returning)
    return Shares(min(1.0, left / demand.newcomers), returning)
