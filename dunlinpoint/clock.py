"""Time in whole milliseconds, the only clock type in dunlinpoint.

Deadlines, leases and timeouts are ``int`` milliseconds read from a
:class:`Clock`. It reads the reactor's clock, so tests can drive the same code
with ``twisted.internet.task.Clock``.
"""

import time

import attrs
from twisted.internet import task

MS_PER_SECOND = 1000


def since_boot():
    """Seconds since the machine started, suspended ones counted (``float``)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def steady(reactor):
    """Have *reactor* count time by the steady clock.

    By default it counts by the time of day. When an operator or a time
    service sets that back by some minutes, every timer waits for so much
    longer: heartbeats and polls stop, and requests pass their deadlines
    unanswered; set forward, every lease ends at once. The monotonic clock stands
    still while a machine is suspended: an entry that slept through the removal
    of a key woke with a lease that had hardly aged, and a lead with a view of its
    ranks that looked fresh. The boot-time clock counts both.
    """
    reactor.seconds = since_boot


@attrs.define
class Clock:
    """Milliseconds since an arbitrary start, from a reactor's ``seconds()``."""

    reactor: object

    def now(self):
        """The current time in milliseconds (``int``)."""
        return int(self.reactor.seconds() * MS_PER_SECOND)

    def call_later(self, delay_ms, func, *args):
        """Call *func* after *delay_ms* milliseconds; returns the delayed call."""
        return self.reactor.callLater(delay_ms / MS_PER_SECOND, func, *args)

    def sleep(self, ms):
        """A Deferred that fires after *ms* milliseconds."""
        return task.deferLater(self.reactor, seconds(ms), lambda: None)


def seconds(ms):
    """Milliseconds as float seconds, for the few library calls that want them."""
    return ms / MS_PER_SECOND


def unix_ms():
    """The time of day (``int``, Unix ms), which may jump: orders, never times."""
    return int(time.time() * MS_PER_SECOND)
