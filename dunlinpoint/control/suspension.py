"""Detection of messages that waited while this process was suspended.

A process that was frozen reads, after it has resumed, requests that were sent long
before. An order among them may be a copy of one that its operator has meanwhile sent
elsewhere and then revoked, while its connection looks as if it had just arrived. A
heartbeat among them says nothing of whether its sender still runs.
"""

import attrs

# The process was suspended if its event loop has not run for this time.
SUSPENDED_MS = 1000
# Connections accepted until this long after the process resumed may have waited.
BACKLOG_MS = 1000
TICK_MS = 100
# The event loop was delayed if it has not ticked for this time.
DELAYED_MS = 150


@attrs.define
class SuspensionDetector:
    """When the event loop last ran, and when it last was resumed.

    What is read until ``backlog_until_ms`` may have waited since ``delayed_from_ms``.
    """

    last_ms: int
    resumed_ms: int | None = None
    delayed_from_ms: int | None = None
    backlog_until_ms: int | None = None

    def tick(self, now):
        """Record that the event loop runs at *now*."""
        if now - self.last_ms > SUSPENDED_MS:
            self.resumed_ms = now
        if now - self.last_ms > DELAYED_MS:
            if not self._has_backlog(self.last_ms):
                self.delayed_from_ms = self.last_ms
            # What arrived during a delay is read within as long again.
            self.backlog_until_ms = now + (now - self.delayed_from_ms)
        self.last_ms = now

    def _has_backlog(self, now):
        return self.backlog_until_ms is not None and now <= self.backlog_until_ms

    def earliest_arrival_ms(self, now):
        """When a message that is read at *now* arrived at the earliest.

        Delays of up to ``DELAYED_MS`` are not noticed. This is no tick: messages that
        are read one after the other may all have arrived before the first was read.
        """
        if self._has_backlog(now):
            return self.delayed_from_ms
        return self.last_ms if now - self.last_ms > DELAYED_MS else now

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
