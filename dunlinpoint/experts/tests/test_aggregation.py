"""Queries through aggregators: fewer messages, and no mixed steps on failures."""

import random

import pytest
from twisted.internet import task

from dunlinpoint.experts import aggregation, commands, dispatcher, switch
from dunlinpoint.experts.tests import agents
from dunlinpoint.experts.tests import ranks as simulated

SIZE = 20
EPOCH = simulated.EPOCH


def network(size=SIZE, seed=1, lose=lambda number, command: None):
    ranks = simulated.Ranks(task.Clock(), lose, size)
    ranks.run_steps()
    return agents.Network(ranks, random.Random(seed))


def begin(net, version, client=None):
    """Have the leader begin to change the map; return a list for its result."""
    client = client or net.group_client(switch.LEADER)
    group = client.group(SIZE, switch.LEADER)
    ended = []
    plan = switch.Plan(version, [[[0]] * SIZE], EPOCH)
    switch.run(group, plan, 1000 / simulated.STEP_MS).addBoth(ended.append)
    return ended


def settle(net, ended):
    """Do what the leader's next iterations do: lift a hold that was left behind."""
    for _ in range(20):
        net.ranks.advance(400)
        if ended and net.ranks.by_rank[switch.STANDBY].held:
            ended.clear()
            group = net.group_client(switch.LEADER).group(SIZE, switch.LEADER)
            states = net.ranks.states().result
            switch.resolve(group, states, EPOCH).addBoth(ended.append)


def in_force(net):
    return {rank.map_version for rank in net.ranks.by_rank}


def aggregators(net):
    """Return the ranks whose agents are aggregators."""
    peers = [aggregation.Peer("h", m.port, m.zone) for m in net.members()]
    direct_peers = [peers[n] for n in (switch.LEADER, switch.STANDBY, switch.WITNESS)]
    subgroups = aggregation.divide(
        [p for p in peers if p != peers[0]], direct_peers=direct_peers
    )
    return [subgroup[0].port for subgroup in subgroups if len(subgroup) > 1]


def test_a_leader_of_many_ranks_sends_few_messages():
    # Failure: with 72 ranks and demand that shifts every two seconds, maps are half a
    # second to a second late, because 71 messages a round occupy the leader's link and
    # core. Subgroups have about the square root of the number of ranks.
    peers = [aggregation.Peer("h", n, "abc"[n % 3]) for n in range(72)]
    subgroups = aggregation.divide(peers, direct_peers=peers[:2])
    assert sorted(p.port for subgroup in subgroups for p in subgroup) == list(range(72))
    assert len(subgroups) <= 2 + 9 and max(map(len, subgroups)) <= 9
    assert all(len({p.zone for p in subgroup}) == 1 for subgroup in subgroups)
    assert [peers[0]] in subgroups and [peers[1]] in subgroups


def test_a_small_group_is_asked_directly():
    peers = [
        aggregation.Peer("h", n, "abc"[n % 3])
        for n in range(aggregation.MAX_DIRECT_RANKS)
    ]
    assert aggregation.divide(peers) == [[peer] for peer in peers]


def test_an_avoided_agent_is_no_aggregator():
    peers = [aggregation.Peer("h", n, "a") for n in range(20)]
    avoided = set(peers[:8])
    firsts = [subgroup[0] for subgroup in aggregation.divide(peers, avoided)]
    assert not avoided & set(firsts)


def test_all_ranks_change_at_one_step():
    net = network()
    ended = begin(net, 7)
    net.ranks.advance(1500)
    assert ended == [None] and in_force(net) == {7} and not net.ranks.mixed


def test_counts_come_as_sums():
    net = network()
    client = net.group_client(switch.LEADER)
    readings = []
    client.on_counts = lambda now, counts: readings.append(counts)
    client.last_reading_ms = -1000
    question = aggregation.Question(counts=True, leading=True)
    for _ in range(2):
        client.read("g", switch.LEADER, question)
        net.ranks.advance(500)
    # Ten steps of each of the ranks, within the rounding of the packed counts.
    assert readings[0] == [0, 0]
    assert readings[1][0] == pytest.approx(10 * 10 * SIZE, rel=0.02)


FAULTS = {
    "freezes": lambda net, rank: net.freeze(rank, 2500),
    "dies": lambda net, rank: net.kill(rank, 60_000),
    "answers late": lambda net, rank: net.slow_ms_by_port.update({rank: 400}),
    "is reborn": lambda net, rank: net.kill(rank, 300),
}
STAGES = [commands.PREPARE, commands.HOLD, commands.ARM, commands.GO]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("stage", STAGES)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_failing_aggregator_mixes_no_step(fault, stage, seed):
    # Failure: a step with two maps, or a group held forever. An aggregator freezes,
    # dies, answers late or restarts in one of the four stages of a change. The commands
    # that it had yet to forward reach ranks seconds later, in any order, when the
    # change was abandoned, the hold was lifted and another change is in progress.
    net = network(seed=seed)
    faulty = aggregators(net)[seed % len(aggregators(net))]
    done = []

    def inject_fault():
        if not done:
            done.append(fault)
            FAULTS[fault](net, faulty)

    def on_message(port, question):
        if question.operation == stage and port == faulty:
            inject_fault()

    def lose(number, body):
        if body["operation"] == stage and number == switch.STANDBY:
            inject_fault()

    net.on_message = on_message
    net.ranks.lose = lose
    for version in (7, 11):
        ended = begin(net, version)
        settle(net, ended)
    assert done and not net.ranks.mixed
    assert not any(rank.held for rank in net.ranks.by_rank)
    ended = begin(net, 15)
    settle(net, ended)
    assert in_force(net) == {15}, ended


