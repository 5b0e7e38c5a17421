"""A group whose leader's agent is lost, with the control loops of its agents."""

import random

import pytest
from twisted.internet import task

from dunlinpoint.config import document as config
from dunlinpoint.experts import leader as control_loop
from dunlinpoint.experts import placement, rank, standby, window
from dunlinpoint.experts.tests import agents
from dunlinpoint.experts.tests import ranks as simulated

SIZE = 4
EXPERTS = 48
SHAPE = config.Experts(sets=1, experts=EXPERTS, places=30, spare=4, skew_weight=1.0)
CHOICES_PER_STEP = 10_000


def demand(shift):
    """Return the choices by expert in one step; *shift* selects the popular ones."""
    weights = [1 / (1 + number) for number in range(EXPERTS)]
    random.Random(shift).shuffle(weights)
    return [round(CHOICES_PER_STEP * weight / sum(weights)) for weight in weights]


def started(size=SIZE, seed=1, lose=lambda number, command: None):
    """A group with its agents' control loops, after 4 s of steps."""
    ranks = simulated.Ranks(task.Clock(), lose, size, demand=demand(0))
    ranks.counts = [0] * EXPERTS
    ranks.mapping_by_version[0] = placement.round_robin(1, EXPERTS, size)
    ranks.run_steps()
    net = agents.Network(ranks, random.Random(seed), shape=SHAPE)
    ranks.advance(4000)
    return net


def skew(net, version=None):
    """Return the skew under present demand of map *version*, or of that in force."""
    ranks = net.ranks
    if version is None:
        version = ranks.by_rank[0].map_version
    mapping = ranks.mapping_by_version[version]
    return placement.step_load(mapping, [ranks.demand]) / placement.even_load(
        [ranks.demand], ranks.size
    )


def time_to_map(net, limit_ms=10_000):
    """Return the time (ms) until a map that takes away most of the skew is in force."""
    start = net.ranks.clock.seconds()
    enough = max(1.15, 1 + (skew(net) - 1) / 4)
    while skew(net) > enough:
        net.ranks.advance(10)
        if net.ranks.clock.seconds() - start > limit_ms / 1000:
            return limit_ms
    return round((net.ranks.clock.seconds() - start) * 1000)


def test_a_returned_leader_plans_from_current_demand():
    # Failure: the first map of a restarted leader is planned from the choices that the
    # other ranks had accumulated since it was killed, nearly all from before a shift
    # of demand, and by a default step duration. The map for the new demand is in force
    # only after this useless change. Demand shifts 90 ms before the first reading.
    net = started(size=2)
    assert skew(net) < 1.15
    net.kill(0, 1290)
    net.ranks.advance(1600)
    known = set(net.ranks.mapping_by_version)
    net.ranks.demand = demand(14)
    assert skew(net) > 1.4
    took_ms = time_to_map(net)
    first = min(set(net.ranks.mapping_by_version) - known)
    assert skew(net, first) < 1.15
    assert took_ms < 700


@pytest.mark.parametrize("silent_ms", [window.MAX_READING_SPAN_MS + 1, 60_000])
def test_counts_of_an_unknown_span_are_no_demand(silent_ms):
    # Failure and cause as in `test_a_returned_leader_plans_from_current_demand`.
    counter = window.Counter()
    counter.growth([100, 0], now=0)
    assert counter.growth([9000, 0], now=silent_ms) == [0, 0]
    assert counter.growth([9000, 50], now=silent_ms + 100) == [0, 50]


def test_the_first_step_duration_is_known_soon_and_without_idle_time():
    # Failure: the step duration after a start, or after idle time, includes time
    # without steps, so that steps look long and a change of map urgent.
    net = started()
    leader = net.leader_by_rank[0]
    leader.idle, leader.steps_per_s = True, 0.0
    net.ranks.advance(500)
    assert leader.step_ms == pytest.approx(simulated.STEP_MS, rel=0.4)
    leader.steps_per_s, leader.last_step = 0.0, None
    assert leader.step_ms == control_loop.MAX_STEP_MS
    net.ranks.advance(300)
    assert leader.step_ms == pytest.approx(simulated.STEP_MS, rel=0.4)


