"""Maps of experts to ranks, the load that they put on ranks, and improved maps.

A map is a list by set of lists by rank of expert numbers. Ranks that hold the same
expert share its tokens evenly. Ranks advance in lock-step, so in each set a step costs
what the most loaded rank costs: the cost measure is the sum over sets of the highest
load (:func:`step_load`).

:func:`improve` starts from the map in force and only adds, drops or moves single
experts where that lowers the highest load. A map made from scratch would be slightly
more even, but would move almost every expert, and steps take longer while experts are
copied.

A map is in force only once the slowest rank has copied its new experts, and by then
other experts may be popular. Each change is therefore kept small at every rank
(:class:`RankCapacity`) and starts with the sets that gain most. If more can be gained,
the next change follows at once.
"""

import attrs

# Minimum reduction of the highest load by one more copy, as a share of that load.
MIN_GAIN_SHARE = 0.02
# Number of experts of the most loaded rank that are considered for each change.
CANDIDATES = 8


def round_robin(sets, experts, ranks):
    """Return the map that assigns experts to ranks in round-robin order."""
    return [
        [list(range(rank, experts, ranks)) for rank in range(ranks)]
        for _ in range(sets)
    ]


@attrs.frozen
class RankCapacity:
    """Limits per rank for one change of map.

    *places* is how many experts of a set a rank can hold, *spare* how many new experts
    of one set it may copy, and *new* how many over all sets.
    """

    places: int
    spare: int
    new: int


def set_loads(holders, counts):
    """Return the load by rank of one set, from *counts* by expert."""
    copies = [0] * len(counts)
    for held in holders:
        for expert in held:
            copies[expert] += 1
    return [sum(counts[e] / copies[e] for e in held) for held in holders]


def step_load(mapping, counts):
    """Return the sum over sets of the highest load; *counts* is by set and expert."""
    return sum(
        max(set_loads(holders, chosen))
        for holders, chosen in zip(mapping, counts, strict=True)
    )


def even_load(counts, ranks):
    """Return what :func:`step_load` would be if every rank had the same load."""
    return sum(sum(chosen) / ranks for chosen in counts)


def moved(old, new):
    """Return how many experts are new to their rank, over all sets."""
    return sum(
        len(set(after) - set(before))
        for old_set, new_set in zip(old, new, strict=True)
        for before, after in zip(old_set, new_set, strict=True)
    )


def max_new_experts(old, new):
    """Return the largest number of experts that are new to one rank."""
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
    """Addition of one expert to rank ``target``.

    Expert ``drop`` is removed from that rank, unless it is ``None``.

    ``highest`` is the higher load of the two ranks after the change, ``saved`` how much
    lower that is than the highest load before. If ``is_move``, the expert is removed
    from rank ``source``.
    """

    highest: float
    expert: int
    source: int
    target: int
    drop: int | None
    is_move: bool
    saved: float = 0.0


