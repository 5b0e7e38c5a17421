"""Queries through aggregators: fewer messages, and no mixed steps on failures."""

import random

import pytest
from twisted.internet import task

from dunlinpoint.experts import dispatcher, gather, orders, switch
from dunlinpoint.experts.tests import agents
from dunlinpoint.experts.tests import ranks as standins

SIZE = 20
EPOCH = standins.EPOCH


def network(size=SIZE, seed=1, lose=lambda number, order: None):
    ranks = standins.Ranks(task.Clock(), lose, size)
    ranks.run_passes()
    return agents.Network(ranks, random.Random(seed))


def begin(net, version, reached=None):
    """Have the leader begin to change the map; return a list for its result."""
    reached = reached or net.reach(switch.LEAD)
    group = reached.group(SIZE, switch.LEAD)
    ended = []
    plan = switch.Plan(version, [[[0]] * SIZE], EPOCH)
    switch.run(group, plan, 1000 / standins.PASS_MS).addBoth(ended.append)
    return ended


def settle(net, ended):
    """Do what the leader's next iterations do: lift a hold that was left behind."""
    for _ in range(20):
        net.ranks.advance(400)
        if ended and net.ranks.by_rank[switch.DEPUTY].held:
            ended.clear()
            group = net.reach(switch.LEAD).group(SIZE, switch.LEAD)
            states = net.ranks.states().result
            switch.resolve(group, states, EPOCH).addBoth(ended.append)


def in_force(net):
    return {rank.map_version for rank in net.ranks.by_rank}


def gatherers(net):
    """Return the ranks whose agents are aggregators."""
    peers = [gather.Peer("h", m.port, m.zone) for m in net.members()]
    apart = [peers[switch.LEAD], peers[switch.DEPUTY]]
    parts = gather.divide([p for p in peers if p != peers[0]], apart=apart)
    return [part[0].port for part in parts if len(part) > 1]


def test_a_lead_of_many_ranks_sends_few_messages():
    # Failure: with 72 ranks and demand that shifts every two seconds, maps are half a
    # second to a second late, because 71 messages a round occupy the leader's link and
    # core. Subgroups have about the square root of the number of ranks.
    peers = [gather.Peer("h", n, "abc"[n % 3]) for n in range(72)]
    parts = gather.divide(peers, apart=peers[:2])
    assert sorted(p.port for part in parts for p in part) == list(range(72))
    assert len(parts) <= 2 + 9 and max(map(len, parts)) <= 9
    assert all(len({p.zone for p in part}) == 1 for part in parts)
    assert [peers[0]] in parts and [peers[1]] in parts


def test_a_small_group_is_asked_directly():
    peers = [gather.Peer("h", n, "abc"[n % 3]) for n in range(gather.DIRECT_RANKS)]
    assert gather.divide(peers) == [[peer] for peer in peers]


def test_who_was_lost_gathers_nothing():
    peers = [gather.Peer("h", n, "a") for n in range(20)]
    avoided = set(peers[:8])
    firsts = [part[0] for part in gather.divide(peers, avoided)]
    assert not avoided & set(firsts)


def test_all_ranks_change_at_one_step():
    net = network()
    ended = begin(net, 7)
    net.ranks.advance(1500)
    assert ended == [None] and in_force(net) == {7} and not net.ranks.mixed


def test_counts_come_as_sums():
    net = network()
    reached = net.reach(switch.LEAD)
    heard = []
    reached.on_counts = lambda now, counts: heard.append(counts)
    reached.counted_ms = -1000
    question = gather.Question(counts=True, leading=True)
    for _ in range(2):
        reached.read("g", switch.LEAD, question)
        net.ranks.advance(500)
    # Ten steps of each of the ranks, within the rounding of the packed counts.
    assert heard[0] == [0, 0]
    assert heard[1][0] == pytest.approx(10 * 10 * SIZE, rel=0.02)


FAULTS = {
    "freezes": lambda net, rank: net.freeze(rank, 2500),
    "dies": lambda net, rank: net.kill(rank, 60_000),
    "answers late": lambda net, rank: net.slow_ms_by_port.update({rank: 400}),
    "is reborn": lambda net, rank: net.kill(rank, 300),
}
STAGES = [orders.PREPARE, orders.HOLD, orders.ARM, orders.GO]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("stage", STAGES)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_gatherer_that_fails_mixes_no_step(fault, stage, seed):
    # Failure: a step with two maps, or a group held forever. An aggregator freezes,
    # dies, answers late or restarts in one of the four stages of a change. The commands
    # that it had yet to forward reach ranks seconds later, in any order, when the
    # change was abandoned, the hold was lifted and another change is in progress.
    net = network(seed=seed)
    hit = gatherers(net)[seed % len(gatherers(net))]
    done = []

    def strike():
        if not done:
            done.append(fault)
            FAULTS[fault](net, hit)

    def on_message(port, question):
        if question.operation == stage and port == hit:
            strike()

    def lose(number, body):
        if body["operation"] == stage and number == switch.DEPUTY:
            strike()

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
def test_orders_lost_and_machines_frozen_mix_no_step(seed):
    # Failure: a step with two maps. A fifth of the commands is left unanswered and
    # executed later, while agents freeze and restart at any time, and the standby takes
    # over from a leader that froze.
    rng = random.Random(seed)

    def lose(number, order):
        return rng.randint(100, 3000) if rng.random() < 0.2 else None

    net = network(seed=seed, lose=lose)
    for version in range(7, 40, 4):
        for _ in range(2):
            hit = rng.randrange(2, SIZE)
            if hit not in net.inbox_by_frozen and hit not in net.dead:
                fault = rng.choice([net.freeze, net.kill])
                net.ranks.clock.callLater(
                    rng.uniform(0, 1.5), fault, hit, rng.randint(200, 2500)
                )
        ended = begin(net, version)
        settle(net, ended)
    assert not net.ranks.mixed
    assert net.ranks.step > 300


