"""Watchdog that aborts an attempt so that another endpoint can still answer.

If a single endpoint of a service is unresponsive, the endpoint may be unreachable,
its connection may be dead, or its queue may be long. In the last case requests were
moved to other busy endpoints, and their callers received a 502 after the second such
move. A new connection to the endpoint is therefore opened as a probe before the
attempt is aborted.
"""

import attrs

from dunlinpoint.forward import routes
from dunlinpoint.routing import pick

GUARD_MS = 250
# Share of the remaining time that an idempotent request spends on its first endpoint
# before another one is tried.
FIRST_TRY_SHARE = 0.6


@attrs.define
class Guard:
    """Aborts an attempt early where another endpoint may still answer."""

    forward: object
    call: object
    member: object
    connection: object
    timer: object = None
    stopped: bool = False

    def check_again(self, pause_ms):
        """Check after *pause_ms* whether the endpoint is unresponsive."""
        self.timer = self.forward.clock.call_later(pause_ms, self.check)

    def check(self):
        """Abort the attempt or probe the endpoint if only it is unresponsive."""
        members = self.forward.members(self.call.service)
        now = self.forward.clock.now()
        if not self.forward.picker.is_unresponsive(
            pick.incarnation_key(self.member), members, now
        ):
            self.check_again(GUARD_MS)
        elif self.connection.used_before:
            self.give_up("silent_connection")
        else:
            found = self.forward.pool.reaches(self.member)
            found.addCallback(self.reached)

    def reached(self, answers):
        """Handle the result of the probe: whether a new connection was accepted."""
        if self.stopped:
            return
        if answers:
            self.forward.counters.incr("endpoint.busy")
            self.check_again(pick.UNRESPONSIVE_MS)
        else:
            self.give_up("out_of_reach")

    def give_up(self, reason):
        """Abort the attempt by closing its connection."""
        self.forward.counters.incr(f"endpoint.{reason}")
        self.connection.close()

    def stop(self):
        """Stop watching: the attempt has ended."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


def start(forward, call, member, connection):
    """Return the ``Guard`` of an attempt, or ``None`` if it must not be repeated.

    A plain response is passed on only when complete, so its attempt is aborted after
    a share of the remaining time. A stream may take long, so its attempt is aborted
    only when the endpoint is unresponsive.
    """
    if not routes.repeatable(call.route) or call.tries >= call.route.max_attempts:
        return None
    guard = Guard(forward, call, member, connection)
    if call.streaming:
        guard.check_again(pick.UNRESPONSIVE_MS)
        return guard
    left = call.deadline_ms - forward.clock.now()
    guard.timer = forward.clock.call_later(left * FIRST_TRY_SHARE, connection.close)
    return guard
