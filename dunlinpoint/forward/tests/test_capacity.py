"""Streams that find no capacity: how long they wait, and how they are refused.

The demand for experts jumps, and a few decode steps are too long.
"""

import random

import attrs
import pytest
from twisted.internet import task

from dunlinpoint import clock, metrics
from dunlinpoint.config import document as config
from dunlinpoint.forward import capacity, exchange, quarantine, tries, waiting
from dunlinpoint.routing import admission_control, endpoint_signals, outage, pick
from dunlinpoint.routing import groups as all_groups
from dunlinpoint.wire.gen.dunlin import ttypes

MEMBER = ttypes.Member(endpoint_id="a", zone="z", slots=6)
ALLOWED_MS = 120
AIM_MS = 400
DEADLINE_MS = 8000
SLOTS = 24
ROUTE = config.Route(
    name="r",
    host="h",
    prefix="/",
    kind=config.STREAMING,
    timeout_ms=DEADLINE_MS,
    split=[],
    aim_ms=AIM_MS,
    pause_ms=ALLOWED_MS,
)


@attrs.define
class Forwarder:
    """The part of an entry's state that the attempts of a request use."""

    clock: clock.Clock
    found: all_groups.Groups
    picker: pick.Picker = attrs.field(factory=lambda: pick.Picker("z"))
    outages: outage.Outages = attrs.field(factory=outage.Outages)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    counters: metrics.Counters = attrs.field(factory=lambda: metrics.Counters(None))
    uneven_groups: set = attrs.field(factory=set)
    waiting: object = None
    overloaded: set = attrs.field(factory=set)
    quarantine: object = attrs.field(factory=lambda: quarantine.Quarantine(None))

    def members(self, _service):
        return [MEMBER]

    open_groups: object = lambda _service, _now: {"g": [MEMBER]}

    def groups(self, _call):
        return self.found


@attrs.define
class Call:
    deadline_ms: int
    arrived_ms: int = 0
    heard_ms: int = 0
    turn: tuple | None = None
    waited: bool = False
    started: bool = False
    over: bool = False
    may_have_run: bool = False
    last_failure: tuple | None = None
    tries: int = 0
    request_id: bytes | None = None
    route: config.Route = ROUTE
    service: str = "s"
    streaming: bool = True
    group: str | None = None
    draw: float | None = None
    is_alone: bool = False
    tried: set = attrs.field(factory=set)
    left: bool = False
    request: object = None


@pytest.fixture
def entry(monkeypatch):
    """A clock, an entry with nine streams at its group, and the list of outcomes.

    An outcome is ``("sent", ms)`` or ``(reason, ms, status, retry_ms)``.
    """
    reactor = task.Clock()
    ends = []
    forward = Forwarder(clock.Clock(reactor), all_groups.Groups(ALLOWED_MS))
    forward.found.update({"g": 16}, {"g": 16}, SLOTS)
    for _ in range(9):
        forward.found.controller("g").began()

    def one_try(_forward, _call, member):
        ends.append(("sent", forward.clock.now()))
        return exchange.DONE

    def refused(_forward, _request, status, reason, retry_ms, **_why):
        ends.append((reason, forward.clock.now(), status, retry_ms))

    monkeypatch.setattr(tries.exchange, "one_try", one_try)
    monkeypatch.setattr(capacity.answers, "answer", refused)
    return reactor, forward, ends


def play(reactor, forward, call, pause_ms):
    """Run *call* for a second with decode steps of ``pause_ms(now)``."""
    forward.found.record_gap("g", pause_ms(0), 0)
    tries.run(forward, call)
    for _ in range(100):
        reactor.advance(0.01)
        now = forward.clock.now()
        if now % 50 == 0:
            forward.found.record_gap("g", pause_ms(now), now)


def test_a_jump_of_demand_is_bridged(entry):
    reactor, forward, ends = entry
    play(reactor, forward, Call(DEADLINE_MS), lambda now: 118 if now < 100 else 50)
    ((kind, at_ms),) = ends
    assert kind == "sent" and 100 <= at_ms < capacity.WAIT_SHARE * AIM_MS + 50


