"""Which requests are refused for crashes that several digests have in common."""

import pytest

from dunlinpoint.suspects import cause, registry
from dunlinpoint.wire.gen.dunlin import ttypes

CLEAR = registry.SuspectStatus.CLEAR
SUSPECTED = registry.SuspectStatus.SUSPECTED
CONVICTED = registry.SuspectStatus.CONVICTED
EVERY_MS = 2000
FAULTY, SHARED, OTHER = b"faulty", b"shared", b"other"


def crashed(*requests, proven=()):
    """A registry after a crash under each of *requests*, tuples of digests; the time.

    The *proven* digests were served before the first crash.
    """
    known, now = registry.Registry(), 0
    for digest in proven:
        known.record_served(digest, now)
    for number, digests in enumerate(requests):
        now += EVERY_MS
        for digest in digests:
            report = ttypes.CrashReport(digest, f"i-{number}", 0, "part")
            known.apply_report(report, now)
    return known, now


def serve(known, digest, now):
    known.apply_report(ttypes.CrashReport(digest, "", 0, "part"), now)


def test_only_a_request_with_all_possible_causes_is_refused():
    # Guards against sound requests refused for a part that always came along with the
    # faulty one, which nothing clears as long as they are refused.
    known, now = crashed(*[(FAULTY, SHARED)] * 3)
    assert cause.judge(known, (FAULTY, SHARED, OTHER), now).status is CONVICTED
    tested = cause.judge(known, (SHARED, OTHER), now)
    assert (tested.status, tested.isolated) == (SUSPECTED, {SHARED})
    assert cause.judge(known, (OTHER,), now) == cause.CLEAR


def test_what_is_served_leaves_the_faulty_part_alone():
    known, now = crashed(*[(FAULTY, SHARED)] * 3)
    serve(known, SHARED, now + 1)
    assert cause.judge(known, (SHARED,), now + 1) == cause.CLEAR
    assert cause.judge(known, (FAULTY, OTHER), now + 1).status is CONVICTED


def test_the_crashes_of_tests_leave_the_faulty_part_alone():
    known, now = crashed(*[(FAULTY, SHARED)] * 3, *[(FAULTY, OTHER)] * 2)
    assert cause.judge(known, (FAULTY,), now).status is CONVICTED
    assert cause.judge(known, (SHARED,), now) == cause.CLEAR


def test_what_was_served_lately_is_no_cause():
    known, now = crashed(*[(FAULTY, SHARED)] * 3, proven=[SHARED])
    assert cause.judge(known, (FAULTY, OTHER), now).status is CONVICTED
    assert cause.judge(known, (SHARED, OTHER), now) == cause.CLEAR


def test_one_lost_report_does_not_convict_what_came_along():
    known, now = crashed((SHARED,), (FAULTY, SHARED), (FAULTY, SHARED))
    assert cause.judge(known, (SHARED, OTHER), now).status is SUSPECTED
    assert cause.judge(known, (FAULTY, SHARED), now).status is CONVICTED


@pytest.mark.parametrize(
    "crashes, status",
    [
        (3, SUSPECTED),
        (cause.PROVEN_CONVICTED_CRASHES - 1, SUSPECTED),
        (cause.PROVEN_CONVICTED_CRASHES, CONVICTED),
    ],
)
def test_a_part_that_turns_faulty_is_convicted_after_more_crashes(crashes, status):
    # A new release of the engines crashes under a part that they were served before.
    known, now = crashed(*[(SHARED,)] * crashes, proven=[SHARED])
    assert cause.judge(known, (SHARED,), now).status is status


def test_one_event_convicts_nothing():
    known, now = registry.Registry(), 0
    for number in range(3):
        known.apply_report(ttypes.CrashReport(FAULTY, f"i-{number}", 0, "part"), now)
    assert cause.judge(known, (FAULTY,), now).status is SUSPECTED


def test_dropped_suspects_leave_no_trace(monkeypatch):
    # Guards against memory that grows with the number of requests under a crash.
    monkeypatch.setattr(registry, "MAX_SUSPECTS", 2)
    known, _ = crashed(*[(b"%d" % number,) for number in range(10)])
    assert len(known.digests_by_incarnation) == 2
