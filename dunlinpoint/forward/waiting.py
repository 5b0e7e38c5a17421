"""Requests that wait for news: a document, an endpoint, a group that opens.

Waiting is for what is expected within a second or so and for callers who
gain by it; whoever can come back instead is sent away at once.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock

# Most news is heard of at once; this bounds how late the rest is seen.
LOOK_MS = 250


@attrs.define
class Waiting:
    """Those who wait, until the next news."""

    clock: clock.Clock
    waiters: list = attrs.field(factory=list)

    def news(self):
        """Have everyone who waits look again."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            self._wake(waiter)

    def _wake(self, waiter):
        if not waiter.called:
            waiter.callback(None)

    @defer.inlineCallbacks
    def until(self, ready, limit_ms):
        """Wait until ``ready()``, at most *limit_ms*; whether it came."""
        ends_ms = self.clock.now() + limit_ms
        while not ready():
            left_ms = ends_ms - self.clock.now()
            if left_ms <= 0:
                return False
            waiter = defer.Deferred()
            self.waiters.append(waiter)
            timer = self.clock.call_later(min(left_ms, LOOK_MS), self._wake, waiter)
            yield waiter
            if timer.active():
                timer.cancel()
            elif waiter in self.waiters:
                self.waiters.remove(waiter)
        return True
