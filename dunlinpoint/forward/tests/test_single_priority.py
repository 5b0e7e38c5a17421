"""Guards against changed decisions where all routes of a service have one priority.

A seeded sequence of arrivals is played, with short and long steps, an outage, first
attempts, retries and callers past their latency target. The expected digest is that of
the decisions of the code before callers could compete.
"""

import hashlib
import random

from twisted.internet import task

from dunlinpoint import clock
from dunlinpoint.admission import urgency
from dunlinpoint.config import document as config
from dunlinpoint.forward import attempts, capacity, exchange
from dunlinpoint.forward.tests import test_capacity
from dunlinpoint.routing import groups as all_groups

CALLS = 1500
STEP_MS = 20
BEFORE = "defb785f9e14f13d582e3bfe9d9fed91254a8f759953392bc18703a482198f55"


def gap_ms(now):
    """The length of steps: short, a jump, long for seconds, just opened."""
    if now % 9000 < 3000:
        return 50
    if now % 9000 < 3400:
        return 118
    return 124 if now % 9000 < 6000 else 85


def play(monkeypatch):
    """The decisions on a seeded sequence of calls, and the last random number."""
    arrivals = random.Random(7)
    reactor = task.Clock()
    groups = all_groups.Groups(test_capacity.MAX_GAP_MS)
    groups.update({"g": 16}, {"g": 16}, test_capacity.SLOTS)
    forwarder = test_capacity.Forwarder(clock.Clock(reactor), groups)
    decisions = []

    def make_attempt(_forwarder, call, _member):
        decisions.append(("sent", call.request, forwarder.clock.now()))
        return task.deferLater(reactor, 1.5, lambda: exchange.DONE)

    def refused(_forwarder, call_number, status, reason, retry_after_ms, **_fields):
        now = forwarder.clock.now()
        decisions.append((reason, call_number, now, status, round(retry_after_ms, 6)))

    monkeypatch.setattr(attempts.exchange, "make_attempt", make_attempt)
    monkeypatch.setattr(capacity.responses, "respond", refused)
    reactor.advance(1)
    for number in range(CALLS):
        for _ in range(1 + arrivals.randrange(3)):
            reactor.advance(STEP_MS / 1000)
            now = forwarder.clock.now()
            groups.record_gap("g", gap_ms(now), now)
            if now % 9000 == 6000:
                forwarder.outages.opened_ms_by_group["g"] = now
        now = forwarder.clock.now()
        left_ms = test_capacity.DEADLINE_MS - arrivals.choice([0, 0, 0, 900, 2500])
        call = test_capacity.Call(now + left_ms, now, now, request=number)
        attempts.run(forwarder, call)
    return decisions, forwarder.rng.random()


def test_the_decisions_are_those_from_before_callers_could_compete(monkeypatch):
    decisions, last = play(monkeypatch)
    kinds = {decision[0] for decision in decisions}
    assert kinds == {"sent", "no_room", "overloaded"}
    digest = hashlib.sha256(repr((decisions, last)).encode()).hexdigest()
    assert digest == BEFORE


def test_a_service_with_one_priority_has_no_competing_callers():
    share = [config.Share("s")]
    routes = [
        config.Route(name, "h", f"/{name}/", kind, 8000, share, priority=priority)
        for name, kind, priority in [
            ("a", config.STREAMING, 1),
            ("b", config.STREAMING, 1),
            ("c", config.IDEMPOTENT, 2),
        ]
    ]
    workspaces = [config.Workspace("w", priority=0), config.Workspace("x")]
    doc = config.Document(1, "d", workspaces=workspaces, routes=routes)
    assert urgency.competing(doc) == {}
