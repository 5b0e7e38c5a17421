"""Demand for experts as groups of ranks show it, and a lead that follows it.

Two parts make up what is chosen in a set, as read from engines every 100 ms:
one that all requests share (65 in 100), in which few experts get most and which
moves on to other experts within one pass every few seconds, set by set; and one
that each request brings by its topic, so that the few prompts that are read at
one time show.

:class:`Follower` is the lead's loop on these readings: a window, a plan, and a
map that is in force once orders and copies have taken their time.
"""

import random

import attrs

from dunlinpoint.config import document as config
from dunlinpoint.experts import benefit, placement, window

READING_MS = 100
# Preparing, holding and arming without the copies: 0.2 to 0.3 s.
ORDERS_MS = 250
COMMON = 0.65
TOPICS = 9
# Prompts that are read within one reading.
PROMPTS = 3
SKEW = 0.92
TOKENS = 1_000_000
# A pass with even loads, in ms; the part that experts take grows with the load.
EVEN_PASS_MS = 45
# How much longer passes take while ranks copy.
COPYING = 1.15


def popular(rng, experts):
    """Shares by expert in an order drawn anew."""
    weights = [1 / place**SKEW for place in range(1, experts + 1)]
    total = sum(weights)
    rng.shuffle(order := list(range(experts)))
    shares = [0.0] * experts
    for expert, weight in zip(order, weights, strict=True):
        shares[expert] = weight / total
    return shares


def readings(shape, seconds, moves_on_ms, seed):
    """Counts of all sets in a row, one reading after the other.

    One set after the other moves on, all of them within *moves_on_ms*; ``None``
    if none ever does.
    """
    rng = random.Random(seed)
    topics = [
        [popular(rng, shape.experts) for _ in range(shape.sets)] for _ in range(TOPICS)
    ]
    common = [popular(rng, shape.experts) for _ in range(shape.sets)]
    for number in range(seconds * 1000 // READING_MS):
        if moves_on_ms:
            every = moves_on_ms // READING_MS // shape.sets
            if number and number % every == 0:
                moving = number // every % shape.sets
                common[moving] = popular(rng, shape.experts)
        prompts = rng.choices(topics, k=PROMPTS)
        counts = []
        for i in range(shape.sets):
            for e in range(shape.experts):
                topical = sum(topic[i][e] for topic in prompts) / PROMPTS
                share = COMMON * common[i][e] + (1 - COMMON) * topical
                counts.append(int(TOKENS * share))
        yield counts


@attrs.define
class Follower:
    """A lead's loop, and what came of it.

    ``cost`` is the mean length of passes over that with even loads, ``moved``
    how many experts were copied, ``changes`` how many maps came in force.
    """

    shape: config.Experts
    ranks: int
    room: placement.RankCapacity
    half_life_ms: int = window.HALF_LIFE_MS
    cost: float = 0.0
    moved: int = 0
    changes: int = 0

    def follow(self, counts_by_reading):
        """Play all readings; returns this."""
        shape = self.shape
        mapping = placement.round_robin(shape.sets, shape.experts, self.ranks)
        seen = window.Window(self.half_life_ms)
        coming, in_force_ms, copied_ms = None, 0, 0
        costs = []
        for number, counts in enumerate(counts_by_reading):
            now = number * READING_MS
            if coming is not None and now >= in_force_ms:
                mapping, coming = coming, None
                self.changes += 1
            chosen = window.Window()
            chosen.add(now, counts, shape.sets)
            by_set = chosen.by_set(shape.sets)
            even = placement.even_load(by_set, self.ranks)
            load = placement.step_load(mapping, by_set) / even
            cost = 1 - benefit.EXPERT_SHARE + benefit.EXPERT_SHARE * load
            costs.append(cost * (COPYING if now < copied_ms else 1))
            seen.add(now, counts, shape.sets)
            if coming is None:
                coming = self.plan(mapping, seen.by_set(shape.sets))
                if coming is not None:
                    self.moved += placement.moved(mapping, coming)
                    most = placement.largest_part(mapping, coming)
                    copied_ms = now + most * shape.copy_ms
                    in_force_ms = copied_ms + ORDERS_MS
        self.cost = sum(costs) / len(costs)
        return self

    def plan(self, mapping, counts):
        """A map that is worth its copies, or ``None``."""
        even = placement.even_load(counts, self.ranks)
        before = placement.step_load(mapping, counts)
        pass_ms = EVEN_PASS_MS * before / even
        proposed = placement.improve(mapping, counts, self.room)
        after = placement.step_load(proposed, counts)
        moved = placement.moved(mapping, proposed)
        least = benefit.min_saved_ms(self.shape, moved, self.ranks)
        saved = benefit.saved_ms(pass_ms, before, after)
        return proposed if saved >= least else None
