"""The at-most-once table of non-idempotent calls, by idempotency key.

A key is ``running`` from the moment the agent forwards the call until the
service answers; then ``done`` with the answer, kept for replay. A call whose
outcome the agent could not learn (the service's answer was lost) stays
``unknown`` for good: running it again could book an antenna twice, so the
key is never forwarded again and the caller is told to look it up.

The table is in memory. So that a key outlives its owner, the owner claims it
at a second agent, the next in the key's order, before it forwards the call,
and tells that one the answer. An owner that restarted finds the claim there;
when an owner is gone, or a new endpoint takes its place in the order, the
other of the two is asked in any case. Only if both agents are lost within a
caller's retries is a key forgotten.

Answers are kept for :data:`KEEP_MS`, far longer than callers retry; claims
that run and unknown outcomes are kept for good.
"""

import collections

import attrs

from dunlinpoint import clock

RUNNING = "running"
DONE = "done"
UNKNOWN = "unknown"
KEEP_MS = 3_600_000
# How many finished keys are looked at for each new one.
SWEEP = 2


@attrs.define
class Record:
    """What happened to one key."""

    state: str
    status: int = 0
    body_json: str = ""
    at_ms: int = 0


@attrs.define
class Keys:
    """Records by idempotency key."""

    clock: clock.Clock
    by_key: dict = attrs.field(factory=dict)
    done: collections.deque = attrs.field(factory=collections.deque)

    def claim(self, key):
        """The earlier record of *key*, or ``None`` after claiming it now."""
        self._sweep()
        record = self.by_key.get(key)
        if record is None:
            self.by_key[key] = Record(RUNNING, at_ms=self.clock.now())
        return record

    def settle(self, key, state, status=0, body_json=""):
        """What became of a claimed key; an empty *state* releases it."""
        if not state:
            self.by_key.pop(key, None)
            return
        self.by_key[key] = Record(state, status, body_json, self.clock.now())
        if state == DONE:
            self.done.append(key)

    def _sweep(self):
        """Forget answers that no caller asks for any more."""
        for _ in range(SWEEP):
            if not self.done:
                return
            record = self.by_key.get(self.done[0])
            if record is not None and self.clock.now() - record.at_ms < KEEP_MS:
                return
            key = self.done.popleft()
            if record is not None and record.state == DONE:
                del self.by_key[key]
