"""The entries that follow this control instance, and each one's place.

An entry's place tells it where to begin in the list of endpoints, so that
entries which see the same do not all choose the same. All controls order the
entries by name, so they mostly agree; where they do not, for a moment, two
entries begin at the same endpoint, which costs nothing but evenness.
"""

import attrs

# Four long polls: an entry whose poll is answered late is still one.
KEEP_MS = 4000


@attrs.frozen
class Place:
    """Which entry of its zone one is (0 up), of how many, and the same of all zones."""

    place: int
    places: int
    entry: int
    entries: int


# A follower without a name is no entry.
NO_ENTRY = Place(0, 0, 0, 0)


@attrs.define
class Followers:
    """When each entry last asked, by its zone and name."""

    asked_ms_by_entry: dict = attrs.field(factory=dict)

    def place(self, zone, name, now):
        """The ``Place`` of entry *name* of *zone*; without a name it is no entry."""
        if not name:
            return NO_ENTRY
        self.asked_ms_by_entry[zone, name] = now
        for other, asked_ms in list(self.asked_ms_by_entry.items()):
            if now - asked_ms > KEEP_MS:
                del self.asked_ms_by_entry[other]
        entries = sorted(self.asked_ms_by_entry)
        near = [n for z, n in entries if z == zone]
        return Place(
            near.index(name), len(near), entries.index((zone, name)), len(entries)
        )
