"""Record of which endpoints crashed while they ran which request.

Crashes are recorded by digest: of the whole request, of its caller and of each part of
its prompt. An endpoint that crashes has several requests in flight, and at most one of
them is the cause. The cause differs from the others in that it crashes each endpoint
that runs it: the others are served when they are retried, and what was served once is
cleared. So a digest is convicted only when three endpoints have crashed while running
a request with it and none has served one in between. :mod:`cause` compares digests.

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
MAX_INCARNATIONS = 16
# How long a report counts. A caller that still retries after it crashes another
# CONVICTED_CRASHES endpoints.
EXPIRY_MS = 600_000
SUSPECTED_CRASHES = 2
CONVICTED_CRASHES = 3
# Crashes within this time count as one event.
SAME_EVENT_MS = 300
# What was served within this time is proven: it is rather not the cause of a crash.
PROOF_MS = 60_000
MAX_PROVEN = 20_000
# The revision of a follower that knows nothing: it gets all reports.
NO_REVISION = 0


class SuspectStatus(enum.Enum):
    """Whether a request may run without restriction, only alone, or not at all."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    CONVICTED = "convicted"


@attrs.define
class Suspect:
    """Crashes and clearance of one digest; times are in ms of the local clock.

    ``subject`` names what requests share, and is empty for a whole request.
    ``cleared_ms`` is when it was last served or its conviction was lifted: crashes
    before it do not count.
    """

    subject: str = ""

    crashed_ms_by_incarnation: dict = attrs.field(factory=dict)
    cleared_ms: int | None = None
    changed_ms: int = 0
    revision: int = 0

    def suspect_status(self):
        """The ``SuspectStatus`` of the digest by the crashes that count."""
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
        """Record a crash at *at_ms*; return whether that changed anything.

        Only the latest crashes are kept: were it the first, a burst that counts as one
        event would leave no room for the crashes that convict.
        """
        crashes = self.crashed_ms_by_incarnation
        if incarnation in crashes:
            return False
        if self.cleared_ms is not None and at_ms <= self.cleared_ms:
            return False
        if len(crashes) >= MAX_INCARNATIONS:
            oldest = min(crashes, key=crashes.get)
            if at_ms <= crashes[oldest]:
                return False
            del crashes[oldest]
        crashes[incarnation] = at_ms
        return True


@attrs.define
class Registry:
    """Suspects by digest, the most recently changed last.

    ``digests_by_incarnation`` holds, for each endpoint incarnation, the digests with
    its crash, and ``served_ms_by_digest`` when requests with a digest were last served
    here, the most recent last. ``revision`` grows with each change; ``first_revision``
    is the one at the start of this process.
    """

    suspect_by_digest: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    digests_by_incarnation: dict = attrs.field(factory=dict)
    served_ms_by_digest: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    revision: int = attrs.field(factory=membership.first_revision)
    first_revision: int = 0

    def __attrs_post_init__(self):
        self.first_revision = self.revision

    def __len__(self):
        return len(self.suspect_by_digest)

    def find(self, digest, now):
        """The ``Suspect`` with *digest*, or ``None`` if none is recorded lately."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None or now - suspect.changed_ms > EXPIRY_MS:
            return None
        return suspect

    def record_served(self, digest, now):
        """Record that a request with *digest* was served at this process."""
        self.served_ms_by_digest[digest] = now
        self.served_ms_by_digest.move_to_end(digest)
        if len(self.served_ms_by_digest) > MAX_PROVEN:
            self.served_ms_by_digest.popitem(last=False)

    def is_proven(self, digest, now):
        """Whether a request with *digest* was served lately, here or elsewhere."""
        suspect = self.suspect_by_digest.get(digest)
        times = [self.served_ms_by_digest.get(digest)]
        if suspect is not None:
            times.append(suspect.cleared_ms)
        return any(at_ms is not None and now - at_ms <= PROOF_MS for at_ms in times)

    def has_crashes(self, digest):
        """Whether crashes that were not cleared are recorded for *digest*."""
        suspect = self.suspect_by_digest.get(digest)
        return suspect is not None and bool(suspect.crashed_ms_by_incarnation)

    def suspect_status(self, digest, now):
        """The ``SuspectStatus`` of *digest*, compared with no other."""
        suspect = self.find(digest, now)
        return SuspectStatus.CLEAR if suspect is None else suspect.suspect_status()

    def apply_report(self, report, now):
        """Apply a ``CrashReport``; return whether it changed anything."""
        at_ms = now - max(0, report.age_ms)
        suspect = self.suspect_by_digest.get(report.digest)
        if suspect is None:
            suspect = Suspect(report.subject or "")
        before = set(suspect.crashed_ms_by_incarnation)
        if report.life:
            is_changed = suspect.record_crash(report.life, at_ms)
        else:
            is_changed = suspect.clear(at_ms)
        if is_changed:
            after = set(suspect.crashed_ms_by_incarnation)
            self._update_incarnations(report.digest, before, after)
            self._record_change(report.digest, suspect, now)
        return is_changed

    def _update_incarnations(self, digest, before, after):
        """Replace the crashes *before* of *digest* by *after*, sets of incarnations."""
        for incarnation in after - before:
            self.digests_by_incarnation.setdefault(incarnation, set()).add(digest)
        for incarnation in before - after:
            digests = self.digests_by_incarnation[incarnation]
            digests.discard(digest)
            if not digests:
                del self.digests_by_incarnation[incarnation]

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
            digest, suspect = self.suspect_by_digest.popitem(last=False)
            crashes = set(suspect.crashed_ms_by_incarnation)
            self._update_incarnations(digest, crashes, set())

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
    times = list(suspect.crashed_ms_by_incarnation.items())
    if suspect.cleared_ms is not None:
        times.insert(0, ("", suspect.cleared_ms))
    return [
        ttypes.CrashReport(digest, incarnation, now - at_ms, suspect.subject)
        for incarnation, at_ms in times
    ]
