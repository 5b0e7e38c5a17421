"""The entries that poll this control instance, their positions and their demand.

An entry's position determines where it starts in the list of endpoints, so that
entries with the same view do not all choose the same endpoint. All controls order
the entries by name, so their positions mostly agree; while they do not, two
entries may start at the same endpoint, which only makes the load less even.

Each entry sends its demand with its polls and gets its part of the demand of all, by
which entries divide what endpoints take from all of them together.
"""

import collections

import attrs

# Four long polls, so that an entry is not dropped for one delayed poll.
ENTRY_TIMEOUT_MS = 4000
# The interval between checks for entries that stopped polling.
PRUNE_INTERVAL_MS = 250


@attrs.frozen
class Position:
    """An entry's index (from 0) and the number of entries, in its zone and overall."""

    zone_index: int
    zone_entries: int
    entry_index: int
    entry_count: int


# The position of followers without a name, which are not entries.
NO_POSITION = Position(0, 0, 0, 0)


@attrs.define
class Followers:
    """The time of each entry's last poll, by its zone and name.

    ``position_by_entry`` is computed only when the entries have changed: there are
    several hundred entries, and each polls every second.
    """

    polled_ms_by_entry: dict = attrs.field(factory=dict)
    demand_by_entry: collections.Counter = attrs.field(factory=collections.Counter)
    position_by_entry: dict = attrs.field(factory=dict)
    pruned_ms: int = 0

    def position_of(self, zone, name, now):
        """Record a poll of entry *name* of *zone* and return its ``Position``."""
        if not name:
            return NO_POSITION
        self.polled_ms_by_entry[zone, name] = now
        if now - self.pruned_ms >= PRUNE_INTERVAL_MS:
            self._prune(now)
        if (zone, name) not in self.position_by_entry:
            self._assign_positions()
        return self.position_by_entry[zone, name]

    def demand_share(self, zone, name):
        """The part (0 to 1) of all demand at entry *name* of *zone*, or ``None``."""
        total = self.demand_by_entry.total()
        return self.demand_by_entry[zone, name] / total if total else None

    def _prune(self, now):
        """Drop entries that have not polled for ``ENTRY_TIMEOUT_MS``."""
        self.pruned_ms = now
        silent = [
            entry
            for entry, polled_ms in self.polled_ms_by_entry.items()
            if now - polled_ms > ENTRY_TIMEOUT_MS
        ]
        for entry in silent:
            del self.polled_ms_by_entry[entry]
            self.demand_by_entry.pop(entry, None)
        if silent:
            self.position_by_entry = {}

    def _assign_positions(self):
        """Compute the positions of all entries, per zone and overall."""
        entries = sorted(self.polled_ms_by_entry)
        sizes = collections.Counter(zone for zone, _ in entries)
        seen = collections.Counter()
        self.position_by_entry = {}
        for index, entry in enumerate(entries):
            zone, _ = entry
            position = Position(seen[zone], sizes[zone], index, len(entries))
            self.position_by_entry[entry] = position
            seen[zone] += 1
