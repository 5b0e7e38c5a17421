"""Retry budget of each service, which holds for all entries together.

When a service fails broadly, every request is retried, and the retries alone can keep
the service from recovering. A deployment allows all entries together, in any window, a
ratio of the requests for a service plus a number of retries, the slack. Entries do not
see each other's retries; each may send within a window

- a ratio of the first attempts that it sent itself, which adds up for any number of
  entries, and
- its part of the slack. Zones have equal parts, as they may be cut off from each other,
  and the entries of a zone divide its part by their number, which controls tell them.

An entry may not know of a change in that number yet, so:

- An entry that starts has no part until a window has passed. The one that it replaces
  may have used that part, and others must have learnt of it.
- A lower number counts only after a window: entries that are gone have used theirs.
- An entry without contact to any control may not be counted any more. It uses a part
  that is reserved for such entries, and for a window after its return.
"""

import collections
import random

import attrs

# The fractions of the ratio and of the slack that are used. The rest covers retries
# that arrive later than they were decided on, and entries that round up at once.
RATIO_FRACTION = 0.75
SLACK_FRACTION = 0.8
# The fraction of a zone's part that is reserved for entries without contact.
ISOLATED_FRACTION = 0.25
# An entry polls each control every 0.85 s, and is counted for 4 s after its last poll.
ISOLATED_MS = 3000
# How long all entries take to learn of a new one.
LEARNING_MS = 2000
# The retries in a window that an entry has in addition to the ratio if the deployment
# names no slack.
DEFAULT_ENTRY_SLACK = 8.0
DEFAULT_RATIO = 0.2
# Share of the slack that is left to requests that fail without a retry.
RESERVED_FRACTION = 0.5
DEFAULT_WINDOW_MS = 10_000


@attrs.frozen
class Bounds:
    """What a deployment allows: retries of a service by all entries together.

    They are at most ``ratio`` x its requests + ``slack`` in any ``window_ms``. Without
    a slack (``None``), each entry has ``DEFAULT_ENTRY_SLACK``. ``zones`` is the number
    of zones.
    """

    ratio: float = DEFAULT_RATIO
    window_ms: int = DEFAULT_WINDOW_MS
    slack: float | None = None
    zones: int = 1


@attrs.define
class ZoneEntries:
    """How many entries this entry's zone has, as controls have told.

    ``told_ms_by_count`` holds the numbers that still count, ``asked_ms`` when the last
    control to answer was asked, ``known_since_ms`` since when there was contact without
    interruption.
    """

    told_ms_by_count: dict = attrs.field(factory=dict)
    asked_ms: int | None = None
    known_since_ms: int = 0

    def learn(self, count, asked_ms, now, hold_ms):
        """Learn *count* from a control that was asked at *asked_ms*.

        A number counts for *hold_ms* after it was last told.
        """
        if self.is_isolated(now):
            self.known_since_ms = now
        self.asked_ms = max(asked_ms, self.asked_ms or asked_ms)
        told = self.told_ms_by_count
        told[count] = now
        for former in [c for c, told_ms in told.items() if now - told_ms > hold_ms]:
            del told[former]

    def is_isolated(self, now):
        """Whether no control has answered for ``ISOLATED_MS``."""
        return self.asked_ms is None or now - self.asked_ms > ISOLATED_MS

    def known_ms(self, now):
        """For how long (ms) there has been contact; 0 without any now."""
        return 0 if self.is_isolated(now) else now - self.known_since_ms

    def most(self):
        """The highest number that still counts, or ``None`` if none was told."""
        return max(self.told_ms_by_count, default=None)


@attrs.define
class ServiceRetries:
    """First attempts and retries of one service within the last window, in ms.

    ``rounding`` is a random number (0 to 1): the part of a retry that must be left for
    one to be sent. Small parts of many entries would else never allow any. It holds for
    a window from ``rounding_ms`` on, so that an entry cannot draw until it wins.
    """

    first_ms: collections.deque = attrs.field(factory=collections.deque)
    retry_ms: collections.deque = attrs.field(factory=collections.deque)
    rounding: float = 1.0
    rounding_ms: int | None = None

    def drop_before(self, begin_ms):
        """Drop attempts made at *begin_ms* or before."""
        for times in (self.first_ms, self.retry_ms):
            while times and times[0] <= begin_ms:
                times.popleft()


@attrs.define
class Budget:
    """This entry's part of the retry budget, by service name."""

    bounds: Bounds = attrs.field(factory=Bounds)
    zone_entries: ZoneEntries = attrs.field(factory=ZoneEntries)
    rng: random.Random = attrs.field(factory=random.Random)
    retries_by_service: dict = attrs.field(factory=dict)
    was_settled: bool = False

    def learn(self, zone_entries, asked_ms, now):
        """Learn the number of entries in the own zone.

        It is the answer of a control that was asked at *asked_ms*.
        """
        self.zone_entries.learn(zone_entries, asked_ms, now, self.bounds.window_ms)

    def first_attempt(self, service, now):
        """Record the first attempt of a request for *service*."""
        self._retries(service, now).first_ms.append(now)

    def left(self, service, now):
        """The retries (with a fraction) of *service* that this entry may still send."""
        retries = self._retries(service, now)
        ratio = RATIO_FRACTION * self.bounds.ratio
        allowed = ratio * len(retries.first_ms) + self.slack_part(now)
        return allowed - len(retries.retry_ms)

    def may_retry(self, service, now):
        """Whether a retry of a request for *service* may be sent now."""
        left = self.left(service, now)
        if not 0 < left < 1:
            return left > 0
        retries = self.retries_by_service[service]
        drawn_ms = retries.rounding_ms
        if drawn_ms is None or now - drawn_ms >= self.bounds.window_ms:
            retries.rounding, retries.rounding_ms = self.rng.random(), now
        return retries.rounding < left

    def has_spare(self, service, now):
        """Whether a retry may be sent that can also be left out.

        It leaves a part of the slack to requests that would otherwise fail.
        """
        reserve = RESERVED_FRACTION * self.slack_part(now)
        return self.left(service, now) > reserve

    def spend(self, service, now):
        """Record a retry that is sent now; ``False`` if it may not be sent."""
        if not self.may_retry(service, now):
            return False
        self.retries_by_service[service].retry_ms.append(now)
        return True

    def slack_part(self, now):
        """This entry's part of each service's slack, in retries in a window."""
        bounds, entries = self.bounds, self.zone_entries.most()
        if bounds.slack is None:
            return DEFAULT_ENTRY_SLACK
        if entries is None:
            return 0.0
        is_settled = self.zone_entries.known_ms(now) > bounds.window_ms + LEARNING_MS
        self.was_settled = self.was_settled or is_settled
        if not self.was_settled:
            return 0.0
        fraction = 1 - ISOLATED_FRACTION if is_settled else ISOLATED_FRACTION
        return SLACK_FRACTION * bounds.slack / bounds.zones * fraction / entries

    def _retries(self, service, now):
        retries = self.retries_by_service.setdefault(service, ServiceRetries())
        retries.drop_before(now - self.bounds.window_ms)
        return retries
