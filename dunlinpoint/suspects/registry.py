"""Which endpoints ended while they ran which request.

An endpoint that ends has several requests at work, and only one of them, if any, is
the cause. What tells the cause from the others is that it ends each endpoint that runs
it: the others are served when they are tried again, and a request that was served once
is cleared. So a request is convicted only when three endpoints have ended under it and
none has served it in between.

When a rack falls, a request that its caller sent three times at once may lose all three
of its endpoints in the same moment. That is one event, so it does not convict: the next
run, alone, decides.

Reports are kept by digest, oldest out, so that a flood of different requests costs a
bounded memory.
"""

import collections
import enum

import attrs

from dunlinpoint.control import membership
from dunlinpoint.wire.gen.dunlin import ttypes

MAX_SUSPECTS = 100_000
MAX_LIVES = 8
# How long a report counts. A caller that still comes back after it costs the engines
# of one more conviction.
EXPIRY_MS = 600_000
SUSPECTED_AT = 2
CONVICTED_AT = 3
# Ends within this time are one event.
ONE_EVENT_MS = 300
# The revision of nothing, which has everything told.
NO_REVISION = 0


class SuspectStatus(enum.Enum):
    """What a request may do: anything, run alone, or nothing."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    CONVICTED = "convicted"


@attrs.define
class Suspect:
    """What is known of one request; times are of the local clock.

    ``void_ms`` is when it was last served or lifted: ends before it do not count.
    """

    ended_ms_by_incarnation: dict = attrs.field(factory=dict)
    void_ms: int | None = None
    changed_ms: int = 0
    revision: int = 0

    def suspect_status(self):
        """What the request may do by the ends that count."""
        times = self.ended_ms_by_incarnation.values()
        if len(times) < SUSPECTED_AT:
            return SuspectStatus.CLEAR
        apart = max(times) - min(times) >= ONE_EVENT_MS
        if len(times) >= CONVICTED_AT and apart:
            return SuspectStatus.CONVICTED
        return SuspectStatus.SUSPECTED

    def void(self, at_ms):
        """Nothing up to *at_ms* counts any more; whether that is news."""
        if self.void_ms is not None and at_ms <= self.void_ms:
            return False
        self.void_ms = at_ms
        for life, ended_ms in list(self.ended_ms_by_incarnation.items()):
            if ended_ms <= at_ms:
                del self.ended_ms_by_incarnation[life]
        return True

    def ended(self, life, at_ms):
        """An endpoint ended under the request at *at_ms*; whether that is news."""
        if (
            life in self.ended_ms_by_incarnation
            or len(self.ended_ms_by_incarnation) >= MAX_LIVES
        ):
            return False
        if self.void_ms is not None and at_ms <= self.void_ms:
            return False
        self.ended_ms_by_incarnation[life] = at_ms
        return True


@attrs.define
class Registry:
    """Suspects by digest, the one changed last at the end."""

    suspect_by_digest: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    revision: int = attrs.field(factory=membership.first_revision)
    first_revision: int = 0

    def __attrs_post_init__(self):
        self.first_revision = self.revision

    def __len__(self):
        return len(self.suspect_by_digest)

    def suspect_status(self, digest, now):
        """What the request of *digest* may do."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None or now - suspect.changed_ms > EXPIRY_MS:
            return SuspectStatus.CLEAR
        return suspect.suspect_status()

    def apply_report(self, report, now):
        """Take in a ``CrashReport``; whether it was news."""
        at_ms = now - max(0, report.age_ms)
        suspect = self.suspect_by_digest.get(report.digest)
        if suspect is None:
            suspect = Suspect()
        if report.life:
            is_news = suspect.ended(report.life, at_ms)
        else:
            is_news = suspect.void(at_ms)
        if is_news:
            self._changed(report.digest, suspect, now)
        return is_news

    def _changed(self, digest, suspect, now):
        self.revision += 1
        suspect.revision = self.revision
        suspect.changed_ms = now
        self.suspect_by_digest[digest] = suspect
        self.suspect_by_digest.move_to_end(digest)
        while self.suspect_by_digest:
            oldest = next(iter(self.suspect_by_digest.values()))
            is_expired = now - oldest.changed_ms > EXPIRY_MS
            if not is_expired and len(self) <= MAX_SUSPECTS:
                break
            self.suspect_by_digest.popitem(last=False)

    def reports(self, known, now):
        """``CrashReport``s of all that changed since the revision *known*.

        A revision of another life of this process says nothing: all are told.
        """
        if not self.first_revision <= known <= self.revision:
            known = NO_REVISION
        found = []
        for digest in reversed(self.suspect_by_digest):
            suspect = self.suspect_by_digest[digest]
            if suspect.revision <= known:
                break
            found += _reports_of(digest, suspect, now)
        return found


def _reports_of(digest, suspect, now):
    found = []
    if suspect.void_ms is not None:
        found.append(ttypes.CrashReport(digest, "", now - suspect.void_ms))
    for life, ended_ms in suspect.ended_ms_by_incarnation.items():
        found.append(ttypes.CrashReport(digest, life, now - ended_ms))
    return found
