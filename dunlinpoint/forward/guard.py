"""When a try is ended so that another endpoint can still answer.

An endpoint that alone is silent may be out of reach, its connection may have
gone silent, or its queue may be long. Taken for gone in the last case, requests
were moved to other busy endpoints and their callers told 502 after a second
such move; so the way to it is tried before the request is given up there.
"""

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
    stopped: bool = False

    def check_again(self, pause_ms):
        """Look whether the endpoint is gone after *pause_ms*."""
        self.timer = self.forward.clock.call_later(pause_ms, self.check)

    def check(self):
        """Look further if only this endpoint is silent."""
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
        """A new connection to the endpoint was accepted, or not."""
        if self.stopped:
            return
        if answers:
            self.forward.counters.incr("endpoint.busy")
            self.check_again(pick.UNRESPONSIVE_MS)
        else:
            self.give_up("out_of_reach")

    def give_up(self, reason):
        """End the try here."""
        self.forward.counters.incr(f"endpoint.{reason}")
        self.connection.close()

    def stop(self):
        """The try is over."""
        self.stopped = True
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
        guard.check_again(pick.UNRESPONSIVE_MS)
        return guard
    left = call.deadline_ms - forward.clock.now()
    guard.timer = forward.clock.call_later(left * FIRST_TRY_SHARE, connection.close)
    return guard
