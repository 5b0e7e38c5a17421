"""What was chosen lately, from counters that only grow.

Each rank counts since it started. The difference between two readings is
what was chosen in between; older differences fade by half every
``half_life_ms``, so that a shift of demand shows within a second or two and
a short burst does not.
"""

import array
import zlib

import attrs

HALF_LIFE_MS = 1500
COUNT_TYPE = "Q"


def pack(counts):
    """Counts (whole numbers) as compressed bytes."""
    return zlib.compress(array.array(COUNT_TYPE, counts).tobytes(), 1)


def unpack(data):
    """The counts of :func:`pack`'s bytes."""
    return list(array.array(COUNT_TYPE, zlib.decompress(data)))


@attrs.define
class Window:
    """Faded counts over all ranks, and each rank's last reading."""

    half_life_ms: int = HALF_LIFE_MS
    last_by_rank: dict = attrs.field(factory=dict)
    faded: list = attrs.field(factory=list)
    at_ms: int | None = None

    def add(self, now, counts_by_rank):
        """Take in one reading of every rank at *now*."""
        fresh = [0.0] * len(next(iter(counts_by_rank.values())))
        for rank, counts in counts_by_rank.items():
            last = self.last_by_rank.get(rank)
            if last is None or len(last) != len(counts):
                continue
            if any(a < b for a, b in zip(counts, last, strict=True)):
                continue
            for i, (a, b) in enumerate(zip(counts, last, strict=True)):
                fresh[i] += a - b
        self.last_by_rank = dict(counts_by_rank)
        if self.at_ms is None or len(self.faded) != len(fresh):
            self.faded = fresh
        else:
            keep = 0.5 ** ((now - self.at_ms) / self.half_life_ms)
            self.faded = [f * keep + n for f, n in zip(self.faded, fresh, strict=True)]
        self.at_ms = now

    def resume(self, now):
        """Go on after a pause in which nothing could be chosen.

        What was in demand before an outage is the best there is to plan the
        first map after it by; faded for as long as the group stood, it was
        too little to plan by, and the group ran on its first map meanwhile.
        """
        if self.at_ms is not None:
            self.at_ms = now

    def by_set(self, sets):
        """The faded counts by set and expert."""
        size = len(self.faded) // sets
        return [self.faded[i * size : (i + 1) * size] for i in range(sets)]
