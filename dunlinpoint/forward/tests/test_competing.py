"""Competing callers at an entry: which are sent, and how the others are refused."""

import types

import attrs
import pytest

from dunlinpoint.admission import competition
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.forward import attempts, capacity, state
from dunlinpoint.forward.tests import test_capacity
from dunlinpoint.routing import groups as all_groups
from dunlinpoint.routing import pick

entry = test_capacity.entry
WORKSPACE = config.Workspace("w", priority=1)


@attrs.define
class Call(test_capacity.Call):
    workspace: object = WORKSPACE
    competitor: competition.Caller | None = None


def call_at(forwarder, priority, left_ms=test_capacity.DEADLINE_MS):
    """A call that arrives now, on a route with *priority*."""
    now = forwarder.clock.now()
    route = attrs.evolve(test_capacity.ROUTE, priority=priority)
    return Call(now + left_ms, now, now, route=route)


@pytest.fixture
def competing(entry, monkeypatch):
    """As ``entry``, for competing callers; refusals are also kept as log fields."""
    reactor, forwarder, outcomes = entry
    forwarder.service_groups.competition = competition.Competition()
    refusals = []

    def refused(_forwarder, _request, _status, reason, retry_after_ms, **fields):
        refusals.append({"reason": reason, "retry_after_ms": retry_after_ms, **fields})

    monkeypatch.setattr(capacity.responses, "respond", refused)
    reactor.advance(10)
    return reactor, forwarder, outcomes, refusals


def test_during_an_overload_the_least_urgent_are_refused_most(competing):
    # Guards against the most urgent callers being served worst when capacity is short.
    reactor, forwarder, _outcomes, refusals = competing
    for _ in range(100):
        reactor.advance(0.05)
        now = forwarder.clock.now()
        gap_ms = test_capacity.MAX_GAP_MS + 1 if now % 1000 < 50 else 80
        forwarder.service_groups.record_gap("g", gap_ms, now)
        for priority in range(3):
            attempts.run(forwarder, call_at(forwarder, priority))
    refused = [
        sum(r["urgency"] == f"1-{priority}" for r in refusals if r["cause"] == "share")
        for priority in range(3)
    ]
    assert refused == sorted(refused) and refused[2] > 2 * refused[0]


def test_a_refusal_tells_who_was_refused_and_why(competing):
    _reactor, forwarder, _outcomes, refusals = competing
    competing_ = forwarder.service_groups.competition
    test_capacity.overload(forwarder)
    for _ in range(40):
        attempts.run(forwarder, call_at(forwarder, 2))
        forwarder.service_groups.record_gap("g", 121, forwarder.clock.now())
        competing_.share_by_group["g"].average.value = 0.4
    refusal = refusals[-1]
    assert refusal["reason"] == "overloaded" and refusal["cause"] == "share"
    assert (refusal["urgency"], refusal["workspace"]) == ("1-2", "w")
    assert refusal["draw"] >= refusal["share"] and not refusal["returned"]
    assert forwarder.counters.by_name["refused_by_urgency.1-2.share"] == len(refusals)


def test_the_most_urgent_that_waits_is_sent_first(competing):
    reactor, forwarder, outcomes, _refusals = competing
    groups = forwarder.service_groups
    groups.record_gap("g", 118, forwarder.clock.now())
    calls = [call_at(forwarder, priority) for priority in (2, 0)]
    for call in calls:
        attempts.run(forwarder, call)
    assert outcomes == []
    reactor.advance(0.16)
    groups.record_gap("g", 50, forwarder.clock.now())
    # The less urgent one polls first, and what it draws goes to the other.
    seen = {"g": [test_capacity.MEMBER]}
    results = [
        capacity.find_group(forwarder, call, seen, forwarder.clock.now())
        for call in calls
    ]
    assert results == [capacity.JoinResult.FULL, capacity.JoinResult.JOINED]


def test_a_caller_that_disconnects_while_it_waits_is_forgotten(competing):
    # Guards against capacity that is kept for callers that have disconnected.
    reactor, forwarder, _outcomes, _refusals = competing
    forwarder.service_groups.record_gap("g", 118, forwarder.clock.now())
    call = call_at(forwarder, 0)
    attempts.run(forwarder, call)
    call.disconnected = True
    reactor.advance(0.1)
    assert forwarder.service_groups.competition.caller_by_key == {}


def document(priorities, version):
    routes = [
        attrs.evolve(
            test_capacity.ROUTE,
            name=f"r{i}",
            prefix=f"/{i}/",
            split=[config.Share("s")],
            priority=priority,
        )
        for i, priority in enumerate(priorities)
    ]
    doc = config.Document(1, "d", services=[config.Service("s")], routes=routes)
    body = packed.pack(config.dump(doc))
    return types.SimpleNamespace(body=body, version=version)


def test_callers_compete_as_long_as_the_document_has_several_priorities():
    # Guards against a service that keeps its earlier way of admission.
    forwarder = state.Forwarder(*[None] * 4, pick.Picker("z"), *[None] * 2)
    groups = forwarder.groups_by_service["s"] = all_groups.Groups(120)
    found = []
    for version, priorities in enumerate([[1, 1], [0, 1], [0, 2], [1, 1]], 1):
        forwarder.apply_document(document(priorities, version))
        found.append(groups.competition)
    assert found[0] is None and found[3] is None
    assert found[1] is not None and found[1] is found[2]
