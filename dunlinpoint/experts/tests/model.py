"""Exhaustive exploration of the change of map with two planners.

Agent 0 leads. Agent 1 takes over from it and gives way to it, and agent 2 lifts a hold
that agent 1 left. They run the generators of :mod:`switch` itself, on ranks whose
engines execute commands at once, late or never. Each path is played from its start by
its list of choices, and a state that was reached before is not explored again.

A path has a limited number of faults (``Budget``): processes that crash or freeze (the
leader's only in its first iteration, rank 2's never), messages that are lost, late or
unanswered, and changes of the running agent. A late command is executed at any later
point, a frozen process resumes and a dead one restarts at any later point. Steps are as
fast as possible: in each state it is checked that the ranks, if they run on to the next
step that one is armed for, all have one map.
"""

import collections

import attrs

from dunlinpoint.experts import commands, dispatcher, switch
from dunlinpoint.experts.tests import ranks as simulated

EPOCH = simulated.EPOCH
LEADER, STANDBY, WITNESS = 0, 1, 2
LEADER_TIMEOUT_MS = 600
POLL_MS = 250
MAX_EVENTS = 150
MAX_STEPS = 3
MAX_ITERATIONS = 3
# Local variables of generators that do not distinguish states, as the time that a
# change has waited is kept beside its start.
NO_STATE = ("group", "self", "agent", "start_ms", "took_ms", "asked_ms")
RAW = ("confirm", "prepare", "hold", "arm", "withdraw", "lift_hold", "run", "resolve")


State = collections.namedtuple(
    "State", "epoch open step map_version prepared armed held"
)
Answer = collections.namedtuple("Answer", "state status")


class MixedError(Exception):
    """A step began with two maps."""


@attrs.frozen
class Budget:
    """Numbers of faults that are left on a path."""

    processes: int = 1
    messages: int = 1
    turns: int = 1


@attrs.define(eq=False)
class Engines(simulated.Ranks):
    """Engines that disarm only the version named in the command."""

    def execute(self, number, command):
        rank = self.by_rank[number]
        armed, version = rank.armed, command.get("version")
        status = super().execute(number, command)
        if command["operation"] == commands.DISARM and armed and armed[0] != version:
            rank.armed = armed
        return status

    def state(self, number, experts=False):
        rank = self.by_rank[number]
        armed = rank.armed[0] if rank.armed else 0
        return State(
            EPOCH, True, self.step, rank.map_version, rank.prepared, armed, rank.held
        )

    def snapshot(self):
        ranks = [(r.map_version, r.prepared, r.armed, r.held) for r in self.by_rank]
        return self.step, tuple(ranks)

    def advance_step(self):
        if not any(rank.held == self.step + 1 for rank in self.by_rank):
            self.make_step()

    def check(self):
        """Raise ``MixedError`` if ranks may now get to a step that mixes two maps."""
        armed = [rank.armed for rank in self.by_rank if rank.armed]
        steps = {step for _, step in armed}
        if not steps or any(self.step < r.held <= min(steps) for r in self.by_rank):
            return
        if len(armed) < self.size or len(set(armed)) > 1:
            raise MixedError(self.snapshot())


@attrs.define(eq=False)
class Agent:
    """One agent: the stack of its generators and its unanswered query, if it runs."""

    number: int
    alive: bool = True
    frozen: bool = False
    fence: bool = False
    acting: bool = False
    queried_ms: int = 0
    iterations: int = 0
    versions: int = 0
    stack: list = attrs.field(factory=list)
    query: list | None = None
    group: object = None

    @property
    def runs(self):
        return bool(self.stack) and self.alive and not self.frozen

    def snapshot(self, now_ms):
        frames = [
            (g.gi_code.co_name, g.gi_frame.f_lasti, repr(without_group(g)))
            for g in self.stack
        ]
        seen_ms = self.group.holder_seen_ms if self.group and self.stack else None
        is_old = seen_ms is None or now_ms - seen_ms > switch.MAX_HOLDER_AGE_MS
        is_silent = now_ms - self.queried_ms >= LEADER_TIMEOUT_MS
        flags = (self.alive, self.frozen, self.fence, self.acting, is_old, is_silent)
        return flags, self.iterations, tuple(frames), repr(self.query)


def without_group(generator):
    found = generator.gi_frame.f_locals.items()
    return [(name, value) for name, value in found if name not in NO_STATE]


