"""An entry's share of an endpoint's rate limit, which holds for all entries together.

No entry sees what the others send. They divide the rate by what each of them knows: the
number of entries, its own index among them, its part of the demand of all, and the
rate. A low rate is assigned to a few entries, selected by a hash of the endpoint's
incarnation key, and each of these spaces out its requests. Divided among all, thirty
entries with one unused request each could send all of them in the same second. So much
of a rate as is divided by demand goes to the entries that have the callers.

The other entries send a request now and then, or they would not learn that the limit
has ended. They do not accumulate the requests that they do not use.

Where an endpoint must not receive more than a number of requests in any second
(:func:`bounded_interval_ms`), the other entries send none.
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
# The fraction of the rate that is divided by the number of entries where their demand
# is known: what an entry may send before controls know that callers have come to it.
BY_NUMBER_FRACTION = 1 / 3
# Minimum rate (requests a second): an endpoint that gets no request can't lift its
# limit.
MIN_PER_S = 0.1
# Span over which the requests to a bounded endpoint are counted, and what is added to
# it because requests take differently long to arrive.
BOUND_SPAN_MS = 1000
ARRIVAL_JITTER_MS = 50
CRC_BITS = 32


@attrs.frozen
class Share:
    """One entry's share of a rate.

    One request is due every ``interval_ms``. If it is not sent within
    ``due_window_ms``, it is skipped.
    """

    interval_ms: float
    due_window_ms: float = math.inf

    @classmethod
    def of(cls, per_s, incarnation, index, entry_count, demand_share=None):
        """The share of *per_s* for the entry with *index* (from 0) of *entry_count*.

        *demand_share* is its part (0 to 1) of the demand of all entries, if known.
        """
        per_s = max(per_s, MIN_PER_S)
        share = cls._by_number(per_s, incarnation, index, entry_count)
        if demand_share is None:
            return share
        own_per_s = (
            BY_NUMBER_FRACTION * clock.MS_PER_SECOND / share.interval_ms
            + (1 - BY_NUMBER_FRACTION) * demand_share * per_s
        )
        return cls(clock.MS_PER_SECOND / own_per_s, share.due_window_ms)

    @classmethod
    def _by_number(cls, per_s, incarnation, index, entry_count):
        users = min(entry_count, BURST_REQUESTS + int(BURST_S * per_s))
        others = entry_count - users
        if (index + zlib.crc32(incarnation.encode())) % entry_count < users:
            per_s *= 1 if not others else 1 - PROBE_FRACTION
            return cls(clock.MS_PER_SECOND * users / per_s)
        return cls(
            clock.MS_PER_SECOND * others / (per_s * PROBE_FRACTION), DUE_WINDOW_MS
        )


def requests_per_span(per_s):
    """The requests that all entries send in the span of a bound at the rate *per_s*."""
    return max(
        1, math.ceil(per_s * (BOUND_SPAN_MS + ARRIVAL_JITTER_MS) / BOUND_SPAN_MS)
    )


def bounded_interval_ms(per_s, most, incarnation, index, entry_count):
    """The spacing (ms) of one entry's requests to an endpoint with a bound.

    With it, all entries together send *per_s* requests a second and at most *most* in
    any second. It is infinite for an entry that may send none.

    The entries that may send are an interval of the order of all, beginning at a
    fraction of their number that is derived from *incarnation*. So an entry that is
    added or removed shifts the interval by one at most.
    """
    users = min(entry_count, most, requests_per_span(per_s))
    if users < 1:
        return math.inf
    first = zlib.crc32(incarnation.encode()) * entry_count >> CRC_BITS
    rank = (index - first) % entry_count
    if rank >= users:
        return math.inf
    span_ms = BOUND_SPAN_MS + ARRIVAL_JITTER_MS
    own_most = most // users + (rank < most % users)
    return max(users * BOUND_SPAN_MS / per_s, span_ms / own_most)


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
