"""The change of map, with ranks that lose, delay and refuse commands."""

import random

import pytest
from twisted.internet import defer, task

from dunlinpoint.experts import dispatcher, standby, switch
from dunlinpoint.experts.tests import ranks as simulated

SIZE, EPOCH, STEP_MS = simulated.SIZE, simulated.EPOCH, simulated.STEP_MS


def started(lose=lambda number, command: None):
    ranks = simulated.Ranks(task.Clock(), lose)
    ranks.run_steps()
    return ranks


def begin(ranks, version=7, group=None):
    plan = switch.Plan(version, [[[0]] * SIZE], EPOCH)
    ended = []
    switching = switch.run(group or ranks.group(), plan, 1000 / STEP_MS)
    switching.addBoth(ended.append)
    return ended


def run_iteration(ranks, ended):
    """Do what the leader's loop does between switches: lift a hold left behind."""
    group = ranks.group()
    states = ranks.states().result
    if ended and states[group.holder].held:
        ended.clear()
        switch.resolve(group, states, EPOCH).addBoth(ended.append)


def test_every_rank_changes_at_one_step():
    ranks = started()
    ended = begin(ranks)
    ranks.advance(2000)
    assert ended == [None]
    assert {rank.map_version for rank in ranks.by_rank} == {7}
    assert not ranks.mixed and not any(rank.held for rank in ranks.by_rank)


@pytest.mark.parametrize("seed", range(25))
def test_lost_and_late_commands_mix_no_step(seed):
    # Failure: one step with two maps. A third of the commands goes unanswered and is
    # executed up to three seconds later, after newer ones. Guards against arming
    # without a hold, and against lifting the hold while a command to arm for a step
    # that has not begun is in transit.
    rng = random.Random(seed)

    def lose(number, command):
        return rng.randint(100, 3000) if rng.random() < 0.35 else None

    ranks = started(lose)
    for version in (7, 11, 15):
        ended = begin(ranks, version)
        for _ in range(30):
            ranks.advance(400)
            run_iteration(ranks, ended)
    assert not ranks.mixed
    assert ranks.step > 300


@pytest.mark.parametrize("dies_after", range(1, 2 * SIZE + 4))
def test_a_standby_finishes_for_a_frozen_leader(dies_after):
    # Failure: the group stalls for as long as the leader's machine is frozen, because
    # the hold was placed at the leader's own rank. The leader freezes after its n-th
    # command with the group held, its rank becomes unreachable, and the standby reads
    # the states of the others.
    ranks = started()
    leader = ranks.group()

    def freezing(number, command):
        if len(ranks.executed) >= dies_after:
            return defer.Deferred()
        return ranks.send(number, command)

    leader.send = freezing
    begin(ranks, group=leader)
    ranks.advance(600)
    standby = ranks.group()
    ranks.unreachable = {switch.LEADER}
    states = ranks.states().result
    if states[standby.holder].held:
        finished = []
        switch.resolve(standby, states, EPOCH).addBoth(finished.append)
        ranks.advance(1500)
        others_armed = all(s.armed for s in states.values())
        assert finished == [not others_armed]
        if others_armed:
            ranks.unreachable = set()
            switch.resolve(standby, ranks.states().result, EPOCH)
    ranks.advance(1500)
    assert not ranks.mixed
    assert not any(rank.held for rank in ranks.by_rank)


@pytest.mark.parametrize("restarts_after", range(1, 2 * SIZE + 2))
def test_a_restarted_rank_ends_the_switch(restarts_after):
    # Failure: the group is held forever, or a step has two maps. A rank restarts under
    # its id after the n-th command of a switch: with the group held, some ranks armed,
    # all prepared. None of that exists in the new epoch, and the commands still in
    # transit name the old one.
    ranks = started()
    leader = ranks.group()

    def send(number, body):
        if (
            len(ranks.executed) == restarts_after
            and ranks.epoch == EPOCH
            and ranks.open
        ):
            ranks.restart_rank()
            ranks.clock.callLater(1.0, ranks.execute, number, body)
            return defer.succeed(0)
        return ranks.send(number, body)

    leader.send = send
    ended = begin(ranks, group=leader)
    ranks.advance(2500)
    assert ended[0].check(switch.SwitchError)
    assert not any(rank.held or rank.armed for rank in ranks.by_rank)
    again = []
    plan = switch.Plan(9, [[[0]] * SIZE], ranks.epoch)
    switch.run(ranks.group(), plan, 1000 / STEP_MS).addBoth(again.append)
    ranks.advance(2000)
    assert again == [None]
    assert {rank.map_version for rank in ranks.by_rank} == {9}
    assert not ranks.mixed


