"""Who is let in to a group of ranks: by the length of the passes just seen.

All streams of a group get their next event in the same pass, and the more there are,
the longer a pass takes. Past some number every stream is late at once. Two things make
that worse than it need be. Longer passes make streams last longer, so there are more of
them, so passes are longer still: what began it may be gone for ten seconds. And demand
for experts jumps every few seconds, which makes the passes of the next half second
twice as long; a group that runs near its limit is over it then.

No entry sees how many streams there are, but each sees the pauses between its own
events, which are the same for all. So the longer they are, the fewer of the requests
that come are let in, until passes last nearly as long as is allowed. It needs no
message, and is the same for entries that see two streams and twenty.

Weighed on a model of a group near its limit (``tests/overload.py``): limits of streams
in flight that grow and shrink with the pauses. They were worth less than to let in
everyone: they shrank too late, as streams in flight stay for seconds, and grew too
soon.
"""

import statistics

import attrs

# Pauses that count are at most so much older than the newest: a pass or two.
RECENT_MS = 150
# After so long without an event nothing is known of passes.
STALE_MS = 1000
# Parts of the longest allowed pause: up to the first all are let in, from the second
# on none. On the model, the mean worth of a caller over eight loads near and over the
# limit is 0.75 with 0.7 and 0.9 and with 0.6 and 0.85, 0.74 with 0.75 and 0.85, 0.73
# with 0.5 and 0.8, which keeps some out on calm days as well, and 0.71 with everyone
# let in.
ALL_IN = 0.7
NONE_IN = 0.9
# For callers that came back after a refusal passes count as so much shorter: refused
# again, most have no try left. Larger figures keep out more of those who could still
# be in time.
RETURNED_SHARE = 1 / 1.1
# An entry always lets in so many: with none, nothing shows when a group is fast again.
LEAST_STREAMS = 2
# A caller with less than this part of the longest time left has been here.
FRESH_SHARE = 0.9
# Pauses beyond this many times the allowed one are no pace: the group stood.
STOOD = 4


def has_returned(left_ms, timeout_ms):
    """Whether a caller with *left_ms* of a route's *timeout_ms* came back."""
    return left_ms < FRESH_SHARE * timeout_ms


@attrs.define
class Pace:
    """Streams of one service and group at this entry, and the passes they see.

    ``pause_ms`` is the median of the last pauses, ``None`` before there is any.
    """

    allowed_ms: int
    in_flight: int = 0
    recent: list = attrs.field(factory=list)
    pause_ms: float | None = None
    seen_ms: int = 0

    def saw(self, pause_ms, now):
        """A stream's next event came *pause_ms* after the one before it."""
        if pause_ms > STOOD * self.allowed_ms:
            return
        self.recent = [seen for seen in self.recent if now - seen[0] <= RECENT_MS]
        self.recent.append((now, pause_ms))
        self.pause_ms = statistics.median(pause for _, pause in self.recent)
        self.seen_ms = now

    def share_let_in(self, now, returned=False):
        """The part (0 to 1) of requests, or of *returned* callers', to be let in."""
        if self.in_flight < LEAST_STREAMS or self.pause_ms is None:
            return 1.0
        if now - self.seen_ms > STALE_MS:
            return 1.0
        part = self.pause_ms / self.allowed_ms
        if returned:
            part *= RETURNED_SHARE
        return min(1.0, max(0.0, (NONE_IN - part) / (NONE_IN - ALL_IN)))

    def has_room(self, now, rng, returned=False):
        """Whether one more stream may begin, of a caller that has *returned*."""
        return rng.random() < self.share_let_in(now, returned)

    def began(self):
        """One more stream is in flight."""
        self.in_flight += 1

    def ended(self):
        """A stream is over."""
        self.in_flight -= 1