@attrs.define(eq=False)
class Model:
    """One path: the agents, their engines, and the commands that may be late."""

    size: int
    machines: bool
    budget: Budget
    ranks: Engines = attrs.field(init=False)
    agents: list = attrs.field(init=False)
    late: list = attrs.field(factory=list)
    now_ms: int = 0
    turn: int = LEADER
    mapping: list = attrs.field(factory=lambda: [[[0]]])

    def __attrs_post_init__(self):
        self.ranks = Engines(None, None, self.size)
        self.agents = [Agent(number) for number in range(self.size)]
        self.begin(LEADER)

    def snapshot(self):
        late = tuple(sorted(repr(entry) for entry in self.late))
        agents = tuple(agent.snapshot(self.now_ms) for agent in self.agents[:3])
        return self.ranks.snapshot(), late, agents, self.turn, self.budget

    # -- what agents do

    def make_group(self, number):
        def ask(ranks, body=None):
            return ["ask", list(ranks), body, {}, False]

        return switch.Group(
            self.size,
            ask,
            lambda rank, body: ["send", [rank], body, {}, False],
            lambda ms: ["sleep", [], ms, {}, False],
            now=lambda: self.now_ms,
            mapping_of=lambda version: self.mapping,
            arming_times=switch.ArmingTimes([1] * switch.ARMING_SAMPLES),
            planner=number,
            holder=min(number + 1, WITNESS),
            min_ahead_steps=1
            if number == LEADER and not self.agents[0].iterations
            else switch.FIRST_AHEAD_STEPS,
        )

    def iterate(self, agent):
        """One iteration of an agent's control loop, as in :mod:`leader`."""
        group = agent.group
        if agent.number != WITNESS and not (yield switch.confirm(group)):
            return
        asked_ms = self.now_ms
        answers = yield group.ask(group.ranks)
        if switch.is_stale(group, asked_ms):
            return
        states = {number: answer.state for number, answer in answers.items()}
        may_miss = agent.number != LEADER
        if any(s.held for s in states.values()):
            if may_miss or len(states) == self.size:
                yield switch.resolve(group, states, EPOCH)
            return
        known = {s.map_version for s in states.values()}
        if len(states) < self.size or len(known) > 1 or agent.number == WITNESS:
            return
        if any(s.armed for s in states.values()):
            return
        highest = max(max(s.map_version, s.prepared) for s in states.values())
        agent.versions += 1
        version = (highest // switch.VERSION_STRIDE + agent.versions) * (
            switch.VERSION_STRIDE
        ) + switch.VERSION_OFFSET_BY_PLANNER[agent.number]
        yield switch.run(group, switch.Plan(version, self.mapping, EPOCH, 0, True), 1)

    def begin(self, number):
        """Have agent *number* begin an iteration."""
        agent = self.agents[number]
        agent.group = self.make_group(number)
        agent.iterations += 1
        agent.stack, self.turn = [self.iterate(agent)], number
        self.proceed(agent, None)

    def proceed(self, agent, value, error=None):
        """Run the generators of *agent* until they wait for answers."""
        while agent.stack:
            generator = agent.stack[-1]
            try:
                step = generator.throw(error) if error else generator.send(value)
            except StopIteration as stop:
                agent.stack.pop()
                value, error = stop.value, None
            except switch.SwitchError as exc:
                agent.stack.pop()
                value, error = None, exc
            else:
                value = error = None
                if isinstance(step, list):
                    agent.query = step
                    return
                agent.stack.append(step)
        agent.query = None
        if agent.number == WITNESS:
            agent.fence = False

    # -- what happens to messages

    def is_down(self, number):
        agent = self.agents[number]
        return self.machines and (agent.frozen or not agent.alive)

    def receive(self, sender, number, body, kind):
        """Return the answer of rank *number* to a query, ``None`` for none."""
        if self.is_down(number):
            return None
        agent, status = self.agents[number], 0
        leading = sender.number != WITNESS and kind == "ask"
        if leading and number != sender.number:
            if agent.frozen or not agent.alive:
                if number == sender.group.holder:
                    return None
            elif agent.fence:
                return "fenced"
            else:
                agent.queried_ms = self.now_ms
        if body:
            status = self.ranks.execute(number, body)
            self.ranks.check()
        return Answer(self.ranks.state(number), status)

    def deliver(self, agent, answered=True):
        kind, pending, body, answers, _ = agent.query
        if kind == "sleep":
            self.now_ms += body
            self.ranks.advance_step()
            self.ranks.check()
            self.proceed(agent, None)
            return
        number = pending.pop(0)
        answer = self.receive(agent, number, body, kind)
        if answer == "fenced":
            agent.query[4] = True
        elif answer is not None and answered:
            answers[number] = answer
        self.answer_if_complete(agent)

    def answer_if_complete(self, agent):
        kind, pending, _, answers, fenced = agent.query
        if pending or agent.frozen:
            return
        if fenced:
            self.proceed(agent, None, switch.Fenced("fenced"))
        elif kind == "send":
            found = list(answers.values())
            self.proceed(agent, found[0].status if found else 0)
        else:
            self.proceed(agent, answers)

    def delay(self, agent):
        """Leave the next message unanswered, to be executed at a later point."""
        _, pending, body, _, _ = agent.query
        self.add_late(pending.pop(0), body)
        self.answer_if_complete(agent)

    def add_late(self, number, body):
        if body and (number, body) not in self.late:
            self.late.append((number, body))

    def stop(self, agent, crashes):
        """Crash or freeze *agent*.

        The messages that a crashed one had sent are late. Those of a frozen one may
        still be answered before it resumes, or after.
        """
        if crashes:
            if agent.query[0] != "sleep":
                for number in agent.query[1]:
                    self.add_late(number, agent.query[2])
            agent.alive, agent.stack, agent.query = False, [], None
        else:
            agent.frozen = True
            self.now_ms += LEADER_TIMEOUT_MS + 100

    def resume(self, agent):
        """Restart or unfreeze *agent*."""
        if not agent.alive:
            fresh = Agent(agent.number, iterations=1, versions=agent.versions + 1)
            self.agents[agent.number] = fresh
            return
        agent.frozen, self.turn = False, agent.number
        if agent.query and agent.query[0] != "sleep" and not agent.query[1]:
            self.answer_if_complete(agent)

    def execute_late(self, entry):
        self.late.remove(entry)
        self.ranks.execute(*entry)
        self.ranks.check()

    def late_choices(self, turn):
        """Return the choices of late commands to execute now.

        Each is tried for its safety now. It is a choice only before the next message to
        its rank, as it does not depend on those to other ranks.
        """
        self.late = [entry for entry in self.late if not self.is_obsolete(*entry)]
        query = self.agents[turn].query if turn is not None else None
        found = []
        for number, body in self.late:
            before = attrs.evolve(self.ranks.by_rank[number])
            if self.is_down(number):
                continue
            self.ranks.execute(number, body)
            self.ranks.check()
            changed = self.ranks.by_rank[number] != before
            self.ranks.by_rank[number] = before
            if changed and (query is None or query[1][:1] in ([], [number])):
                found.append(("late", (number, body)))
        return found

    def is_obsolete(self, number, body):
        """Whether the command has no effect at any later point."""
        rank, version = self.ranks.by_rank[number], body.get("version")
        if version is None:
            return body["step"] <= self.ranks.step
        if body["operation"] == commands.PREPARE:
            return version <= max(rank.prepared, rank.map_version)
        armed = rank.armed is not None and rank.armed[0] == version
        return not armed and version < max(rank.prepared, rank.map_version)

    # -- which agent may begin

    def takes_over(self):
        """Whether the standby takes over now."""
        first, second = self.agents[:2]
        silent_ms = self.now_ms - second.queried_ms
        return not second.acting and (not first.alive or silent_ms >= LEADER_TIMEOUT_MS)

    def starts(self):
        """Return the agents that may begin an iteration now, with what they do."""
        first, second, third = self.agents[:3]
        found = []
        idle = [a.number for a in self.agents if a.alive and not a.frozen]
        idle = [n for n in idle if not self.agents[n].stack]
        second_up = second.alive and not second.frozen
        if (
            LEADER in idle
            and second_up
            and not second.fence
            and first.iterations < MAX_ITERATIONS
        ):
            found.append(LEADER)
        leads = first.alive and not first.frozen and bool(first.stack)
        unheard = second.frozen or not second.alive
        lifts = self.ranks.by_rank[WITNESS].held and unheard and not leads
        if WITNESS in idle and lifts and third.iterations < 2:
            found.append(WITNESS)
        if STANDBY in idle and second.iterations < MAX_ITERATIONS:
            if second.acting or self.takes_over():
                found.append(STANDBY)
        return found

    def start(self, number):
        agent = self.agents[number]
        if number == STANDBY:
            waiting = self.agents[0].alive and not self.agents[0].frozen
            waiting = waiting and not self.agents[0].stack
            if agent.acting and agent.iterations >= 2 and waiting:
                agent.acting = agent.fence = False
                agent.queried_ms = self.now_ms
                return
            agent.acting = agent.fence = True
        if number == WITNESS:
            agent.fence = True
        self.begin(number)

    # -- choices

    def choices(self):
        """Return what may happen next, the default first; empty at the end."""
        running = [a.number for a in self.agents if a.runs]
        stopped = [a for a in self.agents[:3] if a.frozen or not a.alive]
        found = []
        turn = self.turn if self.turn in running else min(running, default=None)
        if running:
            found.append(("deliver",))
            found.extend(self.faults(self.agents[turn]))
        starts = self.starts()
        if running and not self.budget.turns:
            starts = []
        found.extend(("start", number, bool(running)) for number in starts)
        if self.budget.turns:
            found.extend(("turn", n) for n in running if n != turn)
        found.extend(("resume", a.number) for a in stopped if self.resumes(a))
        found.extend(
            ("flow", a.number) for a in stopped if a.frozen and a.query and a.query[1]
        )
        armed = any(rank.armed for rank in self.ranks.by_rank)
        if not running and armed and self.ranks.step < MAX_STEPS:
            found.append(("step",))
        return found + self.late_choices(turn)

    def resumes(self, agent):
        """Whether it matters that *agent* resumes now rather than later.

        A restarted leader only waits until the acting leader has ended an iteration.
        """
        return agent.number != LEADER or agent.frozen or not self.agents[1].runs

    def faults(self, agent):
        kind, _, body, *_ = agent.query
        found = []
        if self.budget.messages and kind != "sleep":
            found.append(("delay",))
            if body:
                found.append(("unanswered",))
        later = agent.number == LEADER and agent.iterations > 1
        if self.budget.processes and agent.number != WITNESS and not later:
            found += [("stop", True), ("stop", False)]
        return found

    def spend(self, **counts):
        left = {name: getattr(self.budget, name) - n for name, n in counts.items()}
        self.budget = attrs.evolve(self.budget, **left)

    def apply(self, choice):
        kind, *rest = choice
        running = [agent.number for agent in self.agents if agent.runs]
        if running and self.turn not in running:
            self.turn = running[0]
        agent = self.agents[self.turn]
        if kind == "deliver":
            self.deliver(agent)
        elif kind in ("delay", "unanswered"):
            self.spend(messages=1)
            self.delay(agent) if kind == "delay" else self.deliver(agent, False)
        elif kind == "stop":
            self.spend(processes=1)
            self.stop(agent, rest[0])
        elif kind == "start":
            if rest[1]:
                self.spend(turns=1)
            self.start(rest[0])
        elif kind == "turn":
            self.spend(turns=1)
            self.turn = rest[0]
        elif kind == "step":
            self.ranks.advance_step()
            self.ranks.check()
        elif kind == "flow":
            self.deliver(self.agents[rest[0]])
        elif kind == "resume":
            self.resume(self.agents[rest[0]])
        else:
            self.execute_late(rest[0])


