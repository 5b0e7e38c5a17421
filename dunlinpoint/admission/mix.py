"""Arrivals and admissions that an entry saw lately, by urgency.

Sums decay exponentially, so that the mix follows a change of demand within seconds and
no timer is needed.
"""

import math

import attrs

# An entry sees some three arrivals a second. With a shorter time, too few of them make
# the mix, and urgent callers are refused by chance.
MIX_TIME_CONSTANT_MS = 20_000


@attrs.define
class DecayedSum:
    """A sum whose terms decay with *time_constant_ms*."""

    time_constant_ms: int
    value: float = 0.0
    at_ms: int = 0

    def add(self, amount, now):
        """Add *amount* at *now* (ms)."""
        self.value = self.read(now) + amount
        self.at_ms = now

    def read(self, now):
        """The sum at *now* (ms)."""
        elapsed_ms = max(0, now - self.at_ms)
        return self.value * math.exp(-elapsed_ms / self.time_constant_ms)


@attrs.define
class UrgencyCounts:
    """Decayed counts of one urgency: first attempts, retries, and admissions.

    ``reduced`` is the sum by which arrivals of reduced workspaces count less.
    """

    newcomers: DecayedSum = attrs.field(
        factory=lambda: DecayedSum(MIX_TIME_CONSTANT_MS)
    )
    returning: DecayedSum = attrs.field(
        factory=lambda: DecayedSum(MIX_TIME_CONSTANT_MS)
    )
    admitted: DecayedSum = attrs.field(factory=lambda: DecayedSum(MIX_TIME_CONSTANT_MS))
    reduced: DecayedSum = attrs.field(factory=lambda: DecayedSum(MIX_TIME_CONSTANT_MS))

    def arrivals(self, now):
        """Arrivals of either kind."""
        return self.newcomers.read(now) + self.returning.read(now)


@attrs.define
class Mix:
    """``UrgencyCounts`` by urgency."""

    counts_by_urgency: dict = attrs.field(factory=dict)

    def counts(self, urgency):
        """The counts of *urgency*, created on first use."""
        return self.counts_by_urgency.setdefault(urgency, UrgencyCounts())

    def arrived(self, urgency, is_retry, factor, now):
        """Record an arrival, of a workspace whose share is reduced by *factor*."""
        counts = self.counts(urgency)
        (counts.returning if is_retry else counts.newcomers).add(1, now)
        counts.reduced.add(1 - factor, now)

    def admitted(self, urgency, now):
        """Record an admission."""
        self.counts(urgency).admitted.add(1, now)

    def owed(self, kept_fraction, now):
        """The urgencies that get less than their kept part, the most urgent first.

        The part is *kept_fraction* of the fraction admitted over all.
        """
        all_counts = self.counts_by_urgency.values()
        arrivals = sum(c.arrivals(now) for c in all_counts)
        if not arrivals:
            return []
        fraction = sum(c.admitted.read(now) for c in all_counts) / arrivals
        return [
            urgency
            for urgency, counts in sorted(self.counts_by_urgency.items())
            if counts.admitted.read(now)
            < kept_fraction * fraction * counts.arrivals(now)
        ]
