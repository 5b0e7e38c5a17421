"""An entry's share of an endpoint's rate limit, which holds for all entries together.

No entry sees what the others send. They divide the rate by what each of them knows: the
number of entries, its own index among them, and the rate. A low rate is assigned to a
few entries, selected by a hash of the endpoint's name, and each of these spaces out its
requests. Divided among all, thirty entries with one unused request each could send all
of them in the same second.

The other entries send a request now and then, or they would not learn that the limit
has ended. They do not accumulate the requests that they do not use.
"""

import math
import zlib

import attrs

from dunlinpoint import clock

# The largest burst, and so the number of entries that share most of the rate: some
# requests that any endpoint can run at once, plus the rate over BURST_S seconds.
AT_ONCE = 4
BURST_S = 2.0
# The fraction of the rate that is left to the other entries.
ASKING_PART = 0.2
# How long one of these may send its request once it is due.
TURN_MS = 1000
# Minimum rate (requests a second): an endpoint that gets no request can't lift its
# limit.
LEAST_PER_S = 0.1


@attrs.frozen
class Part:
    """One entry's share of a rate: its interval, and for how long (ms) a turn lasts.

    ``pause_ms`` is the interval between two requests. A turn not used within
    ``kept_ms`` is skipped.
    """

    pause_ms: float
    kept_ms: float = math.inf

    @classmethod
    def of(cls, per_s, life, place, places):
        """The share of *per_s* for the entry with index *place* of *places*."""
        per_s = max(per_s, LEAST_PER_S)
        users = min(places, AT_ONCE + int(BURST_S * per_s))
        others = places - users
        if (place + zlib.crc32(life.encode())) % places < users:
            per_s *= 1 if not others else 1 - ASKING_PART
            return cls(clock.MS_PER_SECOND * users / per_s)
        return cls(clock.MS_PER_SECOND * others / (per_s * ASKING_PART), TURN_MS)


@attrs.define
class Rate:
    """When this entry may send requests to one endpoint with a rate limit.

    ``per_s`` is the limit (requests a second) for all entries, ``named_ms`` when an
    answer last bore it, and ``turn_ms`` when the next request is due.
    """

    per_s: float
    named_ms: int
    part: Part
    turn_ms: float

    @classmethod
    def begin(cls, per_s, now, part, rng):
        """A limit first received at *now*; the first turn gets a random offset."""
        return cls(per_s, now, part, now + part.pause_ms * rng.random())

    def change(self, part, now):
        """Change this entry's share to *part*, without delaying the next turn."""
        self.part = part
        self.turn_ms = min(self.turn_ms, now + part.pause_ms)

    def available_ms(self, now):
        """When (ms) the next request may be sent."""
        missed = now - self.turn_ms
        if missed > self.part.kept_ms:
            self.turn_ms += math.ceil(missed / self.part.pause_ms) * self.part.pause_ms
        return self.turn_ms

    def sent(self, now):
        """Record that a request is sent."""
        self.turn_ms = now + self.part.pause_ms
