"""An entry's share of an endpoint's rate limit, which holds for all entries together.

No entry sees what the others send. They divide the rate by what each of them knows: the
number of entries, its own index among them, and the rate. A low rate is assigned to a
few entries, selected by a hash of the endpoint's incarnation key, and each of these
spaces out its requests. Divided among all, thirty entries with one unused request each
could send all of them in the same second.

The other entries send a request now and then, or they would not learn that the limit
has ended. They do not accumulate the requests that they do not use.
"""

import math
import zlib

import attrs

from dunlinpoint import clock

# The largest burst, and so the number of entries that share most of the rate: some
# requests that any endpoint can run at once, plus the rate over BURST_S seconds.
BURST_REQUESTS = 4
BURST_S = 2.0
# The fraction of the rate that is left to the other entries.
PROBE_FRACTION = 0.2
# How long one of these may send its request once it is due.
DUE_WINDOW_MS = 1000
# Minimum rate (requests a second): an endpoint that gets no request can't lift its
# limit.
MIN_PER_S = 0.1


@attrs.frozen
class Share:
    """One entry's share of a rate.

    One request is due every ``interval_ms``. If it is not sent within
    ``due_window_ms``, it is skipped.
    """

    interval_ms: float
    due_window_ms: float = math.inf

    @classmethod
    def of(cls, per_s, incarnation, index, entry_count):
        """The share of *per_s* for the entry with *index* (from 0) of *entry_count*."""
        per_s = max(per_s, MIN_PER_S)
        users = min(entry_count, BURST_REQUESTS + int(BURST_S * per_s))
        others = entry_count - users
        if (index + zlib.crc32(incarnation.encode())) % entry_count < users:
            per_s *= 1 if not others else 1 - PROBE_FRACTION
            return cls(clock.MS_PER_SECOND * users / per_s)
        return cls(
            clock.MS_PER_SECOND * others / (per_s * PROBE_FRACTION), DUE_WINDOW_MS
        )


@attrs.define
class Limiter:
    """When this entry may send requests to one endpoint with a rate limit.

    ``per_s`` is the limit (requests a second) for all entries, ``last_signal_ms`` when
    an answer last bore it, and ``next_ms`` when the next request is due.
    """

    per_s: float
    last_signal_ms: int
    share: Share
    next_ms: float

    @classmethod
    def begin(cls, per_s, now, share, rng):
        """A limit first received at *now*; the first request has a random offset."""
        return cls(per_s, now, share, now + share.interval_ms * rng.random())

    def set_share(self, share, now):
        """Change this entry's share, without delaying the next request."""
        self.share = share
        self.next_ms = min(self.next_ms, now + share.interval_ms)

    def available_ms(self, now):
        """When (ms) the next request may be sent."""
        missed = now - self.next_ms
        if missed > self.share.due_window_ms:
            self.next_ms += (
                math.ceil(missed / self.share.interval_ms) * self.share.interval_ms
            )
        return self.next_ms

    def sent(self, now):
        """Record that a request is sent."""
        self.next_ms = now + self.share.interval_ms
