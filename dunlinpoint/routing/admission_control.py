"""Admission to a group of ranks by the recent inter-event gaps.

All streams of a group get their next event in the same step, and the more streams there
are, the longer a step takes. Above some number, all streams are past their latency
target at once. No entry sees how many streams there are, but each sees the gaps between
its own events, which are the same for all entries. So the longer the gaps, the smaller
the share of requests that is admitted. This needs no message, and works alike for
entries with two streams and with twenty.

Steps get long in two ways, which are distinguished by their duration:

- Demand for experts jumps every few seconds, and a new expert map follows it within
  half a second. Requests wait that long (:meth:`AdmissionController.has_room`).
- Longer steps make streams last longer, so there are more of them, and steps get longer
  still, until all slots are taken and streams queue at engines. The cause, a lost
  leader or a slow rank, may have ended ten seconds before; the group can no longer
  serve the load that it served before, and nearly every stream is past its target.
  Waiting for a few steps does not help then, only fewer streams do. So a share of the
  requests is refused at once while the mean over more than a second is long
  (:meth:`AdmissionController.long_window_admitted_share`).
"""

import collections
import math
import statistics

import attrs

# Gaps older than this, relative to the newest, do not count: a step or two.
RECENT_MS = 150
# After this time without an event, the length of steps is unknown.
STALE_MS = 1000
# Fractions of the longest allowed gap: full admission up to the first, no admission
# from the second on.
ALL_IN = 0.7
NONE_IN = 0.9
# The long window of the mean gap. It is several times as long as a jump of demand, so
# that a single jump causes no refusals.
LASTING_MS = 3500
# The short window. Refusals stop as soon as the mean over it is short: the cause of
# long steps may end at once, as when a delayed expert map arrives.
SHORT_MS = 400
# Full and no admission, as ALL_IN and NONE_IN, for the mean over the windows.
LASTING_ALL_IN = 0.55
LASTING_NONE_IN = 0.85
# Without a gap over the allowed one for this long, all streams are within their target,
# and none is refused.
LATE_MS = 8000
# Factor of the admitted share for callers that retry, while the mean is long. They are
# past their latency target anyway, and would take a slot in which another caller could
# be served within its target.
LASTING_RETURNED = 0.3
# Factor of the gaps as counted for callers that retry after a refusal: refused again,
# most have no attempt left. A stronger preference keeps out more of the callers that
# could still be served within their target.
RETURNED_SHARE = 1 / 1.1
# An entry always admits this many streams: without any, it would not notice that the
# group is fast again.
LEAST_STREAMS = 2
# A caller with less than this fraction of its timeout left is taken for a retry.
FRESH_SHARE = 0.9
# Gaps over this many times the allowed one do not count: the group was stalled.
STOOD = 4


def is_caller_retry(left_ms, timeout_ms):
    """Whether a caller with *left_ms* left of a route's *timeout_ms* is a retry."""
    return left_ms < FRESH_SHARE * timeout_ms


def share_between(part, all_in, none_in):
    """1 up to *all_in*, 0 from *none_in* on, and linear between them."""
    return min(1.0, max(0.0, (none_in - part) / (none_in - all_in)))


@attrs.define
class Mean:
    """An exponential moving average with the time constant ``over_ms``."""

    over_ms: int
    value: float = 0.0

    def add(self, value, elapsed_ms):
        """Add *value*, *elapsed_ms* after the previous one."""
        weight = 1 - math.exp(-elapsed_ms / self.over_ms)
        self.value += weight * (value - self.value)


@attrs.define
class AdmissionController:
    """Admission of streams to one group of a service at this entry.

    ``max_gap_ms`` is the longest allowed inter-event gap. ``recent`` holds recent gaps
    as ``(now, gap_ms)``, ``long_window`` and ``short_window`` are mean gaps (ms),
    ``last_event_ms`` is the time of the last event and ``last_long_gap_ms`` that of the
    last gap over the allowed.
    """

    allowed_ms: int
    in_flight: int = 0
    recent: collections.deque = attrs.field(factory=collections.deque)
    long_window: Mean = attrs.field(factory=lambda: Mean(LASTING_MS))
    short: Mean = attrs.field(factory=lambda: Mean(SHORT_MS))
    seen_ms: int | None = None
    late_ms: int | None = None

    def record_gap(self, pause_ms, now):
        """Record an event of a stream, *pause_ms* after the one before it."""
        if pause_ms > STOOD * self.allowed_ms:
            return
        while self.recent and now - self.recent[0][0] > RECENT_MS:
            self.recent.popleft()
        self.recent.append((now, pause_ms))
        if pause_ms > self.allowed_ms:
            self.late_ms = now
        if not self._is_known(now):
            # A group that opens has its longest steps before its first expert map. As
            # the mean, these would have all returning callers refused.
            self.long_window.value = self.short.value = LASTING_ALL_IN * self.allowed_ms
        else:
            self.long_window.add(pause_ms, now - self.seen_ms)
            self.short.add(pause_ms, now - self.seen_ms)
        self.seen_ms = now

    def _is_known(self, now):
        return self.seen_ms is not None and now - self.seen_ms <= STALE_MS

    @property
    def median_gap_ms(self):
        """The median of the recent gaps (ms), or ``None`` before the first."""
        if not self.recent:
            return None
        return statistics.median(pause for _, pause in self.recent)

    def admitted_share(self, now, returned=False):
        """The admitted share (0 to 1) of first attempts, or of *returned* callers."""
        if self.in_flight < LEAST_STREAMS or not self._is_known(now):
            return 1.0
        part = self.median_gap_ms / self.allowed_ms
        if returned:
            part *= RETURNED_SHARE
        return share_between(part, ALL_IN, NONE_IN)

    def long_window_admitted_share(self, now, returned=False):
        """The share (0 to 1) not to be refused at once, by the mean over the windows.

        It is 1 unless the means over both windows are long.
        """
        if self.in_flight < LEAST_STREAMS or not self._is_known(now):
            return 1.0
        if self.late_ms is None or now - self.late_ms > LATE_MS:
            return 1.0
        part = min(self.long_window.value, self.short.value) / self.allowed_ms
        share = share_between(part, LASTING_ALL_IN, LASTING_NONE_IN)
        return share * LASTING_RETURNED if returned and share < 1 else share

    def has_room(self, now, rng, returned=False):
        """Whether to admit one more stream, drawn at random by the admitted share."""
        return rng.random() < self.admitted_share(now, returned)

    def began(self):
        """Count one more stream in flight."""
        self.in_flight += 1

    def ended(self):
        """Count one stream in flight less."""
        self.in_flight -= 1
