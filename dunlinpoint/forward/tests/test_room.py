"""Streams that find no room: how long they wait, and what they are told.

Pattern: demand for experts jumps, and passes are too long for a few of them.
"""

import random

import attrs
import pytest
from twisted.internet import task

from dunlinpoint import clock, metrics
from dunlinpoint.config import document as config
from dunlinpoint.forward import exchange, tries
from dunlinpoint.routing import groups as all_groups
from dunlinpoint.routing import outage, pick
from dunlinpoint.wire.gen.dunlin import ttypes

MEMBER = ttypes.Member(endpoint_id="a", zone="z", slots=6)
ALLOWED_MS = 120
AIM_MS = 400
DEADLINE_MS = 8000
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
class Forward:
    """What the tries of a request need of an entry."""

    clock: clock.Clock
    found: all_groups.Groups
    picker: pick.Picker = attrs.field(factory=lambda: pick.Picker("z"))
    outages: outage.Outages = attrs.field(factory=outage.Outages)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    counters: metrics.Counters = attrs.field(factory=lambda: metrics.Counters(None))
    uneven_groups: set = attrs.field(factory=set)

    def members(self, _service):
        return [MEMBER]

    def open_groups(self, _service, _now):
        return {"g": [MEMBER]}

    def groups(self, _call):
        return self.found


@attrs.define
class Call:
    deadline_ms: int
    arrived_ms: int = 0
    route: config.Route = ROUTE
    service: str = "s"
    streaming: bool = True
    group: str | None = None
    tried: set = attrs.field(factory=set)
    left: bool = False
    request: object = None


@pytest.fixture
def entry(monkeypatch):
    """An entry whose group makes passes of the longest allowed length, and its ends."""
    reactor = task.Clock()
    ends = []
    forward = Forward(clock.Clock(reactor), all_groups.Groups(ALLOWED_MS))
    forward.found.learn({"g": 16}, {"g": 16})
    for _ in range(9):
        forward.found.pace("g").began()

    def one_try(_forward, _call, member):
        ends.append(("sent", forward.clock.now()))
        return exchange.DONE

    def refused(_forward, _request, status, reason, retry_ms, **_why):
        ends.append((reason, forward.clock.now(), status, retry_ms))

    monkeypatch.setattr(tries.exchange, "one_try", one_try)
    monkeypatch.setattr(tries.answers, "answer", refused)
    return reactor, forward, ends


def play(reactor, forward, call, pause_ms):
    """Have *call* tried for a second with passes of ``pause_ms(now)``."""
    forward.found.saw("g", pause_ms(0), 0)
    tries.run(forward, call)
    for _ in range(100):
        reactor.advance(0.01)
        now = forward.clock.now()
        if now % 50 == 0:
            forward.found.saw("g", pause_ms(now), now)


def test_a_jump_of_demand_is_bridged(entry):
    reactor, forward, ends = entry
    play(reactor, forward, Call(DEADLINE_MS), lambda now: 118 if now < 100 else 50)
    ((kind, at_ms),) = ends
    assert kind == "sent" and 100 <= at_ms < tries.ROOM_WAIT_SHARE * AIM_MS + 50


def test_who_could_not_be_in_time_any_more_is_sent_away(entry):
    reactor, forward, ends = entry
    play(reactor, forward, Call(DEADLINE_MS), lambda _now: 118)
    ((reason, at_ms, status, retry_ms),) = ends
    assert (reason, status) == ("no_room", 503)
    assert at_ms <= tries.ROOM_WAIT_SHARE * AIM_MS + tries.ROOM_LOOK_MS
    assert tries.ROOM_MS[0] <= retry_ms <= tries.ROOM_MS[1]


def test_a_caller_that_left_while_it_waited_is_sent_nowhere(entry):
    # Symptom: endpoints work on streams that nobody reads. Sequence: a caller leaves
    # while its request waits for room, and room comes. Cause: not looking again.
    reactor, forward, ends = entry
    call = Call(DEADLINE_MS)
    reactor.callLater(0.05, setattr, call, "left", True)
    play(reactor, forward, call, lambda now: 118 if now < 100 else 50)
    assert ends == []
