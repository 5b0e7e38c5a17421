"""Maps of experts to ranks, the load they put on each, and better ones.

A map is a list by set of lists by rank of expert numbers. Experts held by
several ranks share their tokens evenly. Ranks advance in lock-step, so a
step costs, set by set, what the most loaded rank costs: the measure here is
the sum over sets of the highest load (:func:`step_load`).

:func:`improve` starts from the map in force and only adds, drops or moves
single experts where that lowers the highest load. A map made from scratch
would be a little more even and would move almost every expert, each of
which is copied while steps run longer.

A map is in force only once its slowest rank has copied what is new to it, and
what is popular may be other experts by then. So a change is kept small at
every rank (:class:`RankCapacity`), and the sets that gain most come first; the next
change follows at once where more is to be gained.
"""

import attrs

# The least part of the highest load that one more copy must save.
LEAST_STEP_GAIN = 0.02
# How many of the most loaded rank's experts are looked at for each change.
CANDIDATES = 8


def round_robin(sets, experts, ranks):
    """The map that assigns experts to ranks in turn."""
    return [
        [list(range(rank, experts, ranks)) for rank in range(ranks)]
        for _ in range(sets)
    ]


@attrs.frozen
class RankCapacity:
    """What the ranks of a group can take.

    *places* is how many experts of a set a rank holds, *spare* how many that
    are new to it of one set, and *new* how many over all sets, in one change.
    """

    places: int
    spare: int
    new: int


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


def largest_part(old, new):
    """How many experts are new to the rank that most are new to."""
    ranks = range(len(old[0]))
    return max(
        sum(
            len(set(after[rank]) - set(before[rank]))
            for before, after in zip(old, new, strict=True)
        )
        for rank in ranks
    )


@attrs.define
class Change:
    """One expert more at rank ``to``, and what makes room for it.

    ``highest`` is the higher load of the two ranks afterwards, ``saved`` how
    much less that is than the highest load before. Where ``leaves``, the
    expert is dropped from rank ``top``.
    """

    highest: float
    expert: int
    top: int
    to: int
    drop: int | None
    leaves: bool
    saved: float = 0.0


@attrs.define
class SetPlan:
    """One set's holders while they are improved."""

    holders: list
    counts: list
    room: RankCapacity
    before: list
    ranks_by_expert: list
    copies: list
    load: list
    new_by_rank: list

    @classmethod
    def from_holders(cls, holders, counts, room, new_by_rank):
        """A plan that starts from *holders* (lists by rank).

        *new_by_rank* is shared by the plans of all sets: how many experts each
        rank is to copy.
        """
        ranks_by_expert = [set() for _ in counts]
        for rank, held in enumerate(holders):
            for expert in held:
                ranks_by_expert[expert].add(rank)
        return cls(
            holders=[set(held) for held in holders],
            counts=counts,
            room=room,
            before=[set(held) for held in holders],
            ranks_by_expert=ranks_by_expert,
            copies=[len(ranks) for ranks in ranks_by_expert],
            load=set_loads(holders, counts),
            new_by_rank=new_by_rank,
        )

    def share(self, expert):
        """The tokens that each holder of *expert* gets."""
        return self.counts[expert] / self.copies[expert]

    def is_new(self, rank, expert):
        """Whether *rank* would have to copy *expert*."""
        return expert not in self.before[rank]

    def _may_take(self, rank, expert):
        if expert in self.holders[rank]:
            return False
        if not self.is_new(rank, expert):
            return True
        if self.new_by_rank[rank] >= self.room.new:
            return False
        return len(self.holders[rank] - self.before[rank]) < self.room.spare

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
            if len(self.holders[to]) >= self.room.places:
                drop = self._spare_copy(to, expert)
                if drop is None:
                    continue
                freed = self.share(drop)
            whole, shared = count / copies, count / (copies + 1)
            top_after = self.load[top] - (whole - shared)
            to_after = self.load[to] + shared - freed
            yield Change(max(top_after, to_after), expert, top, to, drop, leaves=False)
            top_after = self.load[top] - whole
            to_after = self.load[to] + whole - freed
            yield Change(max(top_after, to_after), expert, top, to, drop, leaves=True)
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
        best.saved = self.load[top] - best.highest
        return best

    def apply(self, change):
        """Carry out *change* on the plan."""
        if self.is_new(change.to, change.expert):
            self.new_by_rank[change.to] += 1
        if change.drop is not None:
            self._lose(change.to, change.drop)
        if change.leaves:
            self._lose(change.top, change.expert)
        self._gain(change.to, change.expert)

    # Only the holders of the expert that changes its copies have another load then:
    # added up anew for all 72 ranks of a set, loads took half of a plan's 25 ms.

    def _gain(self, rank, expert):
        self._weigh(expert, -1)
        self.holders[rank].add(expert)
        self.ranks_by_expert[expert].add(rank)
        self.copies[expert] += 1
        self._weigh(expert, 1)

    def _lose(self, rank, expert):
        self._weigh(expert, -1)
        self.holders[rank].discard(expert)
        self.ranks_by_expert[expert].discard(rank)
        self.copies[expert] -= 1
        self._weigh(expert, 1)

    def _weigh(self, expert, sign):
        """Count *expert*'s share in (1) or out of (-1) its holders' loads."""
        if not self.copies[expert]:
            return
        share = sign * self.share(expert)
        for rank in self.ranks_by_expert[expert]:
            self.load[rank] += share


def improve(mapping, counts, room):
    """A better map than *mapping* for *counts* by set and expert, within *room*.

    Of all sets, the change that saves most comes first: what a rank may copy
    is used where it shortens a step most.
    """
    ranks = len(mapping[0])
    new_by_rank = [0] * ranks
    plans = [
        SetPlan.from_holders(holders, chosen, room, new_by_rank)
        for holders, chosen in zip(mapping, counts, strict=True)
    ]
    highest = [max(plan.load) for plan in plans]
    changes = [plan.best_change() for plan in plans]
    for _ in range(ranks * min(room.new, room.spare * len(plans))):
        number = max(
            (i for i, change in enumerate(changes) if change is not None),
            key=lambda i: changes[i].saved,
            default=None,
        )
        if number is None:
            break
        to = changes[number].to
        plans[number].apply(changes[number])
        full = new_by_rank[to] >= room.new
        for i, change in enumerate(changes):
            if i == number or (full and change is not None and change.to == to):
                changes[i] = plans[i].best_change()
    return [
        [sorted(held) for held in (plan.holders if max(plan.load) < most else before)]
        for plan, most, before in zip(plans, highest, mapping, strict=True)
    ]
