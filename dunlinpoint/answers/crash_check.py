"""Whether an endpoint has crashed, checked a moment after a connection to it ended.

The kernel of a process that ends closes its connections in order, and its listening
socket with them. An endpoint that refuses connections a moment later has ended, one
that takes them has not.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock
from dunlinpoint.routing import incarnations

# A crashed process stops listening at once and takes seconds to restart.
DELAY_MS = 50
# A check is shared by connections that ended up to this long after the first of them.
SHARED_MS = 25
# How long a refusal is waited for at least, which takes a round trip. With less, or if
# the time ends while this process does not run, a crash would not be seen.
MIN_WAIT_MS = 20


@attrs.define(eq=False)
class SharedCheck:
    """A check that begins at ``begin_ms``, and the Deferreds that wait for it.

    ``waiters`` holds each with the time until which it waits.
    """

    begin_ms: int
    waiters: list = attrs.field(factory=list)

    def awaiting(self):
        """The Deferreds that have not fired yet."""
        return [waiter for waiter, _ in self.waiters if not waiter.called]


@attrs.define
class CrashChecks:
    """Checks of endpoints; those of one incarnation are shared.

    Without that, an endpoint at which many connections end at once would get as many
    new ones. ``refuses(member)`` returns a Deferred of whether the host of an endpoint
    refuses connections to its port.
    """

    clock: clock.Clock
    refuses: object
    pending_by_incarnation: dict = attrs.field(factory=dict)

    def has_crashed(self, member, limit_ms):
        """Whether *member*, a connection to which has just ended, has crashed.

        A Deferred of ``True``, or ``False`` if it takes connections, or if nothing is
        known after *limit_ms* and ``MIN_WAIT_MS``: a host that does not answer has not
        refused.
        """
        incarnation = incarnations.incarnation_key(member)
        now = self.clock.now()
        begin_ms = now + min(DELAY_MS, limit_ms / 2)
        pending = self.pending_by_incarnation.get(incarnation)
        if pending is None or not 0 <= begin_ms - pending.begin_ms <= SHARED_MS:
            pending = self.pending_by_incarnation[incarnation] = SharedCheck(begin_ms)
            self._run(member, incarnation, pending)
        waiter = defer.Deferred()
        pending.waiters.append((waiter, now + limit_ms))
        return waiter

    @defer.inlineCallbacks
    def _run(self, member, incarnation, pending):
        yield self.clock.sleep(pending.begin_ms - self.clock.now())
        if self.pending_by_incarnation.get(incarnation) is pending:
            del self.pending_by_incarnation[incarnation]
        began_ms = self.clock.now()
        for waiter, until_ms in pending.waiters:
            wait_ms = max(until_ms - began_ms, MIN_WAIT_MS)
            timer = self.clock.call_later(wait_ms, waiter.callback, False)
            waiter.addBoth(_cancel, timer)
        try:
            has_crashed = yield self.refuses(member)
        except Exception as exc:
            for waiter in pending.awaiting():
                waiter.errback(exc)
            return
        for waiter in pending.awaiting():
            waiter.callback(has_crashed)


def _cancel(result, timer):
    if timer.active():
        timer.cancel()
    return result
