"""Synthetic expert demand of groups of ranks, and a leader's loop that follows it.

The choices of experts in a set, as read from engines every 100 ms, have two parts. The
part shared by all requests (65 in 100) is concentrated on few experts, and shifts to
other experts within one step every few seconds, set by set. The other part depends on
each request's topic, so that it shows the few prompts that are processed at a time.

:class:`SimulatedLeader` runs the leader's loop on these readings: a window, a plan, and
a map that is in force after the time that commands and copies take.
"""

import random

import attrs

from dunlinpoint.config import document as config
from dunlinpoint.experts import benefit, placement, window

READING_MS = 100
# Time to prepare, hold and arm without the copies: 0.2 to 0.3 s.
COMMANDS_MS = 250
COMMON_SHARE = 0.65
TOPICS = 9
# Number of prompts processed during one reading.
PROMPTS = 3
# An expert's weight is its position by popularity to the power of minus this.
POPULARITY_EXPONENT = 0.92
TOKENS_PER_READING = 1_000_000
# Duration of a step with even loads, in ms; the share of experts grows with the load.
EVEN_STEP_MS = 45
# Factor by which steps take longer while ranks copy.
COPY_SLOWDOWN = 1.15


def popularity(rng, experts):
    """Return shares by expert, in a newly drawn order of popularity."""
    weights = [1 / position**POPULARITY_EXPONENT for position in range(1, experts + 1)]
    total = sum(weights)
    rng.shuffle(order := list(range(experts)))
    shares = [0.0] * experts
    for expert, weight in zip(order, weights, strict=True):
        shares[expert] = weight / total
    return shares


def readings(shape, seconds, shift_period_ms, seed):
    """Yield the counts of all sets in one flat list, reading by reading.

    Demand shifts in one set after the other, in all of them within *shift_period_ms*;
    never if that is ``None``.
    """
    rng = random.Random(seed)
    topics = [
        [popularity(rng, shape.experts) for _ in range(shape.sets)]
        for _ in range(TOPICS)
    ]
    common = [popularity(rng, shape.experts) for _ in range(shape.sets)]
    for number in range(seconds * 1000 // READING_MS):
        if shift_period_ms:
            set_period = shift_period_ms // READING_MS // shape.sets
            if number and number % set_period == 0:
                shifted_set = number // set_period % shape.sets
                common[shifted_set] = popularity(rng, shape.experts)
        prompts = rng.choices(topics, k=PROMPTS)
        counts = []
        for i in range(shape.sets):
            for e in range(shape.experts):
                topical = sum(topic[i][e] for topic in prompts) / PROMPTS
                share = COMMON_SHARE * common[i][e] + (1 - COMMON_SHARE) * topical
                counts.append(int(TOKENS_PER_READING * share))
        yield counts


@attrs.define
class SimulatedLeader:
    """A leader's loop and its results.

    ``cost`` is the mean step duration relative to even loads, ``moved`` the number of
    experts copied, ``changes`` the number of maps that came into force.
    """

    shape: config.Experts
    ranks: int
    capacity: placement.RankCapacity
    half_life_ms: int = window.HALF_LIFE_MS
    cost: float = 0.0
    moved: int = 0
    changes: int = 0

    def run(self, counts_by_reading):
        """Process all readings; return this object."""
        shape = self.shape
        mapping = placement.round_robin(shape.sets, shape.experts, self.ranks)
        recent = window.Window(self.half_life_ms)
        next_mapping, in_force_ms, copied_ms = None, 0, 0
        costs = []
        for number, counts in enumerate(counts_by_reading):
            now = number * READING_MS
            if next_mapping is not None and now >= in_force_ms:
                mapping, next_mapping = next_mapping, None
                self.changes += 1
            chosen = window.Window()
            chosen.add(now, counts, shape.sets)
            by_set = chosen.by_set(shape.sets)
            even = placement.even_load(by_set, self.ranks)
            load = placement.step_load(mapping, by_set) / even
            cost = 1 - benefit.EXPERT_SHARE + benefit.EXPERT_SHARE * load
            costs.append(cost * (COPY_SLOWDOWN if now < copied_ms else 1))
            recent.add(now, counts, shape.sets)
            if next_mapping is None:
                next_mapping = self.plan(mapping, recent.by_set(shape.sets))
                if next_mapping is not None:
                    self.moved += placement.moved(mapping, next_mapping)
                    most = placement.max_new_experts(mapping, next_mapping)
                    copied_ms = now + most * shape.copy_ms
                    in_force_ms = copied_ms + COMMANDS_MS
        self.cost = sum(costs) / len(costs)
        return self

    def plan(self, mapping, counts):
        """Return a map whose benefit justifies its copies, or ``None``."""
        even = placement.even_load(counts, self.ranks)
        before = placement.step_load(mapping, counts)
        step_ms = EVEN_STEP_MS * before / even
        proposed = placement.improve(mapping, counts, self.capacity)
        after = placement.step_load(proposed, counts)
        moved = placement.moved(mapping, proposed)
        minimum_ms = benefit.min_saved_ms(self.shape, moved, self.ranks)
        saved = benefit.saved_ms(step_ms, before, after)
        return proposed if saved >= minimum_ms else None
