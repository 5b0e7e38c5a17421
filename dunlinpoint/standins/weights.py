"""A rate-limited weight store stand-in.

Experts' weights are served at most ``bytes_per_s`` bytes a second, from a
token bucket; a request over the rate gets 429 and ``Retry-After``. Loading
experts after a map change is therefore slow, which is what makes a
rebalance cost something.

HTTP: ``GET /weights/<model>/<expert>``; ``GET /stats``.
"""

from __future__ import annotations

import json

import attrs
from klein import Klein

from dunlinpoint import clock


@attrs.define
class Store:
    """A token bucket of bytes and what was served."""

    clock: clock.Clock
    bytes_per_s: int
    expert_bytes: int
    tokens: float = 0.0
    stamp: int = 0
    served: int = 0
    refused: int = 0

    @classmethod
    def from_config(cls, reactor, bytes_per_s, expert_bytes):
        """A store whose bucket starts full (one second of rate)."""
        store = cls(clock.Clock(reactor), bytes_per_s, expert_bytes)
        store.tokens = bytes_per_s
        store.stamp = store.clock.now()
        return store

    def take(self):
        """``(ok, retry_after_ms)`` for one expert's weights."""
        now = self.clock.now()
        elapsed = now - self.stamp
        self.stamp = now
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
        ok, retry_after_ms = store.take()
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
