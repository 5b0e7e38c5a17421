"""Time in whole milliseconds.

All deadlines, leases and timeouts are ``int`` milliseconds read from a
:class:`Clock`. It reads the reactor's clock, so tests can drive the same code
with ``twisted.internet.task.Clock``.
"""

import time

import attrs
from twisted.internet import task

MS_PER_SECOND = 1000


def since_boot():
    """Seconds since the machine booted (``float``), including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_clock(reactor):
    """Make *reactor* read ``CLOCK_BOOTTIME`` instead of the wall clock.

    The reactor reads the wall clock by default. When an operator or NTP sets it
    back by some minutes, every timer is late by that much: heartbeats and polls
    stop, and requests pass their deadlines unanswered. When it is set forward,
    every lease expires at once. The monotonic clock doesn't have this fault, but
    it stops while the machine is suspended: an entry that was suspended while a
    key was revoked resumed with a lease that had hardly aged, and a leader resumed
    with a view of its ranks that looked recent. The boot-time clock has neither fault.
    """
    reactor.seconds = since_boot


@attrs.define
class Clock:
    """Milliseconds since an arbitrary start, from a reactor's ``seconds()``."""

    reactor: object

    def now(self):
        """The current time (``int``, ms)."""
        return int(self.reactor.seconds() * MS_PER_SECOND)

    def call_later(self, delay_ms, func, *args):
        """Call *func* after *delay_ms*; returns the ``IDelayedCall``.

        A time that has passed meanwhile is now: reactors take no negative delay.
        """
        return self.reactor.callLater(seconds(max(0, delay_ms)), func, *args)

    def sleep(self, ms):
        """A Deferred that fires after *ms* milliseconds, as in :meth:`call_later`."""
        return task.deferLater(self.reactor, seconds(max(0, ms)), lambda: None)


def seconds(ms):
    """*ms* milliseconds as float seconds, for library calls that take seconds."""
    return ms / MS_PER_SECOND


def unix_ms():
    """The wall-clock time (``int``, Unix ms).

    It may jump in either direction, so it is used to order events and never to
    measure durations.
    """
    return int(time.time() * MS_PER_SECOND)