@attrs.define
class SetPlan:
    """Holders of one set's experts while they are improved."""

    holders: list
    counts: list
    capacity: RankCapacity
    before: list
    ranks_by_expert: list
    copies: list
    load: list
    new_by_rank: list

    @classmethod
    def from_holders(cls, holders, counts, capacity, new_by_rank):
        """A plan that starts from *holders* (lists of experts by rank).

        *new_by_rank*, the number of experts that each rank has to copy, is shared by
        the plans of all sets.
        """
        ranks_by_expert = [set() for _ in counts]
        for rank, held in enumerate(holders):
            for expert in held:
                ranks_by_expert[expert].add(rank)
        return cls(
            holders=[set(held) for held in holders],
            counts=counts,
            capacity=capacity,
            before=[set(held) for held in holders],
            ranks_by_expert=ranks_by_expert,
            copies=[len(ranks) for ranks in ranks_by_expert],
            load=set_loads(holders, counts),
            new_by_rank=new_by_rank,
        )

    def share(self, expert):
        """Return the tokens that each holder of *expert* gets."""
        return self.counts[expert] / self.copies[expert]

    def is_new(self, rank, expert):
        """Whether *rank* would have to copy *expert*."""
        return expert not in self.before[rank]

    def _can_add(self, rank, expert):
        if expert in self.holders[rank]:
            return False
        if not self.is_new(rank, expert):
            return True
        if self.new_by_rank[rank] >= self.capacity.new:
            return False
        return len(self.holders[rank] - self.before[rank]) < self.capacity.spare

    def _redundant_copy(self, rank, expert):
        """Return an expert that *rank* can drop for *expert*, or ``None``."""
        extra = [x for x in self.holders[rank] if self.copies[x] > 1 and x != expert]
        return min(extra, key=self.share, default=None)

    def _options(self, source, expert, by_load):
        """Yield changes that take load of *expert* off the most loaded rank."""
        count, copies = self.counts[expert], self.copies[expert]
        for target in by_load:
            if target == source or not self._can_add(target, expert):
                continue
            drop, freed = None, 0.0
            if len(self.holders[target]) >= self.capacity.places:
                drop = self._redundant_copy(target, expert)
                if drop is None:
                    continue
                freed = self.share(drop)
            whole, shared = count / copies, count / (copies + 1)
            source_after = self.load[source] - (whole - shared)
            target_after = self.load[target] + shared - freed
            yield Change(
                max(source_after, target_after),
                expert,
                source,
                target,
                drop,
                is_move=False,
            )
            source_after = self.load[source] - whole
            target_after = self.load[target] + whole - freed
            yield Change(
                max(source_after, target_after),
                expert,
                source,
                target,
                drop,
                is_move=True,
            )
            return

    def best_change(self):
        """Return the change that lowers the highest load most, or ``None``."""
        by_load = sorted(range(len(self.load)), key=self.load.__getitem__)
        source = by_load[-1]
        heavy = sorted(self.holders[source], key=self.share, reverse=True)[:CANDIDATES]
        options = [o for e in heavy for o in self._options(source, e, by_load)]
        best = min(options, key=lambda o: o.highest, default=None)
        if best is None or best.highest > self.load[source] * (1 - MIN_GAIN_SHARE):
            return None
        best.saved = self.load[source] - best.highest
        return best

    def apply(self, change):
        """Apply *change* to the plan."""
        if self.is_new(change.target, change.expert):
            self.new_by_rank[change.target] += 1
        if change.drop is not None:
            self._remove(change.target, change.drop)
        if change.is_move:
            self._remove(change.source, change.expert)
        self._add(change.target, change.expert)

    # Loads are updated incrementally, as only the holders of the changed expert are
    # affected. Recomputing them for all 72 ranks of a set took half of the 25 ms that a
    # plan takes.

    def _add(self, rank, expert):
        self._adjust_loads(expert, -1)
        self.holders[rank].add(expert)
        self.ranks_by_expert[expert].add(rank)
        self.copies[expert] += 1
        self._adjust_loads(expert, 1)

    def _remove(self, rank, expert):
        self._adjust_loads(expert, -1)
        self.holders[rank].discard(expert)
        self.ranks_by_expert[expert].discard(rank)
        self.copies[expert] -= 1
        self._adjust_loads(expert, 1)

    def _adjust_loads(self, expert, sign):
        """Add (1) or subtract (-1) *expert*'s share in its holders' loads."""
        if not self.copies[expert]:
            return
        share = sign * self.share(expert)
        for rank in self.ranks_by_expert[expert]:
            self.load[rank] += share


def improve(mapping, counts, capacity):
    """Return a better map than *mapping* for *counts*, within the limits *capacity*.

    *counts* is by set and expert. Of all sets, the change that saves most is applied
    first, so that a rank's copies are used where they shorten a step most.
    """
    ranks = len(mapping[0])
    new_by_rank = [0] * ranks
    plans = [
        SetPlan.from_holders(holders, chosen, capacity, new_by_rank)
        for holders, chosen in zip(mapping, counts, strict=True)
    ]
    highest = [max(plan.load) for plan in plans]
    changes = [plan.best_change() for plan in plans]
    for _ in range(ranks * min(capacity.new, capacity.spare * len(plans))):
        number = max(
            (i for i, change in enumerate(changes) if change is not None),
            key=lambda i: changes[i].saved,
            default=None,
        )
        if number is None:
            break
        target = changes[number].target
        plans[number].apply(changes[number])
        full = new_by_rank[target] >= capacity.new
        for i, change in enumerate(changes):
            if i == number or (full and change is not None and change.target == target):
                changes[i] = plans[i].best_change()
    return [
        [sorted(held) for held in (plan.holders if max(plan.load) < most else before)]
        for plan, most, before in zip(plans, highest, mapping, strict=True)
    ]
