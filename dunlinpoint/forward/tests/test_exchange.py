"""The priority of a request that is sent to an endpoint, and the gaps of its stream."""

import types

import attrs
import pytest
from twisted.internet import task
from twisted.web import http_headers

from dunlinpoint import clock, metrics
from dunlinpoint.config import document as config
from dunlinpoint.forward import bodies, events, exchange, quarantine, state
from dunlinpoint.routing import backpressure, outage, pick
from dunlinpoint.wire.gen.dunlin import ttypes

TIMEOUT_MS = 8000
LATENCY_TARGET_MS = 400


class Call:
    """A request on a route with a given priority, of a workspace or of none."""

    streaming = True
    deadline_ms = TIMEOUT_MS

    def __init__(self, route, workspace=None):
        self.route = config.Route(
            "r",
            "h",
            "/",
            "streaming",
            TIMEOUT_MS,
            [config.Share("s")],
            aim_ms=LATENCY_TARGET_MS,
            priority=route,
        )
        self.workspace = workspace


@pytest.mark.parametrize(
    "route, workspace, expected",
    [
        (3, None, 3),
        (3, config.Workspace("w"), 3),
        (3, config.Workspace("w", priority=0), 0),
        (40, None, 9),
        (3, config.Workspace("w", priority=-2), 0),
    ],
)
def test_the_workspace_priority_overrides_the_route_priority(
    route, workspace, expected
):
    # Guards against a workspace priority in the document that is not sent to endpoints.
    assert exchange.priority_of(Call(route, workspace), now=0) == expected


def test_a_request_past_its_target_has_lower_priority_than_all_others():
    # Guards against callers that miss their latency target because of callers that
    # waited for the end of an outage and have already missed theirs.
    late = [exchange.priority_of(Call(p), now=LATENCY_TARGET_MS + 1) for p in range(5)]
    in_time = [exchange.priority_of(Call(p), now=LATENCY_TARGET_MS) for p in range(5)]
    assert min(late) > max(in_time)
    assert late == sorted(late)


class Response:
    """An endpoint's response whose body the test delivers."""

    code, phrase, headers = 200, b"OK", http_headers.Headers()

    def deliverBody(self, reader):
        self.reader = reader


@attrs.define
class Gaps:
    """The gaps that were recorded, in ms."""

    gaps: list = attrs.field(factory=list)

    def record_gap(self, group, gap_ms, now):
        self.gaps.append(gap_ms)


class Request:
    """A caller's request whose answer is counted as unread."""

    def __init__(self, caller):
        self.caller = caller
        self.responseHeaders = http_headers.Headers()

    def setResponseCode(self, code, phrase):
        pass

    def write(self, data):
        self.caller.wrote(len(data), now=0)


def test_gaps_are_not_recorded_once_the_entry_has_paused_the_endpoint():
    # Guards against an admission control that takes a group for overloaded, or for
    # idle, because a caller reads slowly: no event is read during a pause, and all that
    # have accumulated are read at once after it.
    reactor = task.Clock()
    gaps, caller = Gaps(), backpressure.CallerBuffer()
    forwarder = types.SimpleNamespace(
        clock=clock.Clock(reactor),
        counters=metrics.Counters(None),
        picker=pick.Picker("z"),
        outages=outage.Outages(),
        quarantine=quarantine.Quarantine(None),
        groups=lambda call: gaps,
    )
    call = state.Call(
        request=Request(caller),
        route=None,
        service="s",
        workspace=None,
        deadline_ms=0,
        request_id=None,
        events=events.EventStream(),
        streaming=True,
        caller=caller,
    )
    member = ttypes.Member(endpoint_id="a", host="h", port=1)
    connection = types.SimpleNamespace(
        pause=lambda: None,
        resume=lambda: None,
        has_sent_all=lambda: False,
        was_closed_in_order=True,
    )
    head = Response()
    ended = bodies.relay(forwarder, call, member, connection, head)
    for size in (1, 1, 2 * backpressure.MAX_UNREAD_BYTES):
        reactor.advance(0.04)
        head.reader.dataReceived(b"x" * size + b"\n\n")
    assert call.source.is_paused
    reactor.advance(3)
    caller.sent(caller.unread, forwarder.clock.now())
    for _ in range(5):
        head.reader.dataReceived(b"x\n\n")
    head.reader.connectionLost(types.SimpleNamespace(check=lambda *kinds: True))
    assert ended.called
    assert gaps.gaps == [40, 40]
    assert call.source.connection is None
