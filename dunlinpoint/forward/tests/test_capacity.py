"""Streams that find no capacity: how long they wait, and how they are refused.

The demand for experts jumps, and a few decode steps are too long.
"""

import random

import attrs
import pytest
from twisted.internet import task

from dunlinpoint import clock, metrics
from dunlinpoint.admission import retry_after
from dunlinpoint.config import document as config
from dunlinpoint.forward import attempts, capacity, condition, exchange, quarantine
from dunlinpoint.routing import admission_control, endpoint_signals, outage, pick
from dunlinpoint.routing import groups as all_groups
from dunlinpoint.wire.gen.dunlin import ttypes

MEMBER = ttypes.Member(endpoint_id="a", zone="z", slots=6)
MAX_GAP_MS = 120
LATENCY_TARGET_MS = 400
DEADLINE_MS = 8000
SLOTS = 24
ROUTE = config.Route(
    name="r",
    host="h",
    prefix="/",
    kind=config.STREAMING,
    timeout_ms=DEADLINE_MS,
    split=[],
    aim_ms=LATENCY_TARGET_MS,
    pause_ms=MAX_GAP_MS,
)


@attrs.define
class Forwarder:
    """The part of an entry's state that the attempts of a request use."""

    clock: clock.Clock
    service_groups: all_groups.Groups
    picker: pick.Picker = attrs.field(factory=lambda: pick.Picker("z"))
    outages: outage.Outages = attrs.field(factory=outage.Outages)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    counters: metrics.Counters = attrs.field(factory=lambda: metrics.Counters(None))
    uneven_groups: set = attrs.field(factory=set)
    changes: object = None
    overloaded_groups: set = attrs.field(factory=set)
    quarantine: object = attrs.field(factory=lambda: quarantine.Quarantine(None))

    def ring_entries(self, _service, _by_zone):
        return 0

    def members(self, _service):
        return [MEMBER]

    available_groups: object = lambda _service, _now: {"g": [MEMBER]}

    def groups(self, _call):
        return self.service_groups


@attrs.define
class Call:
    deadline_ms: int
    arrived_ms: int = 0
    last_event_ms: int = 0
    queue_key: tuple | None = None
    waited: bool = False
    started: bool = False
    is_over: bool = False
    may_have_run: bool = False
    last_failure: tuple | None = None
    unconfirmed: tuple | None = None
    attempts: int = 0
    request_id: bytes | None = None
    route: config.Route = ROUTE
    service: str = "s"
    streaming: bool = True
    group: str | None = None
    admission_draw: float | None = None
    isolated: frozenset = frozenset()
    tried: set = attrs.field(factory=set)
    disconnected: bool = False
    request: object = None


@pytest.fixture
def entry(monkeypatch):
    """A clock, an entry with nine streams at its group, and the list of outcomes.

    An outcome is ``("sent", ms)`` or ``(reason, ms, status, retry_after_ms)``.
    """
    reactor = task.Clock()
    outcomes = []
    forwarder = Forwarder(clock.Clock(reactor), all_groups.Groups(MAX_GAP_MS))
    forwarder.service_groups.update({"g": 16}, {"g": 16}, SLOTS)
    for _ in range(9):
        forwarder.service_groups.controller("g").began()

    def make_attempt(_forwarder, _call, member):
        outcomes.append(("sent", forwarder.clock.now()))
        return exchange.DONE

    def refused(_forwarder, _request, status, reason, retry_after_ms, **_log_fields):
        outcomes.append((reason, forwarder.clock.now(), status, retry_after_ms))

    monkeypatch.setattr(attempts.exchange, "make_attempt", make_attempt)
    monkeypatch.setattr(capacity.responses, "respond", refused)
    return reactor, forwarder, outcomes


def run_with_steps(reactor, forwarder, call, pause_ms):
    """Run *call* for a second with decode steps of ``pause_ms(now)``."""
    forwarder.service_groups.record_gap("g", pause_ms(0), 0)
    attempts.run(forwarder, call)
    for _ in range(100):
        reactor.advance(0.01)
        now = forwarder.clock.now()
        if now % 50 == 0:
            forwarder.service_groups.record_gap("g", pause_ms(now), now)


