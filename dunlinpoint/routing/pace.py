"""How many streams an entry keeps in flight, from the pace it sees.

All streams of a group get their next event in the same pass, and the more
there are, the longer a pass takes. Past some number every stream is late at
once: no entry sees how many there are, but each sees the pauses between its
own events, which are the same for all. So the pauses are the signal: while
they come near what the route allows, an entry lets in fewer than it has; once
they are shorter, one more at a time. A request that is let in is then in time,
and one that is not hears so at once.
"""

import statistics

import attrs

# How often the limit is set, and from how many pauses at least. A pass takes
# 50 to 100 ms, so a turn sees a few of every stream.
TURN_MS = 200
LEAST_PAUSES = 6
# Parts of the longest allowed pause: above the first, fewer are let in;
# below the second, more.
HIGH = 0.87
LOW = 0.72
SHRINK = 0.8
# While passes are far shorter than allowed, the limit grows by as much, at most to
# this many times itself a turn: after an outage it is what the first map's passes
# left of it, and one more a turn refused callers for seconds at pauses of half the
# allowed.
GROWTH = 1.25
# An entry always lets in so many: with fewer, nothing shows when a group is
# fast again.
LEAST_LIMIT = 3.0
# Callers that came back after a refusal find so much more room: refused again,
# most have no try left.
RETURNED_ROOM = 1.3
# A caller with less than this part of the longest time left has been here.
FRESH_SHARE = 0.9
# Pauses beyond this many times the allowed one are no pace: the group stood.
STOOD = 4


def has_returned(left_ms, timeout_ms):
    """Whether a caller with *left_ms* of a route's *timeout_ms* came back."""
    return left_ms < FRESH_SHARE * timeout_ms


@attrs.define
class Pace:
    """Streams of one service at this entry; ``limit`` is ``None`` while unbounded."""

    allowed_ms: int
    limit: float | None = None
    in_flight: int = 0
    pauses_ms: list = attrs.field(factory=list)
    turn_ms: int = 0
    pause_ms: float | None = None

    def saw(self, pause_ms, now):
        """A stream's next event came *pause_ms* after the one before it."""
        if pause_ms <= STOOD * self.allowed_ms:
            self.pauses_ms.append(pause_ms)
        if now - self.turn_ms >= TURN_MS:
            self._turn(now)

    def _turn(self, now):
        if len(self.pauses_ms) < LEAST_PAUSES:
            return
        self.turn_ms = now
        pause_ms = self.pause_ms = statistics.median(self.pauses_ms)
        self.pauses_ms = []
        if pause_ms > HIGH * self.allowed_ms:
            known = self.in_flight if self.limit is None else self.limit
            lower = min(known, self.in_flight) * SHRINK
            self.limit = max(LEAST_LIMIT, lower)
        elif self.limit is not None and pause_ms < LOW * self.allowed_ms:
            if self.in_flight >= self.limit - 1:
                room = min(GROWTH, LOW * self.allowed_ms / max(1, pause_ms))
                self.limit = max(self.limit + 1, self.limit * room)

    def has_room(self, returned=False):
        """Whether one more stream may begin, of a caller that has *returned*."""
        if self.limit is None:
            return True
        return self.in_flight < self.limit * (RETURNED_ROOM if returned else 1.0)

    def began(self):
        """One more stream is in flight."""
        self.in_flight += 1

    def ended(self):
        """A stream is over."""
        self.in_flight -= 1
