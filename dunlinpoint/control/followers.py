"""The entries that follow this control instance, and each one's place.

An entry's place tells it where to begin in the list of endpoints, so that
entries which see the same do not all choose the same. All controls order the
entries by name, so they mostly agree; where they do not, for a moment, two
entries begin at the same endpoint, which costs nothing but evenness.
"""

import attrs

# Four long polls: an entry whose poll is answered late is still one.
KEEP_MS = 4000


@attrs.define
class Followers:
    """When each entry last asked, by its zone and name."""

    asked_ms_by_entry: dict = attrs.field(factory=dict)

    def place(self, zone, name, now):
        """The place of entry *name* among those of *zone*, and their number.

        Both are 0 for a follower without a name, which is no entry.
        """
        if not name:
            return 0, 0
        self.asked_ms_by_entry[zone, name] = now
        for other, asked_ms in list(self.asked_ms_by_entry.items()):
            if now - asked_ms > KEEP_MS:
                del self.asked_ms_by_entry[other]
        names = sorted(n for z, n in self.asked_ms_by_entry if z == zone)
        return names.index(name), len(names)
