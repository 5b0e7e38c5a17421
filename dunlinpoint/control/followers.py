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
    """When each entry last asked, by its name."""

    asked_ms_by_name: dict = attrs.field(factory=dict)

    def place(self, name, now):
        """The place of entry *name* and how many there are; (0, 0) for none."""
        if not name:
            return 0, 0
        self.asked_ms_by_name[name] = now
        for other, asked_ms in list(self.asked_ms_by_name.items()):
            if now - asked_ms > KEEP_MS:
                del self.asked_ms_by_name[other]
        names = sorted(self.asked_ms_by_name)
        return names.index(name), len(names)
