"""Who is let in to a group of ranks: by the length of the passes just seen.

All streams of a group get their next event in the same pass, and the more there are,
the longer a pass takes. Past some number every stream is late at once. No entry sees
how many streams there are, but each sees the pauses between its own events, which are
the same for all. So the longer they are, the fewer of the requests that come are let
in. It needs no message, and is the same for entries that see two streams and twenty.

Passes get long in two ways, which are told apart by how long it lasts:

- Demand for experts jumps every few seconds, and a map answers it within half a
  second. Requests wait that long (:meth:`AdmissionController.has_room`).
- Longer passes make streams last longer, so there are more of them, so passes are
  longer still, until all slots are taken and streams queue at engines. What began it,
  a lost lead or a slow rank, may be gone for ten seconds; the same load that fitted
  before no longer does, and nearly every stream is late. Waiting for a few passes
  changes nothing then. Only fewer streams lead out of it, so a part of the requests is
  refused at once while passes are long as a mean over more than a second
  (:meth:`AdmissionController.long_window_admitted_share`).
"""

import collections
import math
import statistics

import attrs

# Pauses that count are at most so much older than the newest: a pass or two.
RECENT_MS = 150
# After so long without an event nothing is known of passes.
STALE_MS = 1000
# Parts of the longest allowed pause: up to the first all are let in, from the second
# on none.
ALL_IN = 0.7
NONE_IN = 0.9
# The same for the mean of passes over LASTING_MS, which is some times as long as a jump
# of demand lasts: one alone has nobody refused.
LASTING_MS = 3500
# It is over as soon as passes are short as a mean over this: what keeps them long may
# be gone at once, as a map that comes late is.
SHORT_MS = 400
LASTING_ALL_IN = 0.55
LASTING_NONE_IN = 0.85
# Where no pause was too long for so long, all streams are in time as it is, and nobody
# is refused.
LATE_MS = 8000
# While long passes last, callers that came back are let in so much less often. They
# are late whatever happens, and in the slot that one takes another would be in time.
LASTING_RETURNED = 0.3
# For callers that came back after a refusal passes count as so much shorter: refused
# again, most have no try left. Larger figures keep out more of those who could still
# be in time.
RETURNED_SHARE = 1 / 1.1
# An entry always lets in so many: with none, nothing shows when a group is fast again.
LEAST_STREAMS = 2
# A caller with less than this part of the longest time left has been here.
FRESH_SHARE = 0.9
# Pauses beyond this many times the allowed one are no pace: the group stood.
STOOD = 4


def is_caller_retry(left_ms, timeout_ms):
    """Whether a caller with *left_ms* of a route's *timeout_ms* came back."""
    return left_ms < FRESH_SHARE * timeout_ms


def share_between(part, all_in, none_in):
    """1 up to *all_in*, 0 from *none_in* on, and evenly less between them."""
    return min(1.0, max(0.0, (none_in - part) / (none_in - all_in)))


@attrs.define
class Mean:
    """A mean that forgets, over about ``over_ms``."""

    over_ms: int
    value: float = 0.0

    def add(self, value, elapsed_ms):
        """Take in *value*, *elapsed_ms* after the one before it."""
        weight = 1 - math.exp(-elapsed_ms / self.over_ms)
        self.value += weight * (value - self.value)


@attrs.define
class AdmissionController:
    """Streams of one service and group at this entry, and the passes they see.

    ``long_window`` and ``short`` are means of pauses (ms), and ``late_ms`` is when the
    last pause over the allowed one was seen.
    """

    allowed_ms: int
    in_flight: int = 0
    recent: collections.deque = attrs.field(factory=collections.deque)
    long_window: Mean = attrs.field(factory=lambda: Mean(LASTING_MS))
    short: Mean = attrs.field(factory=lambda: Mean(SHORT_MS))
    seen_ms: int | None = None
    late_ms: int | None = None

    def record_gap(self, pause_ms, now):
        """A stream's next event came *pause_ms* after the one before it."""
        if pause_ms > STOOD * self.allowed_ms:
            return
        while self.recent and now - self.recent[0][0] > RECENT_MS:
            self.recent.popleft()
        self.recent.append((now, pause_ms))
        if pause_ms > self.allowed_ms:
            self.late_ms = now
        if not self._is_known(now):
            # A group that opens has its longest passes before its first map. Taken for
            # the mean, they would refuse everyone who comes back to it.
            self.long_window.value = self.short.value = LASTING_ALL_IN * self.allowed_ms
        else:
            self.long_window.add(pause_ms, now - self.seen_ms)
            self.short.add(pause_ms, now - self.seen_ms)
        self.seen_ms = now

    def _is_known(self, now):
        return self.seen_ms is not None and now - self.seen_ms <= STALE_MS

    @property
    def median_gap_ms(self):
        """The median of the last pauses, ``None`` before there is any."""
        if not self.recent:
            return None
        return statistics.median(pause for _, pause in self.recent)

    def admitted_share(self, now, returned=False):
        """The part (0 to 1) of requests, or of *returned* callers', to be let in."""
        if self.in_flight < LEAST_STREAMS or not self._is_known(now):
            return 1.0
        part = self.median_gap_ms / self.allowed_ms
        if returned:
            part *= RETURNED_SHARE
        return share_between(part, ALL_IN, NONE_IN)

    def long_window_admitted_share(self, now, returned=False):
        """The part of requests not to be refused at once: 1 unless long passes last."""
        if self.in_flight < LEAST_STREAMS or not self._is_known(now):
            return 1.0
        if self.late_ms is None or now - self.late_ms > LATE_MS:
            return 1.0
        part = min(self.long_window.value, self.short.value) / self.allowed_ms
        share = share_between(part, LASTING_ALL_IN, LASTING_NONE_IN)
        return share * LASTING_RETURNED if returned and share < 1 else share

    def has_room(self, now, rng, returned=False):
        """Whether one more stream may begin, of a caller that has *returned*."""
        return rng.random() < self.admitted_share(now, returned)

    def began(self):
        """One more stream is in flight."""
        self.in_flight += 1

    def ended(self):
        """A stream is over."""
        self.in_flight -= 1