@attrs.define
class Explored:
    """Numbers of paths played and of different states, and versions put in force."""

    paths: int = 0
    states: int = 0
    versions: set = attrs.field(factory=set)


def explore(size, machines, budget, prefix=()):
    """Explore all paths that begin with *prefix*.

    Return ``Explored``, or raise ``MixedError``.
    """
    found, visited, pending = Explored(), set(), [list(prefix)]
    while pending:
        path = pending.pop()
        found.paths += 1
        model = Model(size, machines, budget)
        try:
            for choice in path:
                model.apply(choice)
            while len(path) < MAX_EVENTS:
                choices = model.choices()
                key = hash(model.snapshot())
                if key in visited or not choices:
                    break
                visited.add(key)
                found.states += 1
                pending.extend([*path, choice] for choice in choices[1:])
                path = [*path, choices[0]]
                model.apply(choices[0])
        except MixedError as exc:
            raise MixedError(f"{exc} after {path}") from exc
        found.versions.update(rank.map_version for rank in model.ranks.by_rank)
    return found


def use_generators(monkeypatch):
    """Have :mod:`switch` run as plain generators, whose state can be compared."""
    for name in RAW:
        monkeypatch.setattr(switch, name, getattr(switch, name).__wrapped__)
    monkeypatch.setattr(switch.Group, "poll", switch.Group.poll.__wrapped__)
    monkeypatch.setattr(switch, "POLL_INTERVAL_MS", POLL_MS)
    assert dispatcher.REFUSED == 409
