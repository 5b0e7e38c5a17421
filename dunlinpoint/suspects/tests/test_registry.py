"""Detection of requests that crash the endpoints that run them.

Guards against one request taking down a group of ranks again and again: an endpoint
crashes when it begins to run the request, its group is stalled for seconds, the caller
retries at any entry, and the next endpoint crashes, unless the crashes are recorded
beyond the attempt.
"""

import pytest

from dunlinpoint.suspects import digest, registry
from dunlinpoint.wire.gen.dunlin import ttypes

CRASHING = b"g" * digest.DIGEST_BYTES
CLEAR = registry.SuspectStatus.CLEAR
SUSPECTED = registry.SuspectStatus.SUSPECTED
CONVICTED = registry.SuspectStatus.CONVICTED


def crashed(incarnation, age_ms=0, name=CRASHING):
    return ttypes.CrashReport(name, incarnation, age_ms)


def served(age_ms=0, name=CRASHING):
    return ttypes.CrashReport(name, "", age_ms)


def known(*incarnations, every_ms=2000):
    """A registry with crashes of *incarnations*, and the time of the last one."""
    found, now = registry.Registry(), 0
    for now in range(0, every_ms * len(incarnations), every_ms):
        found.apply_report(crashed(incarnations[now // every_ms]), now)
    return found, now


def test_three_separate_crashes_convict():
    statuses = [
        known(*incarnations)[0].suspect_status(CRASHING, 10_000)
        for incarnations in ("", "a", "ab", "abc")
    ]
    assert statuses == [CLEAR, CLEAR, SUSPECTED, CONVICTED]


def test_repeated_reports_of_one_crash_count_once():
    found, now = known("a", "a", "a", "a")
    assert found.suspect_status(CRASHING, now) is CLEAR


def test_a_failed_rack_convicts_no_request():
    # Guards against harmless requests refused for minutes after a rack failed: a caller
    # sends each request three times at once to endpoints that are all in the rack, and
    # one event is counted three times.
    found = registry.Registry()
    for number, incarnation in enumerate("abc"):
        found.apply_report(crashed(incarnation), 50 * number)
    assert found.suspect_status(CRASHING, 200) is SUSPECTED
    found.apply_report(crashed("d"), 5000)
    assert found.suspect_status(CRASHING, 5000) is CONVICTED


def test_a_request_that_was_served_is_cleared():
    # A frequent lookup is in flight at every endpoint that crashes.
    found, now = known("a", "b")
    found.apply_report(served(), now + 1)
    found.apply_report(crashed("c"), now + 2)
    assert found.suspect_status(CRASHING, now + 2) is CLEAR


def test_a_delayed_report_from_before_the_clearance_does_not_count():
    found, now = known("a", "b")
    found.apply_report(served(), now)
    assert not found.apply_report(crashed("c", age_ms=500), now + 100)
    assert found.suspect_status(CRASHING, now + 100) is CLEAR


def test_a_conviction_expires():
    found, now = known("a", "b", "c")
    assert found.suspect_status(CRASHING, now + registry.EXPIRY_MS) is CONVICTED
    assert found.suspect_status(CRASHING, now + registry.EXPIRY_MS + 1) is CLEAR


def test_a_flood_of_requests_takes_bounded_memory(monkeypatch):
    monkeypatch.setattr(registry, "MAX_SUSPECTS", 10)
    found = registry.Registry()
    for number in range(100):
        found.apply_report(crashed("a", name=b"%d" % number), number)
    assert list(found.suspect_by_digest) == [
        b"%d" % number for number in range(90, 100)
    ]


def test_a_follower_gets_the_changes_since_its_revision():
    found, now = known("a", "b")
    revision = found.revision
    assert found.reports(revision, now) == []
    found.apply_report(crashed("c", name=b"other"), now)
    (report,) = found.reports(revision, now)
    assert (report.digest, report.life, report.age_ms) == (b"other", "c", 0)


@pytest.mark.parametrize("revision", [registry.NO_REVISION, 1, 1 << 62])
def test_a_revision_of_another_incarnation_gets_all_reports(revision):
    # Guards against entries that never get a control's reports: the control restarts,
    # and its followers ask from a revision of the incarnation before.
    found, now = known("a", "b")
    follower = registry.Registry()
    for report in found.reports(revision, now):
        follower.apply_report(report, now)
    assert follower.suspect_status(CRASHING, now) is SUSPECTED


def test_the_digest_differs_between_callers():
    # Guards against a caller that has another's requests refused by sending the same
    # request until it has crashed enough endpoints.
    asked = b"POST", b"/a/b", b"brand-a", b"body"
    assert digest.of_request(*asked) == digest.of_request(*asked)
    others = [
        (b"GET", b"/a/b", b"brand-a", b"body"),
        (b"POST", b"/a/b?c", b"brand-a", b"body"),
        (b"POST", b"/a/b", b"brand-b", b"body"),
        (b"POST", b"/a/b", b"brand-", b"abody"),
    ]
    assert len({digest.of_request(*other) for other in [asked, *others]}) == 5
