"""Simulated engines of ranks in lock-step, on a simulated clock.

``Ranks`` makes steps like a group in lock-step and records the map versions of every
step: a change of map is correct if no step mixed two.
"""

import attrs
from twisted.internet import defer, task

from dunlinpoint.experts import switch
from dunlinpoint.wire.gen.dunlin import ttypes

SIZE = 4
EPOCH = 1
STEP_MS = 50


@attrs.define
class SimulatedRank:
    """State of one rank: its maps, for what it is armed, and the step it holds."""

    map_version: int = 0
    prepared: int = 0
    armed: tuple | None = None
    held: int = 0


@attrs.define(eq=False)
class Ranks:
    """A group on a simulated clock; ``lose(rank, command)`` makes commands fail.

    It returns ``None`` if a command is executed and answered, or the delay in ms
    after which the unanswered command is executed.
    """

    clock: task.Clock
    lose: object
    size: int = SIZE
    step: int = 0
    mixed: list = attrs.field(factory=list)
    unreachable: set = attrs.field(factory=set)
    executed: list = attrs.field(factory=list)
    by_rank: list = attrs.field(init=False)
    demand: list = attrs.field(factory=lambda: [10, 1])
    counts: list = attrs.field(factory=lambda: [0, 0])
    mapping_by_version: dict = attrs.field(factory=dict)
    epoch: int = EPOCH
    open: bool = True

    def __attrs_post_init__(self):
        self.by_rank = [SimulatedRank() for _ in range(self.size)]

    def advance(self, ms):
        for _ in range(ms // 10):
            self.clock.advance(0.01)

    def run_steps(self):
        loop = task.LoopingCall(self.make_step)
        loop.clock = self.clock
        loop.start(STEP_MS / 1000)

    def restart_rank(self):
        """Restart a rank: the group breaks, and reopens without its earlier state."""
        self.open = False
        self.by_rank = [SimulatedRank() for _ in range(self.size)]
        self.clock.callLater(0.6, self.reopen)

    def reopen(self):
        """Open the group in a new epoch."""
        self.epoch += 1
        self.open = True

    def make_step(self):
        if not self.open:
            return
        next_step = self.step + 1
        if any(rank.held == next_step for rank in self.by_rank):
            return
        self.step = next_step
        self.counts = [a + b for a, b in zip(self.counts, self.demand, strict=True)]
        for rank in self.by_rank:
            if rank.armed and rank.armed[1] == next_step:
                rank.map_version, rank.armed = rank.armed[0], None
        versions = {rank.map_version for rank in self.by_rank}
        if len(versions) > 1:
            self.mixed.append((next_step, versions))

    def execute(self, number, command):
        rank, kind = self.by_rank[number], command["operation"]
        self.executed.append((number, kind))
        if command["epoch"] != self.epoch or not self.open:
            return 409
        if kind == "prepare":
            if command["version"] <= max(rank.prepared, rank.map_version) or rank.armed:
                return 409
            rank.prepared = command["version"]
            self.mapping_by_version[rank.prepared] = command.get("mapping")
        elif kind == "arm":
            if rank.prepared != command["version"] or command["step"] <= self.step:
                return 409
            rank.armed = command["version"], command["step"]
        elif kind == "disarm":
            if rank.map_version == command["version"]:
                return 409
            rank.armed = None
        elif kind == "retention":
            if command["step"] <= self.step:
                return 409
            rank.held = command["step"]
        elif kind == "go" and rank.held == command["step"]:
            rank.held = 0
        return 200

    def send(self, number, command):
        if number in self.unreachable:
            return defer.succeed(0)
        delay_ms = self.lose(number, command)
        if delay_ms is None:
            return defer.succeed(self.execute(number, command))
        self.clock.callLater(delay_ms / 1000, self.execute, number, command)
        return defer.succeed(0)

    def state(self, number, experts=False):
        """Return the ``RankState`` of rank *number*, with its experts if *experts*."""
        rank = self.by_rank[number]
        mapping = self.mapping_by_version.get(rank.map_version) if experts else None
        return ttypes.RankState(
            group="g",
            epoch=self.epoch,
            rank=number,
            size=self.size,
            open=self.open,
            step=self.step,
            map_version=rank.map_version,
            prepared=rank.prepared,
            armed=rank.armed[0] if rank.armed else 0,
            held=rank.held,
            experts=[by_rank[number] for by_rank in mapping] if mapping else None,
        )

    def states(self):
        reachable = [n for n in range(self.size) if n not in self.unreachable]
        return defer.succeed({number: self.state(number) for number in reachable})

    def group(self):
        def sleep(ms):
            return task.deferLater(self.clock, ms / 1000, lambda: None)

        def ask(numbers, body=None):
            return group.ask_each(numbers, body)

        group = SimulatedGroup(
            self.size, ask, self.send, sleep, mapping_of=lambda v: []
        )
        group.states = self.states
        return group


class SimulatedGroup(switch.Group):
    """A group whose ranks get each command directly; then all states are read."""

    states = None

    @defer.inlineCallbacks
    def ask_each(self, numbers, body):
        sent = [self.send(number, body) for number in numbers] if body else []
        statuses = dict(zip(numbers, (yield defer.gatherResults(sent)), strict=False))
        states = yield self.states()
        return {
            number: ttypes.RankAnswer(states[number], statuses.get(number, 0))
            for number in numbers
            if number in states
        }