def test_who_could_not_be_in_time_any_more_is_sent_away(entry):
    reactor, forward, ends = entry
    play(reactor, forward, Call(DEADLINE_MS), lambda _now: 118)
    ((reason, at_ms, status, retry_ms),) = ends
    assert (reason, status) == ("no_room", 503)
    assert at_ms <= capacity.WAIT_SHARE * AIM_MS + capacity.POLL_INTERVAL_MS
    assert capacity.RETRY_MS[0] <= retry_ms <= capacity.RETRY_MS[1]


def overload(forward):
    """Record six seconds of decode steps just over the limit, up to now."""
    for since_ms in range(6000, -1, -50):
        forward.found.record_gap("g", ALLOWED_MS + 1, forward.clock.now() - since_ms)


def test_where_long_passes_last_callers_are_sent_away_at_once(entry):
    # Guards against a new draw at each poll, which admits nearly all requests.
    reactor, forward, ends = entry
    reactor.advance(10)
    overload(forward)
    now = forward.clock.now()
    call = Call(now + DEADLINE_MS, arrived_ms=now, draw=0.5)
    tries.run(forward, call)
    ((reason, at_ms, status, retry_ms),) = ends
    assert (reason, at_ms, status) == ("overloaded", now, 503)
    assert capacity.OVERLOAD_RETRY_MS[0] <= retry_ms <= capacity.OVERLOAD_RETRY_MS[1]
    assert forward.overloaded == {("s", "g")}


def test_a_time_to_come_back_is_one_that_the_caller_heeds(entry):
    reactor, forward, ends = entry
    reactor.advance(10)
    overload(forward)
    now = forward.clock.now()
    tries.run(forward, Call(now + 3000, arrived_ms=now, draw=0.5))
    ((_reason, _at_ms, _status, retry_ms),) = ends
    assert retry_ms <= 1000


def test_the_end_of_an_overload_is_told(entry):
    reactor, forward, ends = entry
    reactor.advance(10)
    overload(forward)
    now = forward.clock.now()
    tries.run(forward, Call(now + DEADLINE_MS, arrived_ms=now, draw=0.5))
    reactor.advance(admission_control.STALE_MS / 1000 + 0.1)
    now = forward.clock.now()
    tries.run(forward, Call(now + DEADLINE_MS, arrived_ms=now, draw=0.5))
    assert ends[-1][0] == "sent"
    assert forward.overloaded == set()


def test_a_stream_that_goes_on_elsewhere_is_not_refused_for_long_passes(entry):
    # Guards against streams aborted midway while decode steps are long.
    reactor, forward, ends = entry
    reactor.advance(10)
    overload(forward)
    now = forward.clock.now()
    tries.run(forward, Call(now + DEADLINE_MS, arrived_ms=now, draw=1.0, group="h"))
    assert ends == [("sent", now)]


def test_a_caller_that_left_while_it_waited_is_sent_nowhere(entry):
    # Guards against endpoints that generate streams that nobody reads.
    reactor, forward, ends = entry
    call = Call(DEADLINE_MS)
    reactor.callLater(0.05, setattr, call, "left", True)
    play(reactor, forward, call, lambda now: 118 if now < 100 else 50)
    assert ends == []


def calm(forward):
    """Record a second of decode steps far below the limit, up to now."""
    for since_ms in range(1000, -1, -50):
        forward.found.record_gap("g", 50, forward.clock.now() - since_ms)


def late_call(forward, left_ms=DEADLINE_MS - 2000):
    now = forward.clock.now()
    return Call(now + left_ms, arrived_ms=now, heard_ms=now)


def opened(forward):
    """Make the group one that has just opened, with short decode steps."""
    forward.outages.opened_ms_by_group["g"] = forward.clock.now()
    calm(forward)


def fill(forward):
    """Add streams until no slot is left for callers past their latency target."""
    while forward.found.free_slots(["g"]):
        forward.found.controller("g").began()


