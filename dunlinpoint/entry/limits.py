"""How much of an entry's work each workspace may have in flight.

A few workspaces are large. Without a limit one that sends everything at once
fills every engine, and the small ones wait behind it; a request over the
limit is refused at once, certainly not run, with the time to come back.
"""

import collections

import attrs


@attrs.define
class Work:
    """Requests in flight and limits by workspace name."""

    limit_by_name: dict = attrs.field(factory=dict)
    count_by_name: collections.Counter = attrs.field(factory=collections.Counter)

    def enter(self, name):
        """Begin a request of workspace *name*; ``False`` over its limit.

        A workspace that the document does not name has no limit here.
        """
        limit = self.limit_by_name.get(name)
        if limit is not None and self.count_by_name[name] >= limit:
            return False
        self.count_by_name[name] += 1
        return True

    def leave(self, name):
        """A request of workspace *name* is over."""
        self.count_by_name[name] -= 1
        if not self.count_by_name[name]:
            del self.count_by_name[name]
