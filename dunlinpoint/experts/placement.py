"""Maps of experts to ranks, the load they put on each, and better ones.

A map is a list by set of lists by rank of expert numbers. Experts held by
several ranks share their tokens evenly. Ranks advance in lock-step, so a
step costs, set by set, what the most loaded rank costs: the measure here is
the sum over sets of the highest load (:func:`step_load`).

:func:`improve` starts from the map in force and only adds, drops or moves
single experts where that lowers the highest load. A map made from scratch
would be a little more even and would move almost every expert, each of
which is copied while steps run longer.
"""

import attrs

# The least part of the highest load that one more copy must save.
LEAST_STEP_GAIN = 0.02
# How many of the most loaded rank's experts are looked at for each change.
CANDIDATES = 8


def in_turn(sets, experts, ranks):
    """The map that assigns experts to ranks in turn."""
    return [
        [list(range(rank, experts, ranks)) for rank in range(ranks)]
        for _ in range(sets)
    ]


def set_loads(holders, counts):
    """Load by rank of one set, from *counts* by expert."""
    copies = [0] * len(counts)
    for held in holders:
        for expert in held:
            copies[expert] += 1
    return [sum(counts[e] / copies[e] for e in held) for held in holders]


def step_load(mapping, counts):
    """The sum over sets of the highest load; *counts* by set and expert."""
    return sum(
        max(set_loads(holders, chosen))
        for holders, chosen in zip(mapping, counts, strict=True)
    )


def even_load(counts, ranks):
    """What :func:`step_load` would be if every rank had the same load."""
    return sum(sum(chosen) / ranks for chosen in counts)


def moved(old, new):
    """How many experts are new to their rank, over all sets."""
    return sum(
        len(set(after) - set(before))
        for old_set, new_set in zip(old, new, strict=True)
        for before, after in zip(old_set, new_set, strict=True)
    )


@attrs.define
class Change:
    """One expert more at rank ``to``, and what makes room for it."""

    highest: float
    expert: int
    to: int
    drop: int | None
    leaves: bool


@attrs.define
class SetPlan:
    """One set's holders while they are improved."""

    holders: list
    counts: list
    places: int
    spare: int
    before: list
    copies: list
    load: list

    @classmethod
    def from_holders(cls, holders, counts, places, spare):
        """A plan that starts from *holders* (lists by rank)."""
        copies = [0] * len(counts)
        for held in holders:
            for expert in held:
                copies[expert] += 1
        return cls(
            holders=[set(held) for held in holders],
            counts=counts,
            places=places,
            spare=spare,
            before=[set(held) for held in holders],
            copies=copies,
            load=set_loads(holders, counts),
        )

    def share(self, expert):
        """The load that *expert* puts on each of its holders."""
        return self.counts[expert] / self.copies[expert]

    def _may_take(self, rank, expert):
        if expert in self.holders[rank]:
            return False
        if expert in self.before[rank]:
            return True
        return len(self.holders[rank] - self.before[rank]) < self.spare

    def _spare_copy(self, rank, expert):
        """An expert that *rank* can drop for *expert*, or ``None``."""
        extra = [x for x in self.holders[rank] if self.copies[x] > 1 and x != expert]
        return min(extra, key=self.share, default=None)

    def _options(self, top, expert, by_load):
        """Changes that take load of *expert* off the most loaded rank."""
        count, copies = self.counts[expert], self.copies[expert]
        for to in by_load:
            if to == top or not self._may_take(to, expert):
                continue
            drop, freed = None, 0.0
            if len(self.holders[to]) >= self.places:
                drop = self._spare_copy(to, expert)
                if drop is None:
                    continue
                freed = self.share(drop)
            half = count / (copies + 1)
            top_after = self.load[top] - (count / copies - half)
            copied = max(top_after, self.load[to] + half - freed)
            yield Change(copied, expert, to, drop, leaves=False)
            whole = count / copies
            left = max(self.load[top] - whole, self.load[to] + whole - freed)
            yield Change(left, expert, to, drop, leaves=True)
            return

    def best_change(self):
        """The change that lowers the highest load most, or ``None``."""
        by_load = sorted(range(len(self.load)), key=self.load.__getitem__)
        top = by_load[-1]
        heavy = sorted(self.holders[top], key=self.share, reverse=True)[:CANDIDATES]
        options = [o for e in heavy for o in self._options(top, e, by_load)]
        best = min(options, key=lambda o: o.highest, default=None)
        if best is None or best.highest > self.load[top] * (1 - LEAST_STEP_GAIN):
            return None
        return top, best

    def apply(self, top, change):
        """Carry out *change* on the plan."""
        if change.drop is not None:
            self.holders[change.to].discard(change.drop)
            self.copies[change.drop] -= 1
        self.holders[change.to].add(change.expert)
        if change.leaves:
            self.holders[top].discard(change.expert)
        else:
            self.copies[change.expert] += 1
        self.load = set_loads(self.holders, self.counts)


def improve_set(holders, counts, places, spare):
    """Better *holders* of one set, within the ranks' room."""
    plan = SetPlan.from_holders(holders, counts, places, spare)
    highest = max(plan.load)
    for _ in range(len(holders) * spare):
        found = plan.best_change()
        if found is None:
            break
        plan.apply(*found)
    if max(plan.load) >= highest:
        return [sorted(held) for held in holders]
    return [sorted(held) for held in plan.holders]


def improve(mapping, counts, places, spare):
    """A better map than *mapping* for *counts* by set and expert.

    No rank holds more than *places* experts of a set, nor more than *spare*
    that it did not hold before.
    """
    return [
        improve_set(holders, chosen, places, spare)
        for holders, chosen in zip(mapping, counts, strict=True)
    ]
