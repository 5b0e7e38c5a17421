"""An emulator of the rate-limited weight store.

A token bucket limits the experts' weights to ``bytes_per_s`` bytes per second; a
request over the rate gets 429 and ``Retry-After``. Loading experts after a map change
is therefore slow, which gives a rebalance its cost.

HTTP: ``GET /weights/<model>/<expert>``; ``GET /stats``.
"""

from __future__ import annotations

import json

import attrs
from klein import Klein

from dunlinpoint import clock


@attrs.define
class Store:
    """A token bucket of bytes, and counts of served and refused requests."""

    clock: clock.Clock
    bytes_per_s: int
    expert_bytes: int
    tokens: float = 0.0
    refilled_ms: int = 0
    served: int = 0
    refused: int = 0

    @classmethod
    def from_config(cls, reactor, bytes_per_s, expert_bytes):
        """A store whose bucket starts full (one second at the rate)."""
        store = cls(clock.Clock(reactor), bytes_per_s, expert_bytes)
        store.tokens = bytes_per_s
        store.refilled_ms = store.clock.now()
        return store

    def acquire(self):
        """Take one expert's bytes from the bucket; ``(ok, retry_after_ms)``."""
        now = self.clock.now()
        elapsed = now - self.refilled_ms
        self.refilled_ms = now
        self.tokens = min(
            self.bytes_per_s, self.tokens + elapsed * self.bytes_per_s / 1000
        )
        if self.tokens >= self.expert_bytes:
            self.tokens -= self.expert_bytes
            self.served += 1
            return True, 0
        self.refused += 1
        missing = self.expert_bytes - self.tokens
        return False, int(missing * 1000 / self.bytes_per_s) + 1


def app(store):
    """The store's HTTP interface as a Klein app."""
    web = Klein()

    @web.route("/weights/<model>/<expert>", methods=["GET"])
    def weights(request, model, expert):
        ok, retry_after_ms = store.acquire()
        if not ok:
            request.setResponseCode(429)
            request.setHeader("retry-after", str(max(1, retry_after_ms // 1000)))
            return json.dumps({"retry_after_ms": retry_after_ms})
        request.setHeader("content-type", "application/octet-stream")
        return b"\0" * store.expert_bytes

    @web.route("/stats", methods=["GET"])
    def stats(request):
        return json.dumps({"served": store.served, "refused": store.refused})

    return web
