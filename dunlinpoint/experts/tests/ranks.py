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
PASS_MS = 50


@attrs.define
class Standing:
    """State of one rank: its maps, for what it is armed, and the step it holds."""

    map_version: int = 0
    prepared: int = 0
    armed: tuple | None = None
    held: int = 0


@attrs.define(eq=False)
class Ranks:
    """A group on a simulated clock; ``lose(rank, order)`` makes commands fail.

    It returns ``None`` if a command is executed and answered, or the delay in ms
    after which the unanswered command is executed.
    """

    clock: task.Clock
    lose: object
    size: int = SIZE
    step: int = 0
    mixed: list = attrs.field(factory=list)
    unreachable: set = attrs.field(factory=set)
    orders: list = attrs.field(factory=list)
    by_rank: list = attrs.field(init=False)
    epoch: int = EPOCH
    open: bool = True

    def __attrs_post_init__(self):
        self.by_rank = [Standing() for _ in range(self.size)]

    def advance(self, ms):
        for _ in range(ms // 10):
            self.clock.advance(0.01)

    def run_passes(self):
        loop = task.LoopingCall(self.one_pass)
        loop.clock = self.clock
        loop.start(PASS_MS / 1000)

    def lose_a_rank(self):
        """Restart a rank: the group breaks, and reopens without its earlier state."""
        self.open = False
        self.by_rank = [Standing() for _ in range(self.size)]
        self.clock.callLater(0.6, self.form)

    def form(self):
        """Open the group in a new epoch."""
        self.epoch += 1
        self.open = True

    def one_pass(self):
        if not self.open:
            return
        following = self.step + 1
        if any(rank.held == following for rank in self.by_rank):
            return
        self.step = following
        for rank in self.by_rank:
            if rank.armed and rank.armed[1] == following:
                rank.map_version, rank.armed = rank.armed[0], None
        versions = {rank.map_version for rank in self.by_rank}
        if len(versions) > 1:
            self.mixed.append((following, versions))

    def carry_out(self, number, order):
        rank, kind = self.by_rank[number], order["operation"]
        self.orders.append((number, kind))
        if order["epoch"] != self.epoch or not self.open:
            return 409
        if kind == "prepare":
            if order["version"] <= max(rank.prepared, rank.map_version) or rank.armed:
                return 409
            rank.prepared = order["version"]
        elif kind == "arm":
            if rank.prepared != order["version"] or order["step"] <= self.step:
                return 409
            rank.armed = order["version"], order["step"]
        elif kind == "disarm":
            if rank.map_version == order["version"]:
                return 409
            rank.armed = None
        elif kind == "retention":
            if order["step"] <= self.step:
                return 409
            rank.held = order["step"]
        elif kind == "go" and rank.held == order["step"]:
            rank.held = 0
        return 200

    def order(self, number, order):
        if number in self.unreachable:
            return defer.succeed(0)
        delay_ms = self.lose(number, order)
        if delay_ms is None:
            return defer.succeed(self.carry_out(number, order))
        self.clock.callLater(delay_ms / 1000, self.carry_out, number, order)
        return defer.succeed(0)

    def state(self, number):
        """Return the ``RankState`` of rank *number*."""
        rank = self.by_rank[number]
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
        )

    def states(self):
        reached = [n for n in range(self.size) if n not in self.unreachable]
        return defer.succeed({number: self.state(number) for number in reached})

    def group(self):
        def pause(ms):
            return task.deferLater(self.clock, ms / 1000, lambda: None)

        def ask(numbers, body=None):
            return reached.ask_each(numbers, body)

        reached = Reached(self.size, ask, self.order, pause, mapping_of=lambda v: [])
        reached.states = self.states
        return reached


class Reached(switch.Group):
    """A group whose ranks get each command directly; then all states are read."""

    states = None

    @defer.inlineCallbacks
    def ask_each(self, numbers, body):
        given = [self.order(number, body) for number in numbers] if body else []
        statuses = dict(zip(numbers, (yield defer.gatherResults(given)), strict=False))
        states = yield self.states()
        return {
            number: ttypes.RankAnswer(states[number], statuses.get(number, 0))
            for number in numbers
            if number in states
        }
