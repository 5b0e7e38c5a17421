"""Watchdog that aborts an attempt so that another endpoint can still answer.

If only one endpoint of a service is unresponsive, the endpoint may be unreachable, its
connection may be dead, or its queue may be long. When busy endpoints were mistaken for
unreachable ones, their requests were moved to other busy endpoints, and the callers
received a 502 after the second such move. A new connection to the endpoint is therefore
opened as a probe before the attempt is aborted.
"""

import attrs

from dunlinpoint.forward import routes
from dunlinpoint.routing import backpressure, pick

CHECK_INTERVAL_MS = 250
# Share of the remaining time that an idempotent request spends on its first endpoint
# before another one is tried.
FIRST_ATTEMPT_SHARE = 0.6


@attrs.define
class Watchdog:
    """Aborts an attempt early where another endpoint may still answer."""

    forwarder: object
    call: object
    member: object
    connection: object
    source: backpressure.Source = attrs.field(factory=backpressure.Source)
    timer: object = None
    stopped: bool = False

    def schedule_check(self, delay_ms):
        """Check after *delay_ms* whether the endpoint is unresponsive."""
        self.timer = self.forwarder.clock.call_later(delay_ms, self.check)

    def check(self):
        """Abort the attempt or probe the endpoint if only it is unresponsive."""
        members = self.forwarder.members(self.call.service)
        now = self.forwarder.clock.now()
        if self.source.explains_silence(now):
            self.schedule_check(pick.UNRESPONSIVE_MS)
        elif not self.forwarder.picker.is_unresponsive(
            pick.incarnation_key(self.member), members, now
        ):
            self.schedule_check(CHECK_INTERVAL_MS)
        elif self.connection.used_before:
            self.abort("silent_connection")
        else:
            probe = self.forwarder.pool.can_connect(self.member)
            probe.addCallback(self.probe_done)

    def check_plain(self):
        """Abort the attempt at a plain answer, unless this entry has paused it."""
        if self.source.explains_silence(self.forwarder.clock.now()):
            self.timer = self.forwarder.clock.call_later(
                CHECK_INTERVAL_MS, self.check_plain
            )
        else:
            self.connection.close()

    def probe_done(self, accepted):
        """Handle the result of the probe: whether a new connection was accepted."""
        if self.stopped:
            return
        if accepted:
            self.forwarder.counters.incr("endpoint.busy")
            self.schedule_check(pick.UNRESPONSIVE_MS)
        else:
            self.abort("out_of_reach")

    def abort(self, reason):
        """Abort the attempt by closing its connection."""
        self.forwarder.counters.incr(f"endpoint.{reason}")
        self.connection.close()

    def stop(self):
        """Stop watching: the attempt has ended."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


def start(forwarder, call, member, connection):
    """Return the ``Watchdog`` of an attempt, or ``None`` if it must not be repeated.

    A plain response is passed on only when complete, so its attempt is aborted after
    a share of the remaining time. A stream may take long, so its attempt is aborted
    only when the endpoint is unresponsive.
    """
    if not routes.is_repeatable(call.route) or call.attempts >= call.route.max_attempts:
        return None
    watchdog = Watchdog(forwarder, call, member, connection, call.source)
    if call.streaming:
        watchdog.schedule_check(pick.UNRESPONSIVE_MS)
        return watchdog
    remaining_ms = call.deadline_ms - forwarder.clock.now()
    watchdog.timer = forwarder.clock.call_later(
        remaining_ms * FIRST_ATTEMPT_SHARE, watchdog.check_plain
    )
    return watchdog
