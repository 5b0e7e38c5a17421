"""What an unmarked end tells of the endpoint."""

import types

import pytest
from twisted.internet import defer

from dunlinpoint import http_heads
from dunlinpoint.forward import responses, unmarked_ends
from dunlinpoint.routing import pick
from dunlinpoint.wire.gen.dunlin import ttypes

MEMBER = ttypes.Member(endpoint_id="a", host="h", port=1)
NOW_MS = 1000


def failures_after(status):
    """The failures on record of an endpoint that failed and then answers *status*."""
    picker = pick.Picker("z1")
    picker.failed(pick.incarnation_key(MEMBER), NOW_MS)
    forwarder = types.SimpleNamespace(
        clock=types.SimpleNamespace(now=lambda: NOW_MS),
        crash_checks=types.SimpleNamespace(
            has_crashed=lambda member, limit_ms: defer.succeed(False)
        ),
        view=types.SimpleNamespace(is_leaving=lambda endpoint_id: False),
        counters=types.SimpleNamespace(incr=lambda name: None),
        outages=types.SimpleNamespace(data_received=lambda member: None),
        picker=picker,
    )
    head = types.SimpleNamespace(code=status)
    plain = responses.PlainAnswer(head, (), 0, False)
    answer = unmarked_ends.UnmarkedAnswer(
        MEMBER, plain, http_heads.Framing.CLOSE, 0, False, 0
    )
    call = types.SimpleNamespace(
        deadline_ms=NOW_MS * 2,
        request_id=b"r",
        events=types.SimpleNamespace(count=0),
    )
    unmarked_ends.judge(forwarder, call, answer)
    return picker.record(pick.incarnation_key(MEMBER)).failures


@pytest.mark.parametrize("status, failures", [(200, 0), (500, 1), (503, 1)])
def test_only_an_answer_without_failure_clears_the_record(status, failures):
    # Guards against an endpoint that is no longer avoided because it marks no ends of
    # its failures.
    assert failures_after(status) == failures
