"""What was chosen lately: faded sums of what each reading of the ranks adds.

Engines count since they started; a rank's agent hands on what came to that
since it was last asked (:class:`Counter`). The lead adds up all ranks' parts
and fades older ones by half every :data:`HALF_LIFE_MS`.

Demand does not drift, it jumps: the popular experts of a set are others from one
pass to the next, and then stay for seconds. A set whose newest reading differs from
what was seen before by more than readings do is taken to have jumped, and what was
before is forgotten at once (:class:`Jumps`). Faded only, old demand was in three maps
in a row, each a little less wrong than the one before.
"""

import statistics
import zlib

import attrs

# Between two jumps readings differ by the prompts that are read, which a longer mean
# evens out; where sets jump one after the other, a shorter one follows sooner.
HALF_LIFE_MS = 300
# A reading is of other demand than the mean before it where the two differ in so many
# times the part of choices that is usual between readings of the set, and in this part
# at least.
JUMP_TIMES = 2.0
LEAST_JUMP = 0.15
# How many readings tell what is usual, and how many are needed for it.
USUAL_READINGS = 16
LEAST_READINGS = 4
# Counts travel as a byte each, the largest of a reading as 128 to 255: whole
# counters of 24 ranks and 16 sets took 108 KB a reading, a quarter of a second
# of an agent's link, against 24 KB.
BYTE_BITS = 8
FAST = 1


def pack(counts):
    """*counts* (whole numbers) as bytes, each to within 1/128 of the largest."""
    shift = max(0, max(counts, default=0).bit_length() - BYTE_BITS)
    return bytes([shift]) + zlib.compress(bytes(c >> shift for c in counts), FAST)


def unpack(data):
    """The counts of :func:`pack`'s bytes."""
    shift = data[0]
    return [byte << shift for byte in zlib.decompress(data[1:])]


def total(parts):
    """The sum by expert of *parts* (lists of counts)."""
    return [sum(chosen) for chosen in zip(*parts, strict=True)]


@attrs.define
class Counter:
    """What one rank's counters, which only grow, have grown by."""

    last: list | None = None
    epoch: int | None = None

    def grown(self, counts, epoch=None):
        """The growth since the last call; none at first and after a restart.

        A restarted rank counts from 0: its growth would be taken for demand. Where
        nobody asked for so long that its new counts are past the old ones, only the
        group's *epoch* tells, which is another whenever a rank was lost.
        """
        last, self.last = self.last, counts
        same = epoch == self.epoch
        self.epoch = epoch
        if last is None or not same or len(last) != len(counts):
            return [0] * len(counts)
        grown = [after - before for after, before in zip(counts, last, strict=True)]
        return [0] * len(counts) if min(grown, default=0) < 0 else grown


def difference(before, after):
    """The part of the choices in which two counts by expert differ (0 to 1)."""
    total_before, total_after = sum(before), sum(after)
    if not total_before or not total_after:
        return 0.0
    pairs = zip(before, after, strict=True)
    return sum(abs(b / total_before - a / total_after) for b, a in pairs) / 2


@attrs.define
class Jumps:
    """How much the readings of one set differ, as a rule."""

    differences: list = attrs.field(factory=list)

    def has_jumped(self, before, after):
        """Whether the reading *after* is of other demand than the mean *before*."""
        if not any(after):
            return False
        found = difference(before, after)
        least = LEAST_JUMP
        if len(self.differences) >= LEAST_READINGS:
            least = max(least, JUMP_TIMES * statistics.median(self.differences))
        self.differences.append(found)
        del self.differences[:-USUAL_READINGS]
        return found > least


@attrs.define
class Window:
    """Faded counts over all ranks, without those from before a jump of demand."""

    half_life_ms: int = HALF_LIFE_MS
    faded: list = attrs.field(factory=list)
    at_ms: int | None = None
    jumps_by_set: dict = attrs.field(factory=dict)
    jumped: int = 0

    def add(self, now, fresh, sets=1):
        """Take in one reading at *now* of all ranks' sums, of *sets* sets in a row."""
        if self.at_ms is None or len(self.faded) != len(fresh):
            self.faded = fresh
        else:
            keep = 0.5 ** ((now - self.at_ms) / self.half_life_ms)
            self._fade(keep, fresh, sets)
        self.at_ms = now

    def _fade(self, keep, fresh, sets):
        size = len(fresh) // sets
        for number in range(sets):
            place = slice(number * size, (number + 1) * size)
            before, after = self.faded[place], fresh[place]
            jumps = self.jumps_by_set.setdefault(number, Jumps())
            if jumps.has_jumped(before, after):
                self.jumped += 1
                self.faded[place] = after
            else:
                pairs = zip(before, after, strict=True)
                self.faded[place] = [b * keep + a for b, a in pairs]

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
