"""When a try is ended so that another endpoint can still answer."""

import attrs

from dunlinpoint.forward import routes
from dunlinpoint.routing import pick

GUARD_MS = 250
# An idempotent request's first endpoint gets this part of the time left
# before another is tried.
FIRST_TRY_SHARE = 0.6


@attrs.define
class Guard:
    """Ends a try early where another endpoint may still answer."""

    forward: object
    call: object
    member: object
    connection: object
    timer: object = None

    def check_again(self, pause_ms):
        """Look whether the endpoint is gone after *pause_ms*."""
        self.timer = self.forward.clock.later(pause_ms, self.check)

    def check(self):
        """Close the connection if only this endpoint is silent."""
        members = self.forward.members(self.call.service)
        now = self.forward.clock.now()
        if self.forward.picker.is_gone(self.member.endpoint_id, members, now):
            self.forward.counters.incr("endpoint.silent")
            self.connection.close()
        else:
            self.check_again(GUARD_MS)

    def stop(self):
        """The try is over."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


def start(forward, call, member, connection):
    """The ``Guard`` of a try that may be made again elsewhere, or ``None``.

    A plain answer comes whole or not at all: its try ends after a part of
    the time left. A stream may take long; its try ends with its endpoint.
    """
    if not routes.repeatable(call.route) or call.tries >= call.route.max_attempts:
        return None
    guard = Guard(forward, call, member, connection)
    if call.streaming:
        guard.check_again(pick.SILENCE_MS)
        return guard
    left = call.deadline_ms - forward.clock.now()
    guard.timer = forward.clock.later(left * FIRST_TRY_SHARE, connection.close)
    return guard
