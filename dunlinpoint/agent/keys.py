"""The at-most-once table of non-idempotent calls, by idempotency key.

A key is ``running`` from the moment the agent forwards the call until the
service answers; then ``done`` with the answer, kept for replay. A call whose
outcome the agent could not learn (the service's answer was lost) stays
``unknown`` for good: running it again could book an antenna twice, so the
key is never forwarded again and the caller is told to look it up.
"""

import attrs

RUNNING = "running"
DONE = "done"
UNKNOWN = "unknown"


@attrs.define
class Record:
    """What happened to one key."""

    state: str
    status: int = 0
    body_json: str = ""


@attrs.define
class Keys:
    """Records by idempotency key."""

    by_key: dict = attrs.field(factory=dict)

    def claim(self, key):
        """The earlier record of *key*, or ``None`` after claiming it now."""
        record = self.by_key.get(key)
        if record is None:
            self.by_key[key] = Record(RUNNING)
        return record

    def finish(self, key, status, body_json):
        """The service answered."""
        self.by_key[key] = Record(DONE, status, body_json)

    def lose(self, key):
        """The call was sent but its outcome is unknown."""
        self.by_key[key] = Record(UNKNOWN)

    def release(self, key):
        """The call was never sent: the key may run later."""
        self.by_key.pop(key, None)