def test_a_request_waits_out_a_jump_in_demand(entry):
    reactor, forwarder, outcomes = entry
    run_with_steps(
        reactor, forwarder, Call(DEADLINE_MS), lambda now: 118 if now < 100 else 50
    )
    ((kind, at_ms),) = outcomes
    assert (
        kind == "sent" and 100 <= at_ms < capacity.WAIT_SHARE * LATENCY_TARGET_MS + 50
    )


def test_a_request_is_refused_when_its_wait_times_out(entry):
    reactor, forwarder, outcomes = entry
    run_with_steps(reactor, forwarder, Call(DEADLINE_MS), lambda _now: 118)
    ((reason, at_ms, status, retry_after_ms),) = outcomes
    assert (reason, status) == ("no_room", 503)
    assert at_ms <= capacity.WAIT_SHARE * LATENCY_TARGET_MS + capacity.POLL_INTERVAL_MS
    assert (
        retry_after.WAIT_ENDED_RANGE_MS[0]
        <= retry_after_ms
        <= retry_after.WAIT_ENDED_RANGE_MS[1]
    )


def overload(forwarder):
    """Record six seconds of decode steps just over the limit, up to now."""
    for since_ms in range(6000, -1, -50):
        forwarder.service_groups.record_gap(
            "g", MAX_GAP_MS + 1, forwarder.clock.now() - since_ms
        )


def test_requests_are_refused_at_once_during_a_lasting_overload(entry):
    # Guards against a new draw at each poll, which admits nearly all requests.
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    overload(forwarder)
    now = forwarder.clock.now()
    call = Call(now + DEADLINE_MS, arrived_ms=now, admission_draw=0.5)
    attempts.run(forwarder, call)
    ((reason, at_ms, status, retry_after_ms),) = outcomes
    assert (reason, at_ms, status) == ("overloaded", now, 503)
    assert (
        retry_after.OVERLOAD_RANGE_MS[0]
        <= retry_after_ms
        <= retry_after.OVERLOAD_RANGE_MS[1]
    )
    assert forwarder.overloaded_groups == {("s", "g")}


def test_retry_after_fits_the_caller_deadline(entry):
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    overload(forwarder)
    now = forwarder.clock.now()
    attempts.run(forwarder, Call(now + 3000, arrived_ms=now, admission_draw=0.5))
    ((_reason, _at_ms, _status, retry_after_ms),) = outcomes
    assert retry_after_ms <= 1000


def test_the_end_of_an_overload_is_recorded(entry):
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    overload(forwarder)
    now = forwarder.clock.now()
    attempts.run(forwarder, Call(now + DEADLINE_MS, arrived_ms=now, admission_draw=0.5))
    reactor.advance(admission_control.STALE_MS / 1000 + 0.1)
    now = forwarder.clock.now()
    attempts.run(forwarder, Call(now + DEADLINE_MS, arrived_ms=now, admission_draw=0.5))
    assert outcomes[-1][0] == "sent"
    assert forwarder.overloaded_groups == set()


def test_a_resumed_stream_is_not_refused_during_an_overload(entry):
    # Guards against streams aborted midway while decode steps are long.
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    overload(forwarder)
    now = forwarder.clock.now()
    attempts.run(
        forwarder,
        Call(now + DEADLINE_MS, arrived_ms=now, admission_draw=1.0, group="h"),
    )
    assert outcomes == [("sent", now)]


def test_a_caller_that_disconnects_while_waiting_is_not_sent(entry):
    # Guards against endpoints that generate streams that nobody reads.
    reactor, forwarder, outcomes = entry
    call = Call(DEADLINE_MS)
    reactor.callLater(0.05, setattr, call, "disconnected", True)
    run_with_steps(reactor, forwarder, call, lambda now: 118 if now < 100 else 50)
    assert outcomes == []


def record_short_steps(forwarder):
    """Record a second of decode steps far below the limit, up to now."""
    for since_ms in range(1000, -1, -50):
        forwarder.service_groups.record_gap("g", 50, forwarder.clock.now() - since_ms)


def call_past_target(forwarder, left_ms=DEADLINE_MS - 2000):
    now = forwarder.clock.now()
    return Call(now + left_ms, arrived_ms=now, last_event_ms=now)


def reopen_group(forwarder):
    """Make the group one that has just opened, with short decode steps."""
    forwarder.outages.opened_ms_by_group["g"] = forwarder.clock.now()
    record_short_steps(forwarder)


def fill_slots(forwarder):
    """Add streams until no slot is left for callers past their latency target."""
    while forwarder.service_groups.free_slots(["g"]):
        forwarder.service_groups.controller("g").began()