def lost_for_ever(rng):
    """Lose one in five commands."""
    return lambda number, command: 10**7 if rng.random() < 0.2 else None


def late(rng):
    """Leave one in ten commands unanswered, and execute them 2 to 12 s later."""
    return lambda number, command: (
        rng.randint(2000, 12_000) if rng.random() < 0.1 else None
    )


def nothing(rng):
    return lambda number, command: None


def lose_leader(size, seed, loss, frozen):
    """Lose the leader's agent as demand shifts; return the group and the ms to a map.

    A killed one is back after 1.3 s, a frozen one after 4 s.
    """
    rng = random.Random(seed)
    net = started(size, seed, loss(rng))
    net.ranks.advance(rng.randrange(0, 300, 10))
    net.freeze(0, 4000) if frozen else net.kill(0, 1300)
    net.ranks.demand = demand(3 + seed * 4)
    return net, time_to_map(net)


def leads(net):
    return [rank for rank, handler in net.handler_by_port.items() if handler.leads]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("size", [3, 20])
@pytest.mark.parametrize(("frozen", "limit_ms"), [(False, 800), (True, 1400)])
def test_the_standby_puts_a_map_in_force(frozen, limit_ms, size, seed):
    # Failure: the group has an old map while its leader's agent is lost, and streams
    # accumulate for ten seconds. Without an acting leader it takes 2.2 to 4.5 s here.
    net, took_ms = lose_leader(size, seed, nothing, frozen)
    assert took_ms <= limit_ms
    assert leads(net)[-1] == 1 or not frozen
    net.ranks.advance(6000)
    assert leads(net) == [0] and not net.ranks.mixed
    assert not any(rank.held for rank in net.ranks.by_rank)
    net.ranks.demand = demand(50)
    assert time_to_map(net) <= 1000


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("frozen", [False, True])
@pytest.mark.parametrize("loss", [lost_for_ever, late])
def test_a_takeover_with_lost_and_late_commands_mixes_no_step(loss, frozen, seed):
    # Failure: a step with two maps, or a group that is held after both are back.
    net, took_ms = lose_leader(4, seed, loss, frozen)
    assert took_ms < 4000
    net.ranks.advance(9000)
    assert not net.ranks.mixed and net.ranks.step > 150


@pytest.mark.parametrize("after_ms", range(300, 560, 60))
def test_a_hold_of_a_lost_acting_leader_is_lifted(after_ms):
    # Failure: the group stands until an agent is back, because the standby died in
    # turn while it held the group at rank 2.
    net = started()
    net.ranks.demand = demand(3)
    net.kill(0, 60_000)
    net.ranks.advance(after_ms)
    net.kill(1, 60_000)
    net.ranks.advance(2000)
    assert not any(rank.held for rank in net.ranks.by_rank) and not net.ranks.mixed
    before = net.ranks.step
    net.ranks.advance(1000)
    assert net.ranks.step - before >= 19


def test_a_standby_that_was_frozen_does_not_take_over():
    # Failure: the standby resumes, has not yet read the queries that arrived while it
    # was frozen, and takes the leader for silent.
    net = started()
    resumed, reasons = net.leader_by_rank[1], []
    handler = resumed.group_client.handler
    handler.last_query_ms = resumed.clock.now() - 3000
    standby.loss_of_leader(resumed).addCallback(reasons.append)
    handler.last_query_ms = resumed.clock.now()
    net.ranks.advance(100)
    assert reasons == [None]


def test_the_standby_of_a_leader_of_the_old_build_only_lifts_its_hold(monkeypatch):
    # Failure: two planners, as a leader that cannot give way returns.
    original = rank.Handler.admit_leader

    def without_field(handler, question):
        question.gives_way = None
        original(handler, question)

    monkeypatch.setattr(rank.Handler, "admit_leader", without_field)
    net = started()
    net.kill(0, 60_000)
    net.ranks.execute(1, {"operation": "retention", "step": 100, "epoch": 1})
    net.ranks.advance(3000)
    assert leads(net)[-1:] != [1] and not net.ranks.by_rank[1].held
