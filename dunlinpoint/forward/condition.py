"""Waits for a change: a new document, a new endpoint or a group that recovers.

A request waits only for a change that is expected within about a second and only
if the caller benefits. All others are refused at once with a ``Retry-After``.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock

# Most changes are notified at once; the rest are noticed after this time at the latest.
POLL_INTERVAL_MS = 250


@attrs.define
class Condition:
    """Requests that wait for the next change notification."""

    clock: clock.Clock
    waiters: list = attrs.field(factory=list)

    def notify_all(self):
        """Wake all waiters, so that each checks its condition again."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            self._wake(waiter)

    def _wake(self, waiter):
        if not waiter.called:
            waiter.callback(None)

    @defer.inlineCallbacks
    def wait_for(self, ready, timeout_ms):
        """Wait until ``ready()`` is true, for at most *timeout_ms*.

        Fires with ``True``, or with ``False`` on a timeout.
        """
        ends_ms = self.clock.now() + timeout_ms
        while not ready():
            left_ms = ends_ms - self.clock.now()
            if left_ms <= 0:
                return False
            waiter = defer.Deferred()
            self.waiters.append(waiter)
            timer = self.clock.call_later(
                min(left_ms, POLL_INTERVAL_MS), self._wake, waiter
            )
            yield waiter
            if timer.active():
                timer.cancel()
            elif waiter in self.waiters:
                self.waiters.remove(waiter)
        return True
