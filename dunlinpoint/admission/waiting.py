"""The order in which callers that wait for capacity get it.

The most urgent go first, except that an urgency that got less than its kept part goes
before them, so none is passed over without end. Within an urgency, the order is that
of the callers' keys.
"""

import bisect

import attrs


@attrs.define
class Order:
    """Sorted keys of the waiting callers, by urgency.

    A key is a tuple that is unique among all callers.
    """

    keys_by_urgency: dict = attrs.field(factory=dict)

    def enter(self, urgency, key):
        """Add the caller with *key*."""
        bisect.insort(self.keys_by_urgency.setdefault(urgency, []), key)

    def leave(self, urgency, key):
        """Remove the caller with *key*, if it waits."""
        keys = self.keys_by_urgency.get(urgency, [])
        index = bisect.bisect_left(keys, key)
        if keys[index : index + 1] == [key]:
            del keys[index]
        if not keys:
            self.keys_by_urgency.pop(urgency, None)

    def first(self, owed):
        """The key of the next caller, or ``None`` if none waits.

        *owed* lists the urgencies of which one caller goes before all others.
        """
        for urgency in [*owed, *sorted(self.keys_by_urgency)]:
            if urgency in self.keys_by_urgency:
                return self.keys_by_urgency[urgency][0]
        return None

    def ahead_of(self, urgency, key, owed):
        """The number of callers ahead of the one with *key*."""
        owed = [u for u in owed if u in self.keys_by_urgency]
        index = bisect.bisect_left(self.keys_by_urgency.get(urgency, []), key)
        if urgency in owed and index == 0:
            return owed.index(urgency)
        more_urgent = sum(
            len(keys) for u, keys in self.keys_by_urgency.items() if u < urgency
        )
        return more_urgent + index + sum(u > urgency for u in owed)