def test_a_late_caller_waits_for_a_slot_that_those_in_time_leave(entry):
    # Guards against all callers that waited for the end of an outage starting at once.
    reactor, forward, ends = entry
    reactor.advance(10)
    opened(forward)
    fill(forward)
    began_ms = forward.clock.now()
    tries.run(forward, late_call(forward))
    tries.run(forward, Call(began_ms + DEADLINE_MS, began_ms, began_ms))
    assert ends == [("sent", began_ms)]
    reactor.advance(0.5)
    forward.found.controller("g").ended()
    reactor.advance(0.1)
    assert [kind for kind, _ in ends] == ["sent", "sent"]
    assert forward.found.queue.turns == []


def test_where_no_slot_comes_free_a_late_caller_is_told_before_it_leaves(entry):
    reactor, forward, ends = entry
    reactor.advance(10)
    opened(forward)
    fill(forward)
    began_ms = forward.clock.now()
    tries.run(forward, late_call(forward))
    for _ in range(50):
        reactor.advance(0.05)
        calm(forward)
    ((reason, at_ms, status, _retry_ms),) = ends
    assert (reason, status) == ("no_room", 503)
    event_timeout_ms = outage.event_timeout_ms(AIM_MS, ALLOWED_MS)
    assert event_timeout_ms / 2 < at_ms - began_ms < event_timeout_ms
    assert forward.found.queue.turns == []


def test_a_late_caller_that_left_keeps_nobody_waiting(entry):
    # Guards against callers that have disconnected but stay in the queue.
    reactor, forward, ends = entry
    reactor.advance(10)
    opened(forward)
    fill(forward)
    gone, stays = late_call(forward), late_call(forward)
    tries.run(forward, gone)
    reactor.advance(0.01)
    stays.heard_ms = forward.clock.now()
    tries.run(forward, stays)
    gone.left = True
    reactor.advance(0.1)
    forward.found.controller("g").ended()
    reactor.advance(0.1)
    assert [kind for kind, _ in ends] == ["sent"]


def test_long_after_an_outage_a_late_caller_waits_for_no_turn(entry):
    # Guards against callers that were refused for another reason and wait for seconds.
    reactor, forward, ends = entry
    reactor.advance(10)
    opened(forward)
    reactor.advance(outage.BACKLOG_DRAIN_MS / 1000)
    calm(forward)
    fill(forward)
    tries.run(forward, late_call(forward))
    assert ends == [("sent", forward.clock.now())]


def test_after_an_outage_no_slot_goes_to_who_could_not_be_answered_whole(entry):
    # Guards against streams that reach their caller's deadline midway and use slots
    # that other callers need.
    reactor, forward, ends = entry
    reactor.advance(10)
    opened(forward)
    began_ms = forward.clock.now()
    tries.run(forward, late_call(forward, outage.TYPICAL_ANSWER_MS - 1))
    ((reason, at_ms, status, _retry_ms),) = ends
    assert (reason, at_ms, status) == ("no_room", began_ms, 503)


class Standing:
    """Makes the group of *forward* stalled until ``opens_ms``."""

    def __init__(self, forward, opens_ms):
        self.clock, self.opens_ms = forward.clock, opens_ms
        forward.open_groups = self.open_groups
        forward.waiting = waiting.Waiting(forward.clock)

    def open_groups(self, _service, now):
        return {"g": [MEMBER]} if now >= self.opens_ms else {}


@pytest.mark.parametrize("left_ms", [DEADLINE_MS, DEADLINE_MS - 4000])
def test_a_caller_waits_for_a_standing_group_at_each_try(entry, left_ms):
    # Guards against a caller that is refused at once at its first attempt.
    reactor, forward, ends = entry
    Standing(forward, opens_ms=1500)
    tries.run(forward, Call(left_ms))
    for _ in range(40):
        reactor.advance(0.05)
    ((kind, at_ms),) = ends
    assert kind == "sent" and at_ms >= 1500


