"""Division of the overall admitted share among urgencies.

Each urgency keeps a part, a fixed fraction of the overall share. What remains goes to
the most urgent callers first. Within an urgency, newcomers are admitted more often than
returning callers, which are past their latency target already and would take slots in
which others could be served within theirs. What is admitted in all never exceeds the
overall share.
"""

import attrs

from dunlinpoint.routing import admission_control

# The part that each urgency keeps, of the share admitted over all.
KEPT_FRACTION = 0.5
# The admitted share of returning callers, relative to newcomers of the same urgency.
RETURNING_FACTOR = admission_control.WINDOW_RETRY_FACTOR


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
    admitted = share * demand.total
    weighted = demand.newcomers + RETURNING_FACTOR * demand.returning
    newcomers = min(1.0, admitted / weighted)
    if not demand.returning:
        return Shares(newcomers, newcomers)
    left = admitted - newcomers * demand.newcomers
    return Shares(newcomers, min(1.0, left / demand.returning))
