"""Streams in flight in a group of ranks, from the reports of its engines.

An entry sees its own streams and the steps' length, but not how many streams the group
has. The leader reads every rank several times a second anyway.
"""

import attrs

from dunlinpoint import logs

log = logs.logger("experts")

# Interval of the log lines, which are written only while the group has streams.
LOG_INTERVAL_MS = 500


@attrs.frozen
class GroupLoad:
    """Streams of a group, and of its busiest rank; *ranks* is the number of ranks."""

    streams: int
    busiest: int
    ranks: int

    @classmethod
    def from_states(cls, states):
        """The load by the ``RankState`` of each rank; ``None`` if one reports none."""
        counts = [state.streams for state in states]
        if not counts or any(count is None for count in counts):
            return None
        return cls(sum(counts), max(counts), len(counts))

    @property
    def imbalance(self):
        """Streams of the busiest rank over the mean of all ranks."""
        return self.busiest * self.ranks / self.streams if self.streams else 1.0


@attrs.define
class LoadLog:
    """Writes the load of a group to the log, at most every ``LOG_INTERVAL_MS``."""

    logged_ms: int | None = None

    def update(self, group, load, step_ms, now):
        """Handle the ``GroupLoad`` *load* (``None`` if unknown), read at *now* (ms)."""
        if load is None or not load.streams:
            return
        if self.logged_ms is not None and now - self.logged_ms < LOG_INTERVAL_MS:
            return
        self.logged_ms = now
        log.info(
            "group_load",
            group=group,
            group_streams=load.streams,
            busiest=load.busiest,
            imbalance=round(load.imbalance, 2),
            pass_ms=round(step_ms),
        )