def test_lost_commands_stall_the_group_once():
    # Failure: every stream has a gap of most of a second at each change of map, for as
    # long as half of the commands are lost. The map changes every second, each time
    # only two steps ahead, and the group stalls at the hold while commands are
    # repeated, if the loss of commands is forgotten after each change.
    rng = random.Random(3)
    lost = []

    def lose(number, command):
        if rng.random() < 0.5:
            lost.append(command)
            return 4000
        return None

    ranks = started(lose)
    held_steps = []

    def send(number, body):
        status = ranks.send(number, body)
        if status.result:
            return status
        return task.deferLater(ranks.clock, 0.15, lambda: 0)

    for version in (7, 11, 15, 19):
        group = ranks.group()
        group.send = send
        group.commands_get_lost = lambda: bool(lost)
        before = ranks.step
        begin(ranks, version, group)
        ranks.advance(2500)
        held_steps.append(2500 // STEP_MS - (ranks.step - before))
    assert not ranks.mixed
    assert {rank.map_version for rank in ranks.by_rank} == {19}
    assert max(held_steps[1:]) <= 2, held_steps


def test_an_accepted_copy_of_a_command_outweighs_refused_ones():
    # Failure: a change of map is abandoned ("prepare refused") although every rank has
    # prepared it. Of three copies of a command one is executed, one is refused because
    # of that, and one is lost; the refusal was taken for the answer.
    assert dispatcher.combined_status([409, 202, 0]) == 202
    assert dispatcher.combined_status([0, 409, 0]) == 409
    assert dispatcher.combined_status([0, 0, 0]) == 0


def later(ranks, ms, action):
    """Return a Deferred that fires with the result of *action* after *ms*."""
    return task.deferLater(ranks.clock, ms / 1000, action)


@pytest.mark.parametrize("offset_ms", range(0, 70, 10))
def test_a_leader_declared_dead_arms_no_rank(offset_ms):
    # Failure: a step with two maps. A slow leader holds the group. Its standby declares
    # it dead, refuses its queries, sees no rank armed and sends the command to go on.
    # The leader, which no longer sees the holder, goes on arming the others, and some
    # are armed when the step begins. It armed without having seen the hold recently.
    ranks = started()
    fenced = []
    leader = ranks.group()
    leader.now = lambda: round(ranks.clock.seconds() * 1000)

    def states():
        seen = ranks.states().result
        if fenced:
            seen.pop(leader.holder)
        return later(ranks, 5, lambda: seen)

    def send(number, body):
        # The leader's commands to arm get through only from when it is fenced.
        if body["operation"] == "arm" and not fenced:
            return defer.succeed(0)
        return ranks.send(number, body)

    leader.states, leader.send = states, send
    begin(ranks, group=leader)
    ranks.advance(250 + offset_ms)
    fenced.append(True)
    successor = ranks.group()
    successor.send = lambda number, body: later(
        ranks, 20, lambda: ranks.send(number, body).result
    )
    ranks.advance(standby.LEADER_TIMEOUT_MS)
    switch.resolve(successor, ranks.states().result, EPOCH)
    ranks.advance(3000)
    assert not ranks.mixed


def test_a_rank_armed_late_does_not_change_its_map_alone():
    # Failure: a step with two maps. One rank refuses to be armed, and another leaves
    # the command unanswered. All are disarmed and seen disarmed. While the command to
    # go on is lost and repeated, the engine executes the late command to arm, and the
    # disarmed rank is armed again.
    ranks = started()
    group = ranks.group()
    lost = []

    def send(number, body):
        kind = body["operation"]
        if kind == "arm" and number == 3:
            return defer.succeed(dispatcher.REFUSED)
        if kind == "arm" and number == 2:
            ranks.clock.callLater(0.9, ranks.execute, number, body)
            return defer.succeed(0)
        if kind == "go" and len(lost) < 40:
            lost.append(body)
            return defer.succeed(0)
        return ranks.send(number, body)

    group.send = send
    ended = begin(ranks, group=group)
    ranks.advance(4000)
    assert ended[0].check(switch.SwitchError)
    assert lost and not ranks.mixed
    assert not any(rank.held or rank.armed for rank in ranks.by_rank)


def test_an_engine_that_refuses_the_replacement_map_does_not_stall_the_group():
    # Failure: the group stalls until its leader restarts. A rank refuses to be armed,
    # the change is withdrawn, and an engine refuses the map that it should prepare in
    # place of the withdrawn one.
    ranks = started()
    group = ranks.group()

    def send(number, body):
        refused = body["operation"] == "arm" and number == 3
        refused |= body["operation"] == "prepare" and body["version"] == 8
        return (
            defer.succeed(dispatcher.REFUSED) if refused else ranks.send(number, body)
        )

    group.send = send
    ended = begin(ranks, group=group)
    ranks.advance(switch.WITHDRAW_TIMEOUT_MS + 1500)
    assert ended[0].check(switch.SwitchError)
    assert not any(rank.held or rank.armed for rank in ranks.by_rank)


def test_a_resumed_leader_does_not_arm_by_old_answers():
    # Failure and cause as in `test_a_leader_declared_dead_arms_no_rank`. The leader
    # sees the hold, freezes for a second, and on resuming sends its commands to arm.
    ranks = started()
    leader = ranks.group()
    now = []
    leader.now = lambda: now[-1]
    now.append(1000)
    leader.poll()
    now.append(1000 + switch.MAX_HOLDER_AGE_MS + 1)
    ended = []
    switch.arm(leader, leader.others, 7, 40, EPOCH).addBoth(ended.append)
    assert ended[0].check(switch.SwitchError)
    assert not any(kind == "arm" for _, kind in ranks.executed)


def test_one_unanswered_command_does_not_stall_the_group():
    # Failure: without any fault, every stream has one long gap. One of a dozen commands
    # to arm is not answered in time (150 ms) and repeated, while the group reaches the
    # step, because the switch was set only two steps ahead.
    ranks = started()
    group = ranks.group()
    lost = []

    def send(number, body):
        if body["operation"] == "arm" and not lost:
            lost.append(number)
            return later(ranks, 150, lambda: 0)
        return ranks.send(number, body)

    group.send = send
    before = ranks.step
    begin(ranks, group=group)
    ranks.advance(1500)
    assert lost and {rank.map_version for rank in ranks.by_rank} == {7}
    assert 1500 // STEP_MS - (ranks.step - before) <= 1


def urgent_change(ranks, version, arming_times, lose=None):
    """Make an urgent change of map; return the time until it is in force, in ms."""
    group = ranks.group()
    group.now = lambda: round(ranks.clock.seconds() * 1000)
    group.arming_times = arming_times
    if lose is not None:
        group.send = lose
    plan = switch.Plan(version, [[[0]] * SIZE], EPOCH, urgent=True)
    start_ms = group.now()
    switch.run(group, plan, 1000 / STEP_MS)
    while {rank.map_version for rank in ranks.by_rank} != {version}:
        ranks.advance(10)
    return group.now() - start_ms


def test_an_urgent_change_is_set_ahead_by_past_arming_times():
    # Failure: demand shifts while steps are near the latency target, and every stream
    # misses it for half a second more than arming the ranks takes, because the distance
    # is the same for all groups and situations. After a command that was not answered
    # in time, the distance must cover such a case. The bounds are 150 ms with three
    # steps of 50 ms, and the 300 ms that normal changes are set ahead.
    ranks = started()
    arming_times = switch.ArmingTimes()
    took = [urgent_change(ranks, version, arming_times) for version in range(7, 14)]
    assert took[0] >= 250 and took[-1] <= 150, took
    lost = []

    def lose(number, body):
        if body["operation"] == "arm" and not lost:
            lost.append(number)
            return later(ranks, 150, lambda: 0)
        return ranks.send(number, body)

    urgent_change(ranks, 20, arming_times, lose)
    assert arming_times.urgent_ahead_ms() == switch.AHEAD_MS
    assert not ranks.mixed


def test_a_resumed_leader_sets_its_next_changes_no_farther_ahead():
    # Failure: only one map in several seconds for half a minute, with twice the usual
    # skew. The leader's machine freezes for 4 s while ranks are armed, so that arming
    # has taken 4 s, and urgent changes were set twice that far ahead.
    arming_times = switch.ArmingTimes([40] * switch.ARMING_SAMPLES)
    assert arming_times.urgent_ahead_ms() < switch.AHEAD_MS
    arming_times.add(4000)
    assert arming_times.urgent_ahead_ms() == switch.AHEAD_MS


def armed_states(ranks, versions):
    """Have ranks be armed for *versions*, 0 for none, with the group held."""
    for number, version in enumerate(versions):
        rank = ranks.by_rank[number]
        rank.prepared, rank.armed = 7, (version, 50) if version else None
    ranks.by_rank[switch.STANDBY].held = 50
    return ranks.states().result


def test_no_rank_is_disarmed_before_another_can_not_be_armed_any_more():
    # Failure: a step with two maps. A resolver dies after it disarmed one rank, late
    # commands have armed the rest, the next resolver sees all ranks armed and lifts the
    # hold, and a late command disarms a rank. Found by the model with two processes.
    ranks = started()
    group = ranks.group()
    lost = []

    def send(number, body):
        if body["operation"] == "prepare" and len(lost) < 3 * SIZE:
            lost.append(number)
            return defer.succeed(0)
        return ranks.send(number, body)

    group.send = send
    ended = []
    states = armed_states(ranks, (0, 7, 7, 7))
    switch.resolve(group, states, EPOCH).addBoth(ended.append)
    ranks.advance(60)
    assert lost and not ranks.executed
    ranks.advance(4000)
    assert ended == [True] and not ranks.mixed
    kinds = [kind for _, kind in ranks.executed]
    assert kinds.index("prepare") < kinds.index("disarm")


def test_ranks_armed_for_different_maps_do_not_count_as_all_armed():
    # Failure: a step with two maps. A leader that froze during a reading sees some
    # ranks armed for its own last map and others for the acting leader's, and lifts the
    # acting leader's hold while ranks are being armed. Found by the model.
    ranks = started()
    assert not switch.all_armed(ranks.group(), armed_states(ranks, (7, 7, 9, 9)))
    assert switch.all_armed(ranks.group(), armed_states(ranks, (7, 7, 7, 7)))
    group = ranks.group()
    group.now = lambda: switch.MAX_READING_MS + 1
    assert switch.is_stale(group, 0) and not switch.is_stale(group, 1)