def test_a_caller_past_its_target_waits_for_a_free_slot(entry):
    # Guards against all callers that waited for the end of an outage starting at once.
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    reopen_group(forwarder)
    fill_slots(forwarder)
    began_ms = forwarder.clock.now()
    attempts.run(forwarder, call_past_target(forwarder))
    attempts.run(forwarder, Call(began_ms + DEADLINE_MS, began_ms, began_ms))
    assert outcomes == [("sent", began_ms)]
    reactor.advance(0.5)
    forwarder.service_groups.controller("g").ended()
    reactor.advance(0.1)
    assert [kind for kind, _ in outcomes] == ["sent", "sent"]
    assert forwarder.service_groups.queue.keys == []


def test_a_queued_caller_is_refused_before_it_disconnects(entry):
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    reopen_group(forwarder)
    fill_slots(forwarder)
    began_ms = forwarder.clock.now()
    attempts.run(forwarder, call_past_target(forwarder))
    for _ in range(50):
        reactor.advance(0.05)
        record_short_steps(forwarder)
    ((reason, at_ms, status, _retry_after_ms),) = outcomes
    assert (reason, status) == ("no_room", 503)
    event_timeout_ms = outage.event_timeout_ms(LATENCY_TARGET_MS, MAX_GAP_MS)
    assert event_timeout_ms / 2 < at_ms - began_ms < event_timeout_ms
    assert forwarder.service_groups.queue.keys == []


def test_a_disconnected_caller_does_not_block_the_queue(entry):
    # Guards against callers that have disconnected but stay in the queue.
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    reopen_group(forwarder)
    fill_slots(forwarder)
    disconnecting, stays = call_past_target(forwarder), call_past_target(forwarder)
    attempts.run(forwarder, disconnecting)
    reactor.advance(0.01)
    stays.last_event_ms = forwarder.clock.now()
    attempts.run(forwarder, stays)
    disconnecting.disconnected = True
    reactor.advance(0.1)
    forwarder.service_groups.controller("g").ended()
    reactor.advance(0.1)
    assert [kind for kind, _ in outcomes] == ["sent"]


def test_long_after_an_outage_callers_are_not_queued(entry):
    # Guards against callers that were refused for another reason and wait for seconds.
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    reopen_group(forwarder)
    reactor.advance(outage.BACKLOG_DRAIN_MS / 1000)
    record_short_steps(forwarder)
    fill_slots(forwarder)
    attempts.run(forwarder, call_past_target(forwarder))
    assert outcomes == [("sent", forwarder.clock.now())]


def test_after_an_outage_callers_with_too_little_time_get_no_slot(entry):
    # Guards against streams that reach their caller's deadline midway and use slots
    # that other callers need.
    reactor, forwarder, outcomes = entry
    reactor.advance(10)
    reopen_group(forwarder)
    began_ms = forwarder.clock.now()
    attempts.run(forwarder, call_past_target(forwarder, outage.TYPICAL_ANSWER_MS - 1))
    ((reason, at_ms, status, _retry_after_ms),) = outcomes
    assert (reason, at_ms, status) == ("no_room", began_ms, 503)


class StalledGroup:
    """Makes the group of *forwarder* stalled until ``opens_ms``."""

    def __init__(self, forwarder, opens_ms):
        self.clock, self.opens_ms = forwarder.clock, opens_ms
        forwarder.available_groups = self.available_groups
        forwarder.changes = condition.Condition(forwarder.clock)

    def available_groups(self, _service, now):
        return {"g": [MEMBER]} if now >= self.opens_ms else {}


@pytest.mark.parametrize("left_ms", [DEADLINE_MS, DEADLINE_MS - 4000])
def test_a_caller_waits_while_its_group_is_stalled(entry, left_ms):
    # Guards against a caller that is refused at once at its first attempt.
    reactor, forwarder, outcomes = entry
    StalledGroup(forwarder, opens_ms=1500)
    attempts.run(forwarder, Call(left_ms))
    for _ in range(40):
        reactor.advance(0.05)
    ((kind, at_ms),) = outcomes
    assert kind == "sent" and at_ms >= 1500


