"""Admission to a group of ranks by the recent inter-event gaps.

All streams of a group get their next event in the same step, and the more streams there
are, the longer a step takes. Above some number, all streams are past their latency
target at once. No entry sees how many streams there are, but each sees the gaps between
its own events, which are the same for all entries. So the longer the gaps, the smaller
the share of requests that is admitted. This needs no message, and works alike for
entries with two streams and with twenty.

Steps get long in two ways, which are distinguished by their duration:

- Demand for experts jumps every few seconds, and a new expert map follows it within
  half a second. Requests wait that long (:meth:`AdmissionController.admits`).
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
FULL_ADMISSION = 0.7
NO_ADMISSION = 0.9
# The long window of the mean gap. It is several times as long as a jump of demand, so
# that a single jump causes no refusals.
LONG_WINDOW_MS = 3500
# The short window. Refusals stop as soon as the mean over it is short: the cause of
# long steps may end at once, as when a delayed expert map arrives.
SHORT_WINDOW_MS = 400
# As FULL_ADMISSION and NO_ADMISSION, for the mean over the windows.
WINDOW_FULL_ADMISSION = 0.55
WINDOW_NO_ADMISSION = 0.85
# Without a gap over the allowed one for this long, all streams are within their target,
# and none is refused.
LONG_GAP_EXPIRY_MS = 8000
# Factor of the admitted share for callers that retry, while the mean is long. They are
# past their latency target anyway, and would take a slot in which another caller could
# be served within its target.
WINDOW_RETRY_FACTOR = 0.3
# Factor of the gaps as counted for callers that retry after a refusal: refused again,
# most have no attempt left. A stronger preference keeps out more of the callers that
# could still be served within their target.
RETRY_GAP_FACTOR = 1 / 1.1
# An entry always admits this many streams: without any, it would not notice that the
# group is fast again.
MIN_STREAMS = 2
# A caller with less than this fraction of its timeout left is taken for a retry.
FIRST_ATTEMPT_FRACTION = 0.9
# Gaps over this many times the allowed one do not count: the group was stalled.
STALLED_GAP_FACTOR = 4


def is_caller_retry(left_ms, timeout_ms):
    """Whether a caller with *left_ms* left of a route's *timeout_ms* is a retry."""
    return left_ms < FIRST_ATTEMPT_FRACTION * timeout_ms


def linear_share(ratio, full_at, none_at):
    """1 up to *full_at*, 0 from *none_at* on, and linear between them."""
    return min(1.0, max(0.0, (none_at - ratio) / (none_at - full_at)))


@attrs.define
class MovingAverage:
    """An exponential moving average over unevenly spaced values."""

    time_constant_ms: int
    value: float = 0.0

    def add(self, value, elapsed_ms):
        """Add *value*, *elapsed_ms* after the previous one."""
        weight = 1 - math.exp(-elapsed_ms / self.time_constant_ms)
        self.value += weight * (value - self.value)


@attrs.define
class AdmissionController:
    """Admission of streams to one group of a service at this entry.

    ``max_gap_ms`` is the longest allowed inter-event gap. ``recent`` holds recent gaps
    as ``(now, gap_ms)``, ``long_window`` and ``short_window`` are mean gaps (ms),
    ``last_event_ms`` is the time of the last event and ``last_long_gap_ms`` that of the
    last gap over the allowed.
    """

    max_gap_ms: int
    in_flight: int = 0
    recent: collections.deque = attrs.field(factory=collections.deque)
    long_window: MovingAverage = attrs.field(
        factory=lambda: MovingAverage(LONG_WINDOW_MS)
    )
    short_window: MovingAverage = attrs.field(
        factory=lambda: MovingAverage(SHORT_WINDOW_MS)
    )
    last_event_ms: int | None = None
    last_long_gap_ms: int | None = None

    def record_gap(self, gap_ms, now):
        """Record an event of a stream, *gap_ms* after the one before it."""
        if gap_ms > STALLED_GAP_FACTOR * self.max_gap_ms:
            return
        while self.recent and now - self.recent[0][0] > RECENT_MS:
            self.recent.popleft()
        self.recent.append((now, gap_ms))
        if gap_ms > self.max_gap_ms:
            self.last_long_gap_ms = now
        if not self._is_known(now):
            # A group that opens has its longest steps before its first expert map. As
            # the mean, these would have all returning callers refused.
            self.long_window.value = self.short_window.value = (
                WINDOW_FULL_ADMISSION * self.max_gap_ms
            )
        else:
            self.long_window.add(gap_ms, now - self.last_event_ms)
            self.short_window.add(gap_ms, now - self.last_event_ms)
        self.last_event_ms = now

    def _is_known(self, now):
        return self.last_event_ms is not None and now - self.last_event_ms <= STALE_MS

    @property
    def median_gap_ms(self):
        """The median of the recent gaps (ms), or ``None`` before the first."""
        if not self.recent:
            return None
        return statistics.median(gap for _, gap in self.recent)

    def admitted_share(self, now, is_retry=False):
        """The admitted share (0 to 1) of first attempts, or of retries."""
        if self.in_flight < MIN_STREAMS or not self._is_known(now):
            return 1.0
        ratio = self.median_gap_ms / self.max_gap_ms
        if is_retry:
            ratio *= RETRY_GAP_FACTOR
        return linear_share(ratio, FULL_ADMISSION, NO_ADMISSION)

    def long_window_admitted_share(self, now, is_retry=False):
        """The share (0 to 1) not to be refused at once, by the mean over the windows.

        It is 1 unless the means over both windows are long.
        """
        if self.in_flight < MIN_STREAMS or not self._is_known(now):
            return 1.0
        if (
            self.last_long_gap_ms is None
            or now - self.last_long_gap_ms > LONG_GAP_EXPIRY_MS
        ):
            return 1.0
        ratio = min(self.long_window.value, self.short_window.value) / self.max_gap_ms
        share = linear_share(ratio, WINDOW_FULL_ADMISSION, WINDOW_NO_ADMISSION)
        return share * WINDOW_RETRY_FACTOR if is_retry and share < 1 else share

    def admits(self, now, rng, is_retry=False):
        """Whether to admit one more stream, drawn at random by the admitted share."""
        return rng.random() < self.admitted_share(now, is_retry)

    def began(self):
        """Count one more stream in flight."""
        self.in_flight += 1

    def ended(self):
        """Count one stream in flight less."""
        self.in_flight -= 1
