"""Detection of orders that waited while this process was suspended.

A process that was frozen reads, after it has resumed, requests that were sent long
before. An order among them may be a copy of one that its operator has meanwhile sent
elsewhere and then revoked, while its connection looks as if it had just arrived.
"""

import attrs

# The process was suspended if its event loop has not run for this time.
SUSPENDED_MS = 1000
# Connections accepted until this long after the process resumed may have waited.
BACKLOG_MS = 1000
TICK_MS = 100


@attrs.define
class SuspensionDetector:
    """When the event loop last ran, and when it last was resumed."""

    last_ms: int
    resumed_ms: int | None = None

    def tick(self, now):
        """Record that the event loop runs at *now*."""
        if now - self.last_ms > SUSPENDED_MS:
            self.resumed_ms = now
        self.last_ms = now

    def may_have_waited(self, accepted_ms, now):
        """Whether an order that is read at *now* may have been sent long before.

        *accepted_ms* is when its connection was accepted, ``None`` if not known.
        """
        # After a suspension, connections are read before timers run.
        self.tick(now)
        if self.resumed_ms is None:
            return False
        accepted_ms = now if accepted_ms is None else accepted_ms
        return accepted_ms <= self.resumed_ms + BACKLOG_MS
