"""Ranks' agents on a simulated network, next to simulated engines.

Messages take time. A frozen agent gets the messages and timers that reach it in random
order when it resumes, and a killed one restarts without its state.
"""

import json
import random

import attrs
from twisted.internet import defer

from dunlinpoint import clock as clocks
from dunlinpoint import metrics
from dunlinpoint.config import document as config
from dunlinpoint.experts import aggregation, dispatcher, group_client, rank
from dunlinpoint.experts import leader as control_loop
from dunlinpoint.experts.tests import ranks as simulated
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

ZONES = ("a", "b")
# The agents of this many ranks, from 0, may lead or lift a hold.
CONTROL_LOOPS = 3
ONE_WAY_MS = 2


@attrs.define
class Engine:
    """One rank's engine, with the interface that its agent calls."""

    ranks: simulated.Ranks
    number: int
    process: object = None

    def __attrs_post_init__(self):
        self.process = self.process or self.ranks.clock

    def send_command(self, text, timeout_ms=150):
        answer = self.ranks.send(self.number, json.loads(text))
        if answer.result:
            return answer
        return later(self.process, timeout_ms, lambda: 0)

    def state(self, experts=False):
        return defer.succeed(self.ranks.state(self.number, experts))

    def counts(self):
        return defer.succeed(list(self.ranks.counts))

    def at(self, address):
        return Engine(self.ranks, int(address.rpartition(":")[2]), self.process)


@attrs.define(eq=False)
class Process:
    """One start of an agent's process: the reactor and the links that it uses.

    Nothing runs in it while it is frozen, or after it was killed.
    """

    network: object
    number: int
    alive: bool = True

    def seconds(self):
        return self.network.ranks.clock.seconds()

    def callLater(self, delay, func, *args):
        return self.network.ranks.clock.callLater(delay, self.run, func, *args)

    def run(self, func, *args):
        """Call *func* once the process is not frozen; never if it was killed."""
        inbox = self.network.inbox_by_frozen_rank.get(self.number)
        if inbox is not None:
            inbox.append(lambda: self.run(func, *args))
        elif self.alive:
            func(*args)

    def to(self, host, port):
        return Link(self.network, port, self)


def later(reactor, ms, action):
    """Return a Deferred that fires with the result of *action* after *ms*."""
    fired = defer.Deferred()
    reactor.callLater(ms / 1000, lambda: fired.callback(action()))
    return fired


