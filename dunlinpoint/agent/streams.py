"""Buffers of streamed responses, one per request, read by token offset.

An entry reads ``tokens[offset:]``. A read at the same offset returns the same
tokens, so a read whose reply was lost can be repeated, and a late or duplicate
reply is recognised by its offset.
"""

import itertools

import attrs
from twisted.internet import defer

from dunlinpoint import clock

# How long an ended stream can still be read.
RETENTION_MS = 60_000
# The oldest streams that are checked for expiry at each new one.
SWEEP_COUNT = 2


@attrs.define
class Stream:
    """Tokens of one response received so far, and whether it has ended."""

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
        """End the stream, with a text *error* if it failed, and wake readers."""
        self.done = True
        self.ended_ms = self.clock.now()
        self.error = error
        self._wake()

    def next_change(self):
        """A Deferred that fires at the next change, with this stream."""
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
        """The stream of *request_id*, created if there is none."""
        self._sweep()
        stream = self.by_id.get(request_id)
        if stream is None:
            stream = self.by_id[request_id] = Stream(request_id, self.clock)
        return stream

    def _sweep(self):
        """Evict streams that ended more than ``RETENTION_MS`` ago, among the oldest.

        Without eviction every response would stay in memory, and the agent would
        exceed its small memory limit within hours.
        """
        now = self.clock.now()
        for request_id, stream in list(
            itertools.islice(self.by_id.items(), SWEEP_COUNT)
        ):
            if stream.ended_ms is not None and now - stream.ended_ms > RETENTION_MS:
                del self.by_id[request_id]

    def in_flight(self):
        """The number of streams that have not ended."""
        return sum(1 for s in self.by_id.values() if not s.done)
