"""The at-most-once table of non-idempotent calls, by idempotency key.

A key is ``running`` from the time the agent forwards the call until the
service answers, then ``done`` with the answer, which is kept for replay. If the
service's answer was lost, the key is ``unknown`` for as long as the process
runs: a second execution could, for example, book an antenna slot twice, so the
call is never forwarded again and the caller is told to look up the outcome.

The table is in memory. To survive the loss of its owner, a key is replicated:
before the owner forwards the call, it claims the key at a backup agent, the next
one in the key's order, and later sends it the answer. A restarted owner finds
the claim there. When the owner is lost, or a new endpoint takes over its
position in the order, the request still reaches one of the two agents. A key is
forgotten only if both agents are lost while a caller still retries.

Answers are kept for :data:`RETENTION_MS`, much longer than callers retry. Running
claims and unknown outcomes are never evicted.
"""

import collections

import attrs

from dunlinpoint import clock

RUNNING = "running"
DONE = "done"
UNKNOWN = "unknown"
RETENTION_MS = 3_600_000
# Finished keys that are checked for expiry at each new claim.
SWEEP_COUNT = 2


@attrs.define
class Record:
    """State of one key; ``changed_ms`` is the time of its last change."""

    state: str
    status: int = 0
    body_json: str = ""
    changed_ms: int = 0


@attrs.define
class Keys:
    """Records by idempotency key."""

    clock: clock.Clock
    by_key: dict = attrs.field(factory=dict)
    done: collections.deque = attrs.field(factory=collections.deque)

    def claim(self, key):
        """The existing record of *key*, or ``None`` if it was newly claimed."""
        self._sweep()
        record = self.by_key.get(key)
        if record is None:
            self.by_key[key] = Record(RUNNING, changed_ms=self.clock.now())
        return record

    def record_outcome(self, key, state, status=0, body_json=""):
        """Record the outcome of a claimed key; an empty *state* releases it."""
        if not state:
            self.by_key.pop(key, None)
            return
        self.by_key[key] = Record(state, status, body_json, self.clock.now())
        if state == DONE:
            self.done.append(key)

    def _sweep(self):
        """Evict answers older than ``RETENTION_MS``."""
        for _ in range(SWEEP_COUNT):
            if not self.done:
                return
            record = self.by_key.get(self.done[0])
            if (
                record is not None
                and self.clock.now() - record.changed_ms < RETENTION_MS
            ):
                return
            key = self.done.popleft()
            if record is not None and record.state == DONE:
                del self.by_key[key]