@pytest.mark.parametrize("seed", range(20))
def test_lost_commands_and_frozen_machines_mix_no_step(seed):
    # Failure: a step with two maps. A fifth of the commands is left unanswered and
    # executed later, while agents freeze and restart at any time, and the standby takes
    # over from a leader that froze.
    rng = random.Random(seed)

    def lose(number, command):
        return rng.randint(100, 3000) if rng.random() < 0.2 else None

    net = network(seed=seed, lose=lose)
    for version in range(7, 40, 4):
        for _ in range(2):
            faulty = rng.randrange(2, SIZE)
            if faulty not in net.inbox_by_frozen_rank and faulty not in net.dead:
                fault = rng.choice([net.freeze, net.kill])
                net.ranks.clock.callLater(
                    rng.uniform(0, 1.5), fault, faulty, rng.randint(200, 2500)
                )
        ended = begin(net, version)
        settle(net, ended)
    assert not net.ranks.mixed
    assert net.ranks.step > 300


def test_ranks_of_a_lost_aggregator_stay_reachable():
    # Failure: no new map for as long as one machine is down. An aggregator dies; its
    # subgroup is asked directly, and its own rank's engine past the agent.
    net = network()
    faulty = aggregators(net)[0]
    net.kill(faulty, 60_000)
    client = net.group_client(switch.LEADER)
    answers = []
    question = aggregation.Question(leading=True)
    client.read("g", switch.LEADER, question).addCallback(answers.append)
    net.ranks.advance(100)
    assert set(answers[0]) == set(range(SIZE))
    before = dict(net.messages_by_port)
    client.read("g", switch.LEADER, question).addCallback(answers.append)
    net.ranks.advance(100)
    asked = {p: n - before.get(p, 0) for p, n in net.messages_by_port.items()}
    assert set(answers[1]) == set(range(SIZE))
    assert max(asked.values()) == 1


def test_an_unanswered_command_is_no_base():
    # Failure: an agent is repeatedly sent differences to a map that it never received.
    # It dies when the map arrives, and another map follows.
    net = network()
    fan_out = net.handler_by_port[switch.LEADER].fan_out
    peer = aggregation.Peer("h", 5)
    body = {"operation": commands.PREPARE, "version": 7, "epoch": EPOCH}
    command = commands.Command.from_body({**body, "mapping": [[[0]] * 200]})
    net.kill(5, 60_000)
    failed = []
    question = aggregation.Question(command=command)
    fan_out.ask(peer, question, 250).addErrback(failed.append)
    net.ranks.advance(300)
    assert failed and fan_out.sender.pack(peer, command.text)[0] == commands.NO_BASE
    net.start(5)
    fan_out.ask(peer, question, 250)
    net.ranks.advance(300)
    assert fan_out.sender.pack(peer, command.text)[0] != commands.NO_BASE


def test_an_agent_repeats_commands_by_itself():
    # Failure: engines leave a tenth of the commands unanswered and execute them late.
    # Each of three kinds of command takes another round of the leader, and a map is
    # 0.5 s late. The bound is two attempts of 50 ms, the second in three copies.
    lost = []

    def lose(number, command):
        if not lost:
            lost.append(command)
            return 4000
        return None

    ranks = simulated.Ranks(task.Clock(), lose)
    local = dispatcher.Dispatcher(
        agents.Engine(ranks, 2), agents.clocks.Clock(ranks.clock)
    )
    body = {"operation": commands.PREPARE, "version": 7, "epoch": EPOCH, "mapping": []}
    given = []
    local.dispatch(commands.Command.from_body(body)).addCallback(given.append)
    ranks.advance(60)
    assert given in ([200], [0])
    assert ranks.by_rank[2].prepared == 7
    assert local.unanswered.is_recent()


@pytest.mark.parametrize("fault", ["freezes", "dies"])
@pytest.mark.parametrize("after", range(1, 44, 3))
def test_a_standby_finishes_for_a_leader_of_many_ranks(fault, after):
    # Failure: a step with two maps, or a group held for as long as its leader's machine
    # is down. The leader freezes or dies after its n-th message of a change. The
    # standby, which refuses its queries, asks all ranks, calls the leader's engine past
    # its agent, and finishes the change. The leader resumes and sends what was pending.
    net = network(seed=after)
    leader, standby = net.group_client(switch.LEADER), net.group_client(switch.STANDBY)
    sent = []
    fan_out = leader.handler.fan_out

    class Links:
        """The leader's connections, which send nothing from its n-th message on."""

        def to(self, host, port):
            link = net.to(host, port)
            sent.append(port)
            if len(sent) < after:
                return link
            if fault == "dies":
                return agents.SilentLink()
            return agents.DelayedLink(link, 3000)

    fan_out.links = Links()
    begin(net, 7, leader)
    for _ in range(8):
        net.ranks.advance(900)
        if net.ranks.by_rank[switch.STANDBY].held:
            net.dead.add(switch.LEADER)
            take_over(net, standby)
            net.dead.discard(switch.LEADER)
            assert not net.ranks.by_rank[switch.STANDBY].held
    assert not net.ranks.mixed
    assert net.ranks.step > 100


def take_over(net, standby):
    """Do what the standby does in an iteration when the leader is silent."""
    handler = net.handler_by_port[switch.STANDBY]
    handler.fenced = True
    polled = []
    standby.read("g", switch.STANDBY, aggregation.Question()).addCallback(polled.append)
    net.ranks.advance(600)
    states = {number: answer.state for number, answer in polled[0].items()}
    switch.resolve(standby.group(SIZE, switch.STANDBY), states, EPOCH)
    net.ranks.advance(2000)
    handler.fenced = False
