"""The decisions among competing callers, each for itself."""

import random

import pytest

from dunlinpoint.admission import (
    competition,
    division,
    mix,
    retry_after,
    urgency,
    waiting,
    workspaces,
)
from dunlinpoint.config import document as config

NOW = 100_000


def route(priority, kind=config.STREAMING, service="s"):
    name = f"{service}{priority}{kind}"
    split = [config.Share(service)]
    return config.Route(name, "h", f"/{name}/", kind, 8000, split, priority=priority)


def test_a_workspace_priority_comes_before_that_of_the_route():
    calls = [
        (route(0), None),
        (route(0), config.Workspace("w", priority=1)),
        (route(2), config.Workspace("w", priority=0)),
        (route(1), config.Workspace("w")),
    ]
    assert [urgency.of(*call) for call in calls] == [(0, 0), (1, 0), (0, 2), (1, 1)]


def test_callers_compete_only_where_streams_have_several_priorities():
    routes = [route(0, service="a"), route(1, service="a"), route(1, service="b")]
    routes += [route(2, kind=config.IDEMPOTENT, service="b")]
    workspaces_ = [config.Workspace("w", priority=1), config.Workspace("x")]
    found = urgency.competing(
        config.Document(1, "d", routes=routes, workspaces=workspaces_)
    )
    assert {name: u.in_order for name, u in found.items()} == {
        "a": ((0, 0), (1, 0), (1, 1))
    }


@pytest.mark.parametrize("count", [2, 6, 12])
def test_the_header_follows_the_urgency_and_callers_past_their_target_come_last(count):
    # Guards against an order at engines that is not that of the entries.
    pairs = tuple((own, priority) for own in range(2) for priority in range(count))
    found = urgency.Urgencies(pairs)
    in_target, past = (
        [found.header_priority(pair, is_past) for pair in pairs]
        for is_past in (False, True)
    )
    assert in_target == sorted(in_target) and past == sorted(past)
    assert in_target[0] == 0 and max(in_target) < min(past) and max(past) <= 9
    assert found.header_priority((9, 9), False) == in_target[-1]


DEMANDS = {
    (1, 0): division.Demand(8, 1),
    (1, 1): division.Demand(10, 2),
    (1, 2): division.Demand(4, 3, reduced=1.5),
}


@pytest.mark.parametrize("share", [0.0, 0.1, 0.3, 0.6, 0.8, 0.95, 1.0])
def test_the_division_decides_who_and_not_how_many(share):
    # Guards against more load of a group by the division.
    shares = division.divide(share, DEMANDS)
    admitted = total = 0
    for key, demand in DEMANDS.items():
        own = shares[key]
        got = own.newcomers * demand.newcomers + own.returning * demand.returning
        assert got >= division.KEPT_FRACTION * share * (demand.total - demand.reduced)
        # The preference for newcomers ends where all of them are admitted.
        wanted = division.RETURNING_FACTOR * own.newcomers
        if own.newcomers < 1:
            assert own.returning == pytest.approx(wanted)
        else:
            assert own.returning >= wanted - 1e-9
        admitted += got
        total += demand.total
    # A reduced workspace gets less than the shares of its urgency.
    most = share * total + sum(d.reduced for d in DEMANDS.values())
    assert admitted <= most + 1e-9
    in_order = [shares[key].newcomers for key in sorted(shares)]
    assert in_order[:2] == sorted(in_order[:2], reverse=True)


def test_waiting_callers_go_by_urgency_except_one_of_each_owed_urgency():
    # Guards against less urgent callers that are passed over without end.
    order = waiting.Order()
    keys = {(0, 0): [(1,), (2,)], (1, 0): [(3,)], (1, 1): [(4,), (5,)]}
    for level, own in keys.items():
        for key in reversed(own):
            order.enter(level, key)

    def positions(owed):
        return [order.ahead_of(level, k, owed) for level in keys for k in keys[level]]

    assert positions([]) == [0, 1, 2, 3, 4]
    assert positions([(1, 1)]) == [1, 2, 3, 0, 4]
    assert order.first([(1, 1)]) == (4,) and order.first([(2, 2)]) == (1,)
    order.leave((1, 1), (4,))
    order.leave((1, 1), (4,))
    assert order.first([(1, 1)]) == (5,)


def caller(level=0, is_retry=False, draw=0.5, workspace="w"):
    return competition.Caller((1, level), workspace, is_retry, draw)


def waiting_callers(found, callers):
    for each in callers:
        found.arrive(each, 0, NOW)
        assert found.take(each, None, NOW) is None
    return callers


