"""The entries that follow this control instance, and each one's place.

An entry's place tells it where to begin in the list of endpoints, so that
entries which see the same do not all choose the same. All controls order the
entries by name, so they mostly agree; where they do not, for a moment, two
entries begin at the same endpoint, which costs nothing but evenness.
"""

import collections

import attrs

# Four long polls: an entry whose poll is answered late is still one.
ENTRY_TIMEOUT_MS = 4000
# How often it is looked which entries have not asked for so long.
LOOK_MS = 250


@attrs.frozen
class Position:
    """Which entry of its zone one is (0 up), of how many, and the same of all zones."""

    zone_index: int
    zone_entries: int
    entry_index: int
    entry_count: int


# A follower without a name is no entry.
NO_ENTRY = Position(0, 0, 0, 0)


@attrs.define
class Followers:
    """When each entry last asked, by its zone and name.

    ``position_by_entry`` is worked out when they have changed: there are some hundred
    entries, and each asks every second.
    """

    asked_ms_by_entry: dict = attrs.field(factory=dict)
    position_by_entry: dict = attrs.field(factory=dict)
    looked_ms: int = 0

    def position_of(self, zone, name, now):
        """The ``Position`` of entry *name* of *zone*; without a name it is no entry."""
        if not name:
            return NO_ENTRY
        self.asked_ms_by_entry[zone, name] = now
        if now - self.looked_ms >= LOOK_MS:
            self._forget(now)
        if (zone, name) not in self.position_by_entry:
            self._arrange()
        return self.position_by_entry[zone, name]

    def _forget(self, now):
        """Drop entries that have not asked for a while."""
        self.looked_ms = now
        silent = [
            e for e, at in self.asked_ms_by_entry.items() if now - at > ENTRY_TIMEOUT_MS
        ]
        for entry in silent:
            del self.asked_ms_by_entry[entry]
        if silent:
            self.position_by_entry = {}

    def _arrange(self):
        """Number the entries, of each zone and of all."""
        entries = sorted(self.asked_ms_by_entry)
        sizes = collections.Counter(zone for zone, _ in entries)
        seen = collections.Counter()
        self.position_by_entry = {}
        for number, entry in enumerate(entries):
            zone, _ = entry
            position = Position(seen[zone], sizes[zone], number, len(entries))
            self.position_by_entry[entry] = position
            seen[zone] += 1