def test_a_lost_gatherer_keeps_its_ranks_from_nobody():
    # Failure: no new map for as long as one machine is down. An aggregator dies; its
    # subgroup is asked directly, and its own rank's engine past the agent.
    net = network()
    hit = gatherers(net)[0]
    net.kill(hit, 60_000)
    reached = net.reach(switch.LEAD)
    answers = []
    question = gather.Question(leading=True)
    reached.read("g", switch.LEAD, question).addCallback(answers.append)
    net.ranks.advance(100)
    assert set(answers[0]) == set(range(SIZE))
    before = dict(net.messages_by_port)
    reached.read("g", switch.LEAD, question).addCallback(answers.append)
    net.ranks.advance(100)
    asked = {p: n - before.get(p, 0) for p, n in net.messages_by_port.items()}
    assert set(answers[1]) == set(range(SIZE))
    assert max(asked.values()) == 1


def test_an_order_that_was_not_answered_is_no_base():
    # Failure: an agent is repeatedly sent differences to a map that it never received.
    # It dies when the map arrives, and another map follows.
    net = network()
    asker = net.handler_by_port[switch.LEAD].asker
    peer = gather.Peer("h", 5)
    body = {"operation": orders.PREPARE, "version": 7, "epoch": EPOCH}
    order = orders.Order.from_body({**body, "mapping": [[[0]] * 200]})
    net.kill(5, 60_000)
    failed = []
    question = gather.Question(order=order)
    asker.ask(peer, question, 250).addErrback(failed.append)
    net.ranks.advance(300)
    assert failed and asker.sender.pack(peer, order.text)[0] == orders.NO_BASE
    net.start(5)
    asker.ask(peer, question, 250)
    net.ranks.advance(300)
    assert asker.sender.pack(peer, order.text)[0] != orders.NO_BASE


def test_an_agent_gives_orders_again_by_itself():
    # Failure: engines leave a tenth of the commands unanswered and execute them late.
    # Each of three kinds of command takes another round of the leader, and a map is
    # 0.5 s late. The bound is two attempts of 50 ms, the second in three copies.
    lost = []

    def lose(number, order):
        if not lost:
            lost.append(order)
            return 4000
        return None

    ranks = standins.Ranks(task.Clock(), lose)
    beside = dispatcher.Giver(agents.Engine(ranks, 2), agents.clocks.Clock(ranks.clock))
    body = {"operation": orders.PREPARE, "version": 7, "epoch": EPOCH, "mapping": []}
    given = []
    beside.give(orders.Order.from_body(body)).addCallback(given.append)
    ranks.advance(60)
    assert given in ([200], [0])
    assert ranks.by_rank[2].prepared == 7
    assert beside.unanswered.lately()


@pytest.mark.parametrize("fault", ["freezes", "dies"])
@pytest.mark.parametrize("after", range(1, 44, 3))
def test_a_deputy_finishes_for_a_lead_of_many_ranks(fault, after):
    # Failure: a step with two maps, or a group held for as long as its leader's machine
    # is down. The leader freezes or dies after its n-th message of a change. The
    # standby, which refuses its queries, asks all ranks, calls the leader's engine past
    # its agent, and finishes the change. The leader resumes and sends what was pending.
    net = network(seed=after)
    lead, deputy = net.reach(switch.LEAD), net.reach(switch.DEPUTY)
    sent = []
    asker = lead.handler.asker

    class Links:
        """The leader's connections, which send nothing from its n-th message on."""

        def to(self, host, port):
            link = net.to(host, port)
            sent.append(port)
            if len(sent) < after:
                return link
            if fault == "dies":
                return agents.Silent()
            return agents.Held(link, 3000)

    asker.links = Links()
    begin(net, 7, lead)
    for _ in range(8):
        net.ranks.advance(900)
        if net.ranks.by_rank[switch.DEPUTY].held:
            net.dead.add(switch.LEAD)
            deputise(net, deputy)
            net.dead.discard(switch.LEAD)
            assert not net.ranks.by_rank[switch.DEPUTY].held
    assert not net.ranks.mixed
    assert net.ranks.step > 100


def deputise(net, deputy):
    """Do what the standby does in an iteration when the leader is silent."""
    handler = net.handler_by_port[switch.DEPUTY]
    handler.fenced = True
    looked = []
    deputy.read("g", switch.DEPUTY, gather.Question()).addCallback(looked.append)
    net.ranks.advance(600)
    states = {number: answer.state for number, answer in looked[0].items()}
    switch.resolve(deputy.group(SIZE, switch.DEPUTY), states, EPOCH)
    net.ranks.advance(2000)
    handler.fenced = False