def test_a_caller_gets_a_retry_after_before_it_disconnects(entry):
    reactor, forwarder, outcomes = entry
    StalledGroup(forwarder, opens_ms=60_000)
    attempts.run(forwarder, Call(DEADLINE_MS))
    for _ in range(50):
        reactor.advance(0.05)
    ((reason, at_ms, status, retry_after_ms),) = outcomes
    assert (reason, status) == ("group_stands", 503)
    event_timeout_ms = outage.event_timeout_ms(LATENCY_TARGET_MS, MAX_GAP_MS)
    assert event_timeout_ms / 2 < at_ms < event_timeout_ms
    assert 0 < retry_after_ms <= (DEADLINE_MS - at_ms) / 3


def test_a_caller_refused_as_its_group_stalls_waits_and_retries_late(
    entry, monkeypatch
):
    # Guards against a ``Retry-After`` that ends while the outage still lasts.
    reactor, forwarder, outcomes = entry
    stalled = StalledGroup(forwarder, opens_ms=0)

    def make_attempt(_forwarder, call, _member):
        call.attempts = ROUTE.max_attempts
        stalled.opens_ms = 60_000
        return exchange.NOT_RUN

    monkeypatch.setattr(attempts.exchange, "make_attempt", make_attempt)
    attempts.run(forwarder, Call(DEADLINE_MS))
    assert outcomes == []
    for _ in range(50):
        reactor.advance(0.05)
    ((reason, at_ms, status, retry_after_ms),) = outcomes
    assert (reason, status) == ("group_stands", 503)
    assert at_ms > outage.event_timeout_ms(LATENCY_TARGET_MS, MAX_GAP_MS) / 2
    assert retry_after_ms > (DEADLINE_MS - at_ms) / 4


def test_a_caller_with_too_little_time_does_not_wait(entry):
    # Guards against callers that wait although too little time is left to serve them.
    reactor, forwarder, outcomes = entry
    StalledGroup(forwarder, opens_ms=60_000)
    attempts.run(forwarder, Call(outage.TYPICAL_ANSWER_MS - 1))
    ((reason, at_ms, status, _retry_after_ms),) = outcomes
    assert (reason, at_ms, status) == ("group_stands", 0, 503)


def limit(forwarder, per_s):
    """Set a rate limit for the only endpoint, which has just been sent a request."""
    incarnation, now = pick.incarnation_key(MEMBER), forwarder.clock.now()
    forwarder.picker.signals.apply(
        incarnation, endpoint_signals.Signal(per_s), now, now
    )
    forwarder.picker.signals.sent(incarnation, now)


def test_a_request_waits_for_a_rate_limited_endpoint_if_it_is_soon_available(entry):
    # Guards against refusing callers that would have met their latency target.
    reactor, forwarder, outcomes = entry
    limit(forwarder, per_s=10)
    run_with_steps(reactor, forwarder, Call(DEADLINE_MS), lambda _now: 50)
    ((kind, at_ms),) = outcomes
    assert kind == "sent" and 100 <= at_ms < 120


def rest(forwarder, backoff_ms):
    """Set a backoff for the only endpoint."""
    signal = endpoint_signals.Signal(backoff_ms=backoff_ms)
    forwarder.picker.signals.apply(pick.incarnation_key(MEMBER), signal, 0, 0)


@pytest.mark.parametrize(
    "set_signal, value, available_ms", [(limit, 1, 1000), (rest, 1200, 1200)]
)
def test_a_request_with_too_long_a_wait_is_refused_at_once(
    entry, set_signal, value, available_ms
):
    # Guards against requests that wait too long, and against callers that retry before
    # the endpoint accepts requests.
    reactor, forwarder, outcomes = entry
    set_signal(forwarder, value)
    run_with_steps(reactor, forwarder, Call(DEADLINE_MS), lambda _now: 50)
    ((reason, at_ms, status, retry_after_ms),) = outcomes
    assert (reason, at_ms, status) == ("limited", 0, 503)
    assert available_ms <= retry_after_ms <= 2 * available_ms


def test_retry_after_is_short_if_all_endpoints_are_draining(entry):
    # Guards against a long ``Retry-After`` for endpoints that are shutting down.
    reactor, forwarder, outcomes = entry
    draining = endpoint_signals.Signal(is_draining=True)
    forwarder.picker.signals.apply(pick.incarnation_key(MEMBER), draining, 0, 0)
    run_with_steps(reactor, forwarder, Call(DEADLINE_MS), lambda _now: 50)
    assert outcomes == [("no_endpoint", 0, 503, capacity.responses.RETRY_AFTER_MS)]
