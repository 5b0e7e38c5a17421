"""Buffers of streamed answers, one per request, read by token offset.

An entry reads ``tokens[offset:]``; reading again from the same offset gives
the same tokens, so a read whose answer was lost can simply be repeated, and
a late or repeated answer is recognised by its offset.
"""

import itertools

import attrs
from twisted.internet import defer

from dunlinpoint import clock

# How long an ended answer can still be read again, and how many of the
# oldest are looked at for each new one.
KEEP_MS = 60_000
SWEEP = 2


@attrs.define
class Stream:
    """Tokens of one answer so far, and whether it has ended."""

    request_id: str
    clock: clock.Clock
    ended_ms: int | None = None
    tokens: list = attrs.field(factory=list)
    done: bool = False
    error: str = ""
    waiters: list = attrs.field(factory=list)

    def add(self, tokens):
        """Append *tokens* and wake readers."""
        self.tokens.extend(tokens)
        self._wake()

    def finish(self, error=""):
        """End the stream, with *error* if it broke."""
        self.done = True
        self.ended_ms = self.clock.now()
        self.error = error
        self._wake()

    def changed(self):
        """A Deferred fired at the next change."""
        d = defer.Deferred()
        self.waiters.append(d)
        return d

    def _wake(self):
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(self)


@attrs.define
class Streams:
    """Streams by request id."""

    clock: clock.Clock
    by_id: dict = attrs.field(factory=dict)

    def open(self, request_id):
        """The stream of *request_id*, new if there is none."""
        self._sweep()
        stream = self.by_id.get(request_id)
        if stream is None:
            stream = self.by_id[request_id] = Stream(request_id, self.clock)
        return stream

    def _sweep(self):
        """Forget the oldest streams that ended a while ago.

        Kept for good, every answer ever given would stay in memory, and the
        agent's small slot would run out of it within hours.
        """
        now = self.clock.now()
        for request_id, stream in list(itertools.islice(self.by_id.items(), SWEEP)):
            if stream.ended_ms is not None and now - stream.ended_ms > KEEP_MS:
                del self.by_id[request_id]

    def in_flight(self):
        """How many streams have not ended."""
        return sum(1 for s in self.by_id.values() if not s.done)