@attrs.define(eq=False)
class Network:
    """Agents of all ranks of one group, by port; the port is the rank."""

    ranks: simulated.Ranks
    rng: random.Random
    handler_by_port: dict = attrs.field(factory=dict)
    inbox_by_frozen_rank: dict = attrs.field(factory=dict)
    dead: set = attrs.field(factory=set)
    slow_ms_by_port: dict = attrs.field(factory=dict)
    messages_by_port: dict = attrs.field(factory=dict)
    on_message: object = lambda port, question: None
    # With a shape of experts, the agents of ranks 0 to 2 run their control loops.
    shape: config.Experts | None = None
    process_by_rank: dict = attrs.field(factory=dict)
    leader_by_rank: dict = attrs.field(factory=dict)
    wait_ms: int = 0
    min_body_interval_ms: int = 0

    def __attrs_post_init__(self):
        for number in range(self.ranks.size):
            self.start(number)

    def start(self, number):
        """Start or restart an agent, without any state."""
        self.dead.discard(number)
        process = self.process_by_rank[number] = Process(self, number)
        engine, ms_clock = Engine(self.ranks, number, process), clocks.Clock(process)
        self.handler_by_port[number] = rank.Handler(
            engine,
            ms_clock,
            aggregation.FanOutClient(ms_clock, process),
            dispatcher.Dispatcher(engine, ms_clock),
        )
        if self.shape is not None and number < CONTROL_LOOPS:
            self.run_control_loop(number)

    def run_control_loop(self, number):
        """Run the control loop of rank *number*'s agent, which knows the document."""
        client = self.group_client(number)
        leader = control_loop.Leader(
            client, self, client.clock, client.counters, "s", self.shape, following=True
        )
        client.on_counts = leader.add_counts
        self.leader_by_rank[number] = leader
        control_loop.run(self.process_by_rank[number], leader)

    def freeze(self, number, for_ms):
        """Suspend the agent's machine; on resuming it handles all its messages."""
        if number in self.inbox_by_frozen_rank:
            return
        inbox = self.inbox_by_frozen_rank[number] = []

        def resume():
            del self.inbox_by_frozen_rank[number]
            self.rng.shuffle(inbox)
            for deliver in inbox:
                deliver()

        self.ranks.clock.callLater(for_ms / 1000, resume)

    def kill(self, number, back_ms):
        """Kill the agent's process, and restart it after *back_ms*."""
        self.dead.add(number)
        self.process_by_rank[number].alive = False
        self.ranks.clock.callLater(back_ms / 1000, self.start, number)

    def to(self, host, port):
        """Return the connection to the agent at *port*."""
        return Link(self, port)

    def members(self):
        """Return the members as the agents announce themselves."""
        return [
            ttypes.Member(
                endpoint_id=f"rank-{n}",
                zone=ZONES[n % len(ZONES)],
                host="h",
                port=n,
                kind="rank",
                group="g",
                engine=f"e:{n}",
            )
            for n in range(self.ranks.size)
        ]

    def live(self, kind):
        """Return the live members, like ``View``."""
        return self.members()

    def group_client(self, number):
        """Return the client of rank *number*'s agent, as leader or standby."""
        ms_clock = clocks.Clock(self.process_by_rank[number])
        client = group_client.GroupClient(
            self.handler_by_port[number], self, ms_clock, metrics.Counters(None)
        )
        client.member_by_rank = dict(enumerate(self.members()))
        return client


@attrs.define
class Link:
    """A connection to the agent at *port*."""

    network: Network
    port: int
    process: Process | None = None

    def call(self, method, question, timeout_ms):
        assert method == "ask"
        net, reactor = self.network, self.network.ranks.clock
        run = self.process.run if self.process else lambda func, *args: func(*args)
        outer = defer.Deferred()
        timer = reactor.callLater(
            timeout_ms / 1000,
            run,
            lambda: outer.errback(errors.OutcomeUnknown(f"{self.port}")),
        )

        def done(result):
            if timer.active():
                timer.cancel()
                run(outer.callback, result)

        def failed(failure):
            if timer.active():
                timer.cancel()
                run(outer.errback, failure)

        def deliver():
            if self.port in net.inbox_by_frozen_rank:
                net.inbox_by_frozen_rank[self.port].append(deliver)
                return
            if self.port in net.dead:
                failed(errors.ConnectionRefused(f"{self.port}"))
                return
            net.messages_by_port[self.port] = net.messages_by_port.get(self.port, 0) + 1
            net.on_message(self.port, question)
            handler = net.handler_by_port[self.port]
            back_ms = ONE_WAY_MS + net.slow_ms_by_port.get(self.port, 0)
            answer = defer.maybeDeferred(handler.ask, question)
            answer.addCallback(lambda r: later(reactor, back_ms, lambda: r))
            answer.addCallbacks(done, failed)

        reactor.callLater(ONE_WAY_MS / 1000, deliver)
        return outer


class SilentLink:
    """A connection that sends nothing any more."""

    def call(self, method, question, timeout_ms):
        return defer.Deferred()


@attrs.define
class DelayedLink:
    """A connection that sends messages *ms* late, like a machine that froze."""

    link: Link
    ms: int

    def call(self, method, question, timeout_ms):
        reactor, answer = self.link.network.ranks.clock, defer.Deferred()

        def send():
            sent = self.link.call(method, question, timeout_ms)
            sent.addCallbacks(answer.callback, answer.errback)

        reactor.callLater(self.ms / 1000, send)
        return answer
