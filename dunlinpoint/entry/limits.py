"""Limits on the requests that each workspace may have in flight at an entry.

A few workspaces are large. Without a limit, one that sends all its requests at once
fills every engine, and the requests of small workspaces queue behind them. A request
over the limit is refused at once with a ``Retry-After``; it has not run.
"""

import collections

import attrs


@attrs.define
class InFlightLimiter:
    """Requests in flight and limits by workspace name."""

    limit_by_name: dict = attrs.field(factory=dict)
    count_by_name: collections.Counter = attrs.field(factory=collections.Counter)

    def acquire(self, name):
        """Count a request of workspace *name*; ``False`` if it is over the limit.

        A workspace that is not in the document has no limit.
        """
        limit = self.limit_by_name.get(name)
        if limit is not None and self.count_by_name[name] >= limit:
            return False
        self.count_by_name[name] += 1
        return True

    def release(self, name):
        """Remove an ended request of workspace *name* from the count."""
        self.count_by_name[name] -= 1
        if not self.count_by_name[name]:
            del self.count_by_name[name]
