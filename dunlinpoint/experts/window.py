"""Recent expert demand: decayed sums of the counts in each reading of the ranks.

Engine counters are cumulative since the engine started; a rank's agent returns the
growth since it was last asked (:class:`Counter`). The leader adds up the counts of all
ranks and halves the weight of older ones every :data:`HALF_LIFE_MS`.

Demand does not drift but shifts abruptly: the popular experts of a set change from one
step to the next and then stay for seconds. If the newest reading of a set differs from
the decayed counts by more than readings usually do, a demand shift is assumed and the
older counts are discarded at once (:class:`DemandShiftDetector`). With decay alone, old
demand was part of three maps in a row, each a little less wrong than the one before.
"""

import statistics
import zlib

import attrs

# Between two demand shifts, readings differ by the prompts being processed, which a
# longer average smooths; where sets shift one after the other, a shorter one adapts
# sooner.
HALF_LIFE_MS = 300
# A reading indicates a demand shift if the share of choices in which it differs from
# the decayed counts is this many times the usual difference between readings of the
# set, and at least the second value (a share of 0 to 1).
SHIFT_FACTOR = 2.0
MIN_SHIFT = 0.15
# Number of readings from which the usual difference is taken, and the minimum for it.
USUAL_READINGS = 16
MIN_READINGS = 4
# Counts are sent as one byte each, the largest of a reading scaled to 128 to 255.
# Unscaled counters of 24 ranks and 16 sets took 108 KB a reading, a quarter of a second
# of an agent's link; bytes take 24 KB.
BYTE_BITS = 8
ZLIB_LEVEL = 1
# Maximum span of one reading of a rank's counters. The growth over a longer silence of
# the leader is mostly demand from before a shift, and outweighs all newer readings.
MAX_READING_SPAN_MS = 1000


def pack(counts):
    """Encode *counts* (integers) as bytes, each to within 1/128 of the largest."""
    shift = max(0, max(counts, default=0).bit_length() - BYTE_BITS)
    return bytes([shift]) + zlib.compress(bytes(c >> shift for c in counts), ZLIB_LEVEL)


def unpack(data):
    """Decode the counts from the bytes of :func:`pack`."""
    shift = data[0]
    return [byte << shift for byte in zlib.decompress(data[1:])]


def total(parts):
    """Sum *parts* (lists of counts by expert) by expert."""
    return [sum(chosen) for chosen in zip(*parts, strict=True)]


@attrs.define
class Counter:
    """Growth of one rank's cumulative counters."""

    last: list | None = None
    epoch: int | None = None
    read_ms: int | None = None

    def growth(self, counts, epoch=None, now=0):
        """Return the growth from the last call to *now* (ms).

        Zeros at first, after a restart, and if the last call is more than
        :data:`MAX_READING_SPAN_MS` ago.

        A restarted rank counts from 0, and its growth would be taken for demand. If
        the rank was not asked until its new counts had passed the old ones, only the
        group's *epoch* reveals the restart: it changes whenever a rank is lost.
        """
        last, self.last = self.last, counts
        same_epoch = epoch == self.epoch
        self.epoch = epoch
        read_ms, self.read_ms = self.read_ms, now
        if last is None or not same_epoch or len(last) != len(counts):
            return [0] * len(counts)
        if now - read_ms > MAX_READING_SPAN_MS:
            return [0] * len(counts)
        growth = [after - before for after, before in zip(counts, last, strict=True)]
        return [0] * len(counts) if min(growth, default=0) < 0 else growth


def difference(before, after):
    """Share of choices (0 to 1) in which two lists of counts by expert differ."""
    total_before, total_after = sum(before), sum(after)
    if not total_before or not total_after:
        return 0.0
    pairs = zip(before, after, strict=True)
    return sum(abs(b / total_before - a / total_after) for b, a in pairs) / 2


@attrs.define
class DemandShiftDetector:
    """Detects demand shifts of one set from the usual difference of its readings."""

    differences: list = attrs.field(factory=list)

    def has_shifted(self, before, after):
        """Whether the reading *after* shows other demand than the average *before*."""
        if not any(after):
            return False
        share = difference(before, after)
        threshold = MIN_SHIFT
        if len(self.differences) >= MIN_READINGS:
            threshold = max(
                threshold, SHIFT_FACTOR * statistics.median(self.differences)
            )
        self.differences.append(share)
        del self.differences[:-USUAL_READINGS]
        return share > threshold


@attrs.define
class Window:
    """Decayed counts over all ranks, without counts from before a demand shift.

    ``decayed_to_ms`` is the time as of which the counts have decayed.
    """

    half_life_ms: int = HALF_LIFE_MS
    decayed: list = attrs.field(factory=list)
    decayed_to_ms: int | None = None
    detector_by_set: dict = attrs.field(factory=dict)
    shift_count: int = 0

    def add(self, now, counts, sets=1):
        """Add one reading at *now* (ms): the sums over all ranks, set by set.

        *counts* holds *sets* sets in one flat list.
        """
        if self.decayed_to_ms is None or len(self.decayed) != len(counts):
            self.decayed = counts
        else:
            weight = 0.5 ** ((now - self.decayed_to_ms) / self.half_life_ms)
            self._decay(weight, counts, sets)
        self.decayed_to_ms = now

    def _decay(self, weight, counts, sets):
        size = len(counts) // sets
        for number in range(sets):
            span = slice(number * size, (number + 1) * size)
            before, after = self.decayed[span], counts[span]
            detector = self.detector_by_set.setdefault(number, DemandShiftDetector())
            if detector.has_shifted(before, after):
                self.shift_count += 1
                self.decayed[span] = after
            else:
                pairs = zip(before, after, strict=True)
                self.decayed[span] = [b * weight + a for b, a in pairs]

    def resume(self, now):
        """Continue after an outage in which no expert could be chosen.

        Demand from before the outage is the best available basis for the first map
        after it. Decayed over the duration of the outage, the counts were too few to
        plan by, and the group kept its first map meanwhile.
        """
        if self.decayed_to_ms is not None:
            self.decayed_to_ms = now

    def by_set(self, sets):
        """Return the decayed counts by set and expert."""
        size = len(self.decayed) // sets
        return [self.decayed[i * size : (i + 1) * size] for i in range(sets)]
