"""How many requests arrive at this entry, which controls compare between entries."""

import collections

import attrs

WINDOW_MS = 2000


@attrs.define
class Demand:
    """Arrivals at one entry within the last ``WINDOW_MS``."""

    arrived_ms: collections.deque = attrs.field(factory=collections.deque)

    def record(self, now):
        """Record the arrival of a request."""
        self.arrived_ms.append(now)
        self._drop_old(now)

    def count(self, now):
        """The number of requests that arrived within the window."""
        self._drop_old(now)
        return len(self.arrived_ms)

    def _drop_old(self, now):
        while self.arrived_ms and now - self.arrived_ms[0] >= WINDOW_MS:
            self.arrived_ms.popleft()