def test_what_a_caller_draws_goes_to_the_first_that_waits():
    # Guards against capacity that goes to the caller that polls most often.
    found = competition.Competition()
    late, newcomer, urgent, returning = waiting_callers(
        found, [caller(2), caller(0), caller(0), caller(0, is_retry=True)]
    )
    assert found.take(late, "g", NOW) is None
    assert [c.group for c in (returning, newcomer, urgent, late)] == ["g"] + [None] * 3
    assert found.take(returning, None, NOW) == "g"
    found.joined(returning, NOW)
    # The least urgent is now below its kept part.
    assert found.take(newcomer, "g", NOW) is None and late.group == "g"
    found.joined(late, NOW)
    assert found.take(newcomer, "g", NOW) == "g"


def test_capacity_of_a_caller_that_disconnects_goes_to_the_next():
    found = competition.Competition()
    first, second = waiting_callers(found, [caller(0), caller(1)])
    found.take(second, "g", NOW)
    found.leave(first, NOW)
    assert second.group == "g" and not found.caller_by_key


def test_an_urgency_below_its_kept_part_is_owed_the_next_place():
    recent = mix.Mix()
    for _ in range(10):
        recent.arrived((1, 0), False, 1.0, NOW)
        recent.arrived((1, 2), False, 1.0, NOW)
        recent.admitted((1, 0), NOW)
    assert recent.owed(division.KEPT_FRACTION, NOW) == [(1, 2)]


def play(found, per_s_by_workspace, start_ms, end_ms, elapsed_ms=0):
    """Let workspaces of one priority send requests at a steady rate."""
    for now in range(start_ms, end_ms, 100):
        for name, per_s in per_s_by_workspace.items():
            if now % int(1000 / per_s) < 100:
                found.arrived(1, name, elapsed_ms, False, now)


USUAL = dict.fromkeys("abcd", 1)


def test_a_workspace_far_above_its_usual_part_is_reduced_and_keeps_half():
    found = workspaces.Workspaces()
    play(found, USUAL, 0, 40_000)
    assert found.reduction(1, "a", 40_000) == workspaces.Reduction()
    play(found, USUAL | {"a": 5}, 40_000, 46_000)
    reduction = found.reduction(1, "a", 46_000)
    assert reduction.cause == workspaces.ABOVE_PART
    assert workspaces.MIN_FACTOR <= reduction.factor < 1
    assert found.reduction(1, "b", 46_000) == workspaces.Reduction()


def test_a_burst_of_all_workspaces_reduces_none():
    # Guards against refusing a workspace because of a burst of its whole priority.
    found = workspaces.Workspaces()
    play(found, USUAL, 0, 40_000)
    play(found, dict.fromkeys("abcd", 5), 40_000, 46_000)
    assert {found.reduction(1, name, 46_000).cause for name in "abcd"} == {None}


def test_a_workspace_that_retries_at_once_is_reduced_but_not_for_a_short_timeout():
    # Guards against taking callers with a shorter timeout than the route for retries.
    found = workspaces.Workspaces()
    for start_ms in range(0, 6000, 1000):
        play(found, {"short": 2}, start_ms, start_ms + 500, elapsed_ms=100)
        play(found, {"insistent": 2}, start_ms, start_ms + 500)
        play(found, {"insistent": 2}, start_ms + 500, start_ms + 1000, elapsed_ms=15)
    assert found.reduction(1, "short", 6000).cause is None
    assert found.reduction(1, "insistent", 6000).cause == workspaces.RETRIES_AT_ONCE


def test_no_workspace_is_reduced_if_first_attempts_of_all_come_late():
    # Guards against callers whose time left differs by some ms from call to call.
    found = workspaces.Workspaces()
    for start_ms in range(0, 6000, 1000):
        play(found, {"a": 2, "b": 2}, start_ms, start_ms + 500)
        play(found, {"a": 2, "b": 2}, start_ms + 500, start_ms + 1000, elapsed_ms=15)
    assert {found.reduction(1, name, 6000).cause for name in "ab"} == {None}


@pytest.mark.parametrize("left_ms", [8000, 7800, 2400])
def test_a_retry_that_obeys_is_recognised(left_ms):
    # Guards against a returning caller that counts as a newcomer, or as insistent.
    rng = random.Random(1)
    waits = [retry_after.after_refusal_ms(False, left_ms, 8000, rng) for _ in range(99)]
    assert max(waits) <= left_ms / 3 and max(waits) > min(waits)
    assert min(8000 - left_ms + wait_ms for wait_ms in waits) > 800
