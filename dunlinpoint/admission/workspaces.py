"""Workspaces that send far above their usual part, or retry at once and often.

While capacity is short, the admitted share of such a workspace is reduced, and its
callers wait behind others of their urgency. It keeps at least half of the share, so
none is starved.

The usual part is what the workspace sent of the requests of its priority over a
minute, without the last seconds. The difference of two sums with different time
constants is such a measure.
"""

import math

import attrs

from dunlinpoint.admission import mix

RECENT_MS = 6000
USUAL_MS = 60_000
# A workspace is above its part from this many times the expected number of requests
# on, plus this many standard deviations of it.
ABOVE_FACTOR = 1.5
ABOVE_DEVIATIONS = 2.0
# Fewer requests (decayed sum) of other workspaces than this tell nothing of the usual
# part.
MIN_USUAL = 10.0
# A workspace's callers retry at once from this many such retries (decayed sum) on, this
# fraction of its requests, and this many times the fraction of all others.
MIN_EARLY_RETRIES = 2.0
EARLY_RETRY_FRACTION = 0.25
EARLY_RETRY_RATIO = 2.0
# Shortest time that a retry has spent of its timeout, compared with first attempts
# of its workspace.
MIN_RETRY_ELAPSED_MS = 4
# The most by which the admitted share of a workspace is reduced.
MIN_FACTOR = 0.5
# A workspace with less than this (decayed sum) is forgotten.
FORGET_BELOW = 0.01
FORGET_INTERVAL_MS = 10_000

ABOVE_PART = "above_part"
RETRIES_AT_ONCE = "retries_at_once"


def _recent():
    return mix.DecayedSum(RECENT_MS)


@attrs.define
class Activity:
    """Requests of a workspace, or of all of a priority.

    ``offset_ms`` is the shortest time that any request of it had spent of its route's
    timeout: callers may have a shorter timeout than the route.
    """

    recent: mix.DecayedSum = attrs.field(factory=_recent)
    usual: mix.DecayedSum = attrs.field(factory=lambda: mix.DecayedSum(USUAL_MS))
    early_retries: mix.DecayedSum = attrs.field(factory=_recent)
    offset_ms: int | None = None

    def before(self, now):
        """Requests of the last minute without the last seconds (decayed sum)."""
        return self.usual.read(now) - self.recent.read(now)

    def arrived(self, now):
        """Record a request."""
        self.recent.add(1, now)
        self.usual.add(1, now)


@attrs.frozen
class Reduction:
    """Factor (0 to 1) of a workspace's admitted share, and why, or ``None``."""

    factor: float = 1.0
    cause: str | None = None


@attrs.define
class Workspaces:
    """Activity by priority and workspace, and by priority."""

    activity_by_key: dict = attrs.field(factory=dict)
    activity_by_priority: dict = attrs.field(factory=dict)
    forgot_ms: int = 0

    def arrived(self, priority, workspace, elapsed_ms, is_retry, now):
        """Record a request, *elapsed_ms* after its caller's first attempt.

        Returns whether it is a retry at once: sooner than any Retry-After tells, which
        *is_retry* does not include.
        """
        self._forget(now)
        activity = self.activity_by_key.setdefault((priority, workspace), Activity())
        activity.arrived(now)
        total = self.activity_by_priority.setdefault(priority, Activity())
        total.arrived(now)
        if activity.offset_ms is None or elapsed_ms < activity.offset_ms:
            activity.offset_ms = elapsed_ms
        is_early = (
            not is_retry and elapsed_ms - activity.offset_ms >= MIN_RETRY_ELAPSED_MS
        )
        if is_early:
            activity.early_retries.add(1, now)
            total.early_retries.add(1, now)
        return is_early

    def reduction(self, priority, workspace, now):
        """The ``Reduction`` of *workspace* among those of *priority*."""
        activity = self.activity_by_key.get((priority, workspace))
        if activity is None:
            return Reduction()
        total = self.activity_by_priority[priority]
        if _retries_at_once(activity, total, now):
            return Reduction(MIN_FACTOR, RETRIES_AT_ONCE)
        expected = self._expected(activity, total, now)
        if expected is None:
            return Reduction()
        recent = activity.recent.read(now)
        margin = ABOVE_DEVIATIONS * math.sqrt(max(1.0, expected))
        if recent > ABOVE_FACTOR * expected + margin:
            return Reduction(max(MIN_FACTOR, expected / recent), ABOVE_PART)
        return Reduction()

    def _expected(self, activity, total, now):
        """The requests that fit the usual part of a workspace, or ``None``."""
        others_before = total.before(now) - activity.before(now)
        if others_before < MIN_USUAL:
            return None
        others_recent = total.recent.read(now) - activity.recent.read(now)
        return max(0.0, activity.before(now)) / others_before * others_recent

    def _forget(self, now):
        if now - self.forgot_ms < FORGET_INTERVAL_MS:
            return
        self.forgot_ms = now
        for key, activity in list(self.activity_by_key.items()):
            if activity.usual.read(now) < FORGET_BELOW:
                del self.activity_by_key[key]


def _retries_at_once(activity, total, now):
    """Whether a workspace's callers retry at once more often than all others."""
    recent, early = activity.recent.read(now), activity.early_retries.read(now)
    if early <= max(MIN_EARLY_RETRIES, EARLY_RETRY_FRACTION * recent):
        return False
    others = total.recent.read(now) - recent
    others_early = total.early_retries.read(now) - early
    return early * others > EARLY_RETRY_RATIO * others_early * recent
