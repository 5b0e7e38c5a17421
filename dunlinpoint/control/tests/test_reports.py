"""Crash reports, passed on by a control from entries to its followers."""

import pytest
from twisted.internet import task

from dunlinpoint import metrics
from dunlinpoint.control import server
from dunlinpoint.wire.gen.dunlin import ttypes

NO_REPORTS_REVISION = 0
REPORT = ttypes.CrashReport(b"d" * 16, "life", 40)


@pytest.fixture
def control():
    """A control without a disk, its handler and its clock."""
    reactor = task.Clock()
    settings = server.Settings("c", "z", "h", 1, None, [("h", 1)], bootstrap=True)
    state = server.State.from_config(settings, reactor, metrics.Counters(None))
    return reactor, state, server.Handler(state)


def poll(control, reports_known, wait_ms=800):
    """A poll of a follower that knows the members and the document."""
    _, state, handler = control
    query = "z", state.membership.revision, 1 << 62, wait_ms, False, ""
    return handler.view(*query, reports_known)


def test_a_report_answers_waiting_polls(control):
    # Failure: an entry learns of a crash only after its poll ends, when the request
    # has already been sent to it again.
    reactor, state, handler = control
    waiting = poll(control, state.suspects.revision)
    reactor.advance(0.1)
    assert not waiting.called
    handler.report([REPORT])
    reply = waiting.result
    assert [(r.digest, r.life) for r in reply.reports] == [(REPORT.digest, "life")]
    assert reply.reports_revision == state.suspects.revision


def test_a_known_report_answers_no_poll(control):
    reactor, state, handler = control
    handler.report([REPORT])
    waiting = poll(control, state.suspects.revision)
    handler.report([REPORT])
    reactor.advance(0.1)
    assert not waiting.called


def test_a_new_entry_gets_all_reports(control):
    _, _, handler = control
    handler.report([REPORT])
    reply = poll(control, NO_REPORTS_REVISION).result
    assert [r.life for r in reply.reports] == ["life"]


def test_followers_without_interest_in_reports_get_none(control):
    # Agents are followers too, on links of a few Mbit/s.
    _, _, handler = control
    handler.report([REPORT])
    reply = poll(control, None, wait_ms=0).result
    assert reply.reports is None and reply.reports_revision is None
