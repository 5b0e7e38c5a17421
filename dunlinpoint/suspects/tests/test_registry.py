"""Detection of requests that crash the endpoints that run them.

Guards against one request taking down a group of ranks again and again: an endpoint
crashes when it begins to run the request, its group is stalled for seconds, the caller
retries at any entry, and the next endpoint crashes, unless the crashes are recorded
beyond the attempt.
"""

import pytest

from dunlinpoint.suspects import digest, registry
from dunlinpoint.wire.gen.dunlin import ttypes

GUILTY = b"g" * digest.DIGEST_BYTES
CLEAR = registry.SuspectStatus.CLEAR
SUSPECTED = registry.SuspectStatus.SUSPECTED
CONVICTED = registry.SuspectStatus.CONVICTED


def ended(life, age_ms=0, name=GUILTY):
    return ttypes.CrashReport(name, life, age_ms)


def served(age_ms=0, name=GUILTY):
    return ttypes.CrashReport(name, "", age_ms)


def known(*lives, every_ms=2000):
    """A register with crashes of *lives* under one request, and the last one's time."""
    found, now = registry.Registry(), 0
    for now in range(0, every_ms * len(lives), every_ms):
        found.apply_report(ended(lives[now // every_ms]), now)
    return found, now


def test_three_ends_apart_in_time_convict():
    standings = [
        known(*lives)[0].suspect_status(GUILTY, 10_000)
        for lives in ("", "a", "ab", "abc")
    ]
    assert standings == [CLEAR, CLEAR, SUSPECTED, CONVICTED]


def test_one_end_told_by_many_is_one():
    found, now = known("a", "a", "a", "a")
    assert found.suspect_status(GUILTY, now) is CLEAR


def test_a_rack_that_falls_convicts_nobody():
    # Guards against harmless requests refused for minutes after a rack failed: a caller
    # sends each request three times at once to endpoints that are all in the rack, and
    # one event is counted three times.
    found = registry.Registry()
    for number, life in enumerate("abc"):
        found.apply_report(ended(life), 50 * number)
    assert found.suspect_status(GUILTY, 200) is SUSPECTED
    found.apply_report(ended("d"), 5000)
    assert found.suspect_status(GUILTY, 5000) is CONVICTED


def test_a_request_that_was_served_is_cleared():
    # A frequent lookup is in flight at every endpoint that crashes.
    found, now = known("a", "b")
    found.apply_report(served(), now + 1)
    found.apply_report(ended("c"), now + 2)
    assert found.suspect_status(GUILTY, now + 2) is CLEAR


def test_an_end_from_before_it_was_served_that_is_told_late_does_not_count():
    found, now = known("a", "b")
    found.apply_report(served(), now)
    assert not found.apply_report(ended("c", age_ms=500), now + 100)
    assert found.suspect_status(GUILTY, now + 100) is CLEAR


def test_a_conviction_expires():
    found, now = known("a", "b", "c")
    assert found.suspect_status(GUILTY, now + registry.EXPIRY_MS) is CONVICTED
    assert found.suspect_status(GUILTY, now + registry.EXPIRY_MS + 1) is CLEAR


def test_a_flood_of_requests_costs_a_bounded_memory(monkeypatch):
    monkeypatch.setattr(registry, "MAX_SUSPECTS", 10)
    found = registry.Registry()
    for number in range(100):
        found.apply_report(ended("a", name=b"%d" % number), number)
    assert list(found.suspect_by_digest) == [
        b"%d" % number for number in range(90, 100)
    ]


def test_a_follower_is_told_what_it_does_not_know():
    found, now = known("a", "b")
    revision = found.revision
    assert found.reports(revision, now) == []
    found.apply_report(ended("c", name=b"other"), now)
    (report,) = found.reports(revision, now)
    assert (report.digest, report.life, report.age_ms) == (b"other", "c", 0)


@pytest.mark.parametrize("revision", [registry.NO_REVISION, 1, 1 << 62])
def test_a_follower_that_knows_another_life_of_the_control_is_told_all(revision):
    # Guards against entries that never get a control's reports: the control restarts,
    # and its followers ask from a revision of the incarnation before.
    found, now = known("a", "b")
    heard = registry.Registry()
    for report in found.reports(revision, now):
        heard.apply_report(report, now)
    assert heard.suspect_status(GUILTY, now) is SUSPECTED


def test_the_same_request_of_another_caller_is_another_one():
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
