"""An entry's part of the rate that an endpoint takes from all entries together.

No entry sees what the others send. They agree by what each knows: how many entries
there are, which of them it is, and the rate. A slow rate falls to a few of them, drawn
by the endpoint's name, and each of these leaves a pause between two requests. Were it
divided among all, thirty entries that saved up one request each could send all of them
in the same second.

The other entries ask now and then, or they would not learn that the limit is over. What
of that they do not use is not saved up.
"""

import math
import zlib

import attrs

from dunlinpoint import clock

# What the users of a rate may send at once: some requests, which any endpoint runs at
# once, and so many seconds' worth of the rate.
AT_ONCE = 4
BURST_S = 2.0
# The part of a rate that is left to the other entries.
ASKING_PART = 0.2
# How long one of these may ask when its turn comes.
TURN_MS = 1000
# A rate below this counts as this: one that is never asked never lifts its limit.
LEAST_PER_S = 0.1


@attrs.frozen
class Part:
    """The pause between two requests, and for how long (ms) a turn is kept."""

    pause_ms: float
    kept_ms: float = math.inf

    @classmethod
    def of(cls, per_s, life, place, places):
        """What of *per_s* falls to entry *place* (0 up) of *places*."""
        per_s = max(per_s, LEAST_PER_S)
        users = min(places, AT_ONCE + int(BURST_S * per_s))
        others = places - users
        if (place + zlib.crc32(life.encode())) % places < users:
            per_s *= 1 if not others else 1 - ASKING_PART
            return cls(clock.MS_PER_SECOND * users / per_s)
        return cls(clock.MS_PER_SECOND * others / (per_s * ASKING_PART), TURN_MS)


@attrs.define
class Rate:
    """This entry's turns at one endpoint that names a limit.

    ``named_ms`` is when the limit, requests a second, was last named.
    """

    per_s: float
    named_ms: int
    part: Part
    turn_ms: float

    @classmethod
    def begin(cls, per_s, now, part, rng):
        """A limit first heard of at *now*: entries' turns begin apart."""
        return cls(per_s, now, part, now + part.pause_ms * rng.random())

    def change(self, part, now):
        """Another *part* falls to this entry; no turn is put off by it."""
        self.part = part
        self.turn_ms = min(self.turn_ms, now + part.pause_ms)

    def available_ms(self, now):
        """From when (ms) on the next request may be sent."""
        missed = now - self.turn_ms
        if missed > self.part.kept_ms:
            self.turn_ms += math.ceil(missed / self.part.pause_ms) * self.part.pause_ms
        return self.turn_ms

    def sent(self, now):
        """A request is sent."""
        self.turn_ms = now + self.part.pause_ms