def test_a_caller_is_told_when_to_come_back_before_it_would_leave(entry):
    reactor, forward, ends = entry
    Standing(forward, opens_ms=60_000)
    tries.run(forward, Call(DEADLINE_MS))
    for _ in range(50):
        reactor.advance(0.05)
    ((reason, at_ms, status, retry_ms),) = ends
    assert (reason, status) == ("group_stands", 503)
    event_timeout_ms = outage.event_timeout_ms(AIM_MS, ALLOWED_MS)
    assert event_timeout_ms / 2 < at_ms < event_timeout_ms
    assert 0 < retry_ms <= (DEADLINE_MS - at_ms) / 3


def test_who_is_refused_as_its_group_broke_waits_and_comes_back_late(
    entry, monkeypatch
):
    # Guards against a ``Retry-After`` that ends while the outage still lasts.
    reactor, forward, ends = entry
    standing = Standing(forward, opens_ms=0)

    def one_try(_forward, call, _member):
        call.tries = ROUTE.max_attempts
        standing.opens_ms = 60_000
        return exchange.NOT_RUN

    monkeypatch.setattr(tries.exchange, "one_try", one_try)
    tries.run(forward, Call(DEADLINE_MS))
    assert ends == []
    for _ in range(50):
        reactor.advance(0.05)
    ((reason, at_ms, status, retry_ms),) = ends
    assert (reason, status) == ("group_stands", 503)
    assert at_ms > outage.event_timeout_ms(AIM_MS, ALLOWED_MS) / 2
    assert retry_ms > (DEADLINE_MS - at_ms) / 4


def test_who_could_not_be_answered_whole_any_more_is_not_kept_waiting(entry):
    # Guards against callers that wait although too little time is left to serve them.
    reactor, forward, ends = entry
    Standing(forward, opens_ms=60_000)
    tries.run(forward, Call(outage.TYPICAL_ANSWER_MS - 1))
    ((reason, at_ms, status, _retry_ms),) = ends
    assert (reason, at_ms, status) == ("group_stands", 0, 503)


def limit(forward, per_s):
    """Set a rate limit for the only endpoint, which has just been sent a request."""
    life, now = pick.incarnation_key(MEMBER), forward.clock.now()
    forward.picker.signals.apply(life, endpoint_signals.Signal(per_s), now, now)
    forward.picker.signals.sent(life, now)


def test_a_turn_at_a_limited_endpoint_is_waited_for_if_it_is_near(entry):
    # Guards against refusing callers that would have met their latency target.
    reactor, forward, ends = entry
    limit(forward, per_s=10)
    play(reactor, forward, Call(DEADLINE_MS), lambda _now: 50)
    ((kind, at_ms),) = ends
    assert kind == "sent" and 100 <= at_ms < 120


def rest(forward, backoff_ms):
    """Set a backoff for the only endpoint."""
    notice = endpoint_signals.Signal(backoff_ms=backoff_ms)
    forward.picker.signals.apply(pick.incarnation_key(MEMBER), notice, 0, 0)


@pytest.mark.parametrize("tell, value, free_ms", [(limit, 1, 1000), (rest, 1200, 1200)])
def test_who_would_wait_too_long_for_an_endpoint_is_sent_away_at_once(
    entry, tell, value, free_ms
):
    # Guards against requests that wait too long, and against callers that retry before
    # the endpoint accepts requests.
    reactor, forward, ends = entry
    tell(forward, value)
    play(reactor, forward, Call(DEADLINE_MS), lambda _now: 50)
    ((reason, at_ms, status, retry_ms),) = ends
    assert (reason, at_ms, status) == ("limited", 0, 503)
    assert free_ms <= retry_ms <= 2 * free_ms


def test_where_all_leave_callers_come_back_soon(entry):
    # Guards against a long ``Retry-After`` for endpoints that are shutting down.
    reactor, forward, ends = entry
    leaves = endpoint_signals.Signal(is_draining=True)
    forward.picker.signals.apply(pick.incarnation_key(MEMBER), leaves, 0, 0)
    play(reactor, forward, Call(DEADLINE_MS), lambda _now: 50)
    assert ends == [("no_endpoint", 0, 503, capacity.answers.RETRY_AFTER_MS)]
