"""Record of which endpoints crashed while they ran which request.

An endpoint that crashes has several requests in flight, and at most one of them is the
cause. The cause differs from the others in that it crashes each endpoint that runs it:
the others are served when they are retried, and a request that was served once is
cleared. So a request is convicted only when three endpoints have crashed while running
it and none has served it in between.

When a rack fails, a request that its caller sent three times at once may lose all three
endpoints at the same moment. That counts as one event, which does not convict: the next
run, during which the request runs alone, decides.

Reports are kept by digest and the oldest are evicted, so that a flood of different
requests takes a bounded amount of memory.
"""

import collections
import enum

import attrs

from dunlinpoint.control import membership
from dunlinpoint.wire.gen.dunlin import ttypes

MAX_SUSPECTS = 100_000
MAX_INCARNATIONS = 8
# How long a report counts. A caller that still retries after it crashes another
# CONVICTED_CRASHES endpoints.
EXPIRY_MS = 600_000
SUSPECTED_CRASHES = 2
CONVICTED_CRASHES = 3
# Crashes within this time count as one event.
SAME_EVENT_MS = 300
# The revision of a follower that knows nothing: it gets all reports.
NO_REVISION = 0


class SuspectStatus(enum.Enum):
    """Whether a request may run without restriction, only alone, or not at all."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    CONVICTED = "convicted"


@attrs.define
class Suspect:
    """Crashes and clearance of one request; times are in ms of the local clock.

    ``cleared_ms`` is when it was last served or its conviction was lifted: crashes
    before it do not count.
    """

    crashed_ms_by_incarnation: dict = attrs.field(factory=dict)
    cleared_ms: int | None = None
    changed_ms: int = 0
    revision: int = 0

    def suspect_status(self):
        """The ``SuspectStatus`` of the request by the crashes that count."""
        times = self.crashed_ms_by_incarnation.values()
        if len(times) < SUSPECTED_CRASHES:
            return SuspectStatus.CLEAR
        is_several_events = max(times) - min(times) >= SAME_EVENT_MS
        if len(times) >= CONVICTED_CRASHES and is_several_events:
            return SuspectStatus.CONVICTED
        return SuspectStatus.SUSPECTED

    def clear(self, at_ms):
        """Discard crashes up to *at_ms*; return whether that changed anything."""
        if self.cleared_ms is not None and at_ms <= self.cleared_ms:
            return False
        self.cleared_ms = at_ms
        for incarnation, crashed_ms in list(self.crashed_ms_by_incarnation.items()):
            if crashed_ms <= at_ms:
                del self.crashed_ms_by_incarnation[incarnation]
        return True

    def record_crash(self, incarnation, at_ms):
        """Record a crash at *at_ms*; return whether that changed anything."""
        if (
            incarnation in self.crashed_ms_by_incarnation
            or len(self.crashed_ms_by_incarnation) >= MAX_INCARNATIONS
        ):
            return False
        if self.cleared_ms is not None and at_ms <= self.cleared_ms:
            return False
        self.crashed_ms_by_incarnation[incarnation] = at_ms
        return True


@attrs.define
class Registry:
    """Suspects by digest, the most recently changed last.

    ``revision`` grows with each change; ``first_revision`` is the one at the start of
    this process.
    """

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
        """The ``SuspectStatus`` of the request with *digest*."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None or now - suspect.changed_ms > EXPIRY_MS:
            return SuspectStatus.CLEAR
        return suspect.suspect_status()

    def apply_report(self, report, now):
        """Apply a ``CrashReport``; return whether it changed anything."""
        at_ms = now - max(0, report.age_ms)
        suspect = self.suspect_by_digest.get(report.digest)
        if suspect is None:
            suspect = Suspect()
        if report.life:
            is_changed = suspect.record_crash(report.life, at_ms)
        else:
            is_changed = suspect.clear(at_ms)
        if is_changed:
            self._record_change(report.digest, suspect, now)
        return is_changed

    def _record_change(self, digest, suspect, now):
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
        """``CrashReport``s of all changes since the revision *known*.

        A revision of another incarnation of this process has no meaning here: it gets
        all reports.
        """
        if not self.first_revision <= known <= self.revision:
            known = NO_REVISION
        reports = []
        for digest in reversed(self.suspect_by_digest):
            suspect = self.suspect_by_digest[digest]
            if suspect.revision <= known:
                break
            reports += _reports_of(digest, suspect, now)
        return reports


def _reports_of(digest, suspect, now):
    reports = []
    if suspect.cleared_ms is not None:
        reports.append(ttypes.CrashReport(digest, "", now - suspect.cleared_ms))
    for incarnation, crashed_ms in suspect.crashed_ms_by_incarnation.items():
        reports.append(ttypes.CrashReport(digest, incarnation, now - crashed_ms))
    return reports
