"""Signals in the answers of endpoints: rate limit, backoff and draining.

The member list holds what an endpoint reported to a control at its last heartbeat; the
signals in its answers are current, but reach only the entry that sent the request.
Signals are kept by the endpoint's incarnation and always obeyed: an endpoint that has
failed may be tried when there is no other, one that has signalled a limit, a backoff or
draining may not.
"""

from __future__ import annotations

import math
import random

import attrs

from dunlinpoint import logs
from dunlinpoint.routing import rate

log = logs.logger("entry")

# How long signals are kept after the last response of an endpoint that is no longer a
# member: a network partition may remove it from the list and bring it back.
RETENTION_MS = 120_000
# Smaller changes of an entry's part of the demand change nothing.
DEMAND_SHARE_DIGITS = 2


@attrs.frozen
class Signal:
    """The signals in one answer of an endpoint.

    - ``limit_per_s``: the rate limit, in requests a second from all entries together,
      which holds as long as answers bear it; ``None`` without a limit.
    - ``backoff_ms``: for how long this entry should send it no request; ``None``
      without a backoff.
    - ``is_draining``: whether it accepts no new requests.
    - ``is_complete``: whether all signals could be parsed; if not, the absence of a
      signal has no meaning.
    """

    limit_per_s: float | None = None
    backoff_ms: int | None = None
    is_draining: bool = False
    is_complete: bool = True


NO_SIGNAL = Signal()


def no_signal(_status, _headers):
    """Return ``NO_SIGNAL``: the reader for endpoints whose answers bear no signals."""
    return NO_SIGNAL


@attrs.define
class SignalState:
    """The signals in force of one incarnation, and the time of its last response."""

    last_seen_ms: int = 0
    limiter: rate.Limiter | None = None
    backoff_until_ms: int = 0
    is_draining: bool = False

    def available_ms(self, now):
        """When (ms) this entry may send its next request; infinite if never."""
        if self.is_draining:
            return math.inf
        available_ms = now if self.limiter is None else self.limiter.available_ms(now)
        return max(available_ms, self.backoff_until_ms)


@attrs.define
class Signals:
    """The signals in force, by the incarnation of those endpoints that sent any.

    ``index`` is the index (from 0) of this entry among the ``entry_count`` entries,
    ``demand_share`` its part (0 to 1) of their demand, if known.
    """

    index: int = 0
    entry_count: int = 1
    demand_share: float | None = None
    rng: random.Random = attrs.field(factory=random.Random)
    state_by_incarnation: dict = attrs.field(factory=dict)

    def update(self, index, entry_count, now, demand_share=None):
        """Set this entry's index, the number of entries and its part of the demand."""
        if demand_share is not None:
            demand_share = round(demand_share, DEMAND_SHARE_DIGITS)
        known = self.index, self.entry_count, self.demand_share
        if (index, entry_count, demand_share) == known or entry_count < 1:
            return
        self.index, self.entry_count = index, entry_count
        self.demand_share = demand_share
        for incarnation, state in self.state_by_incarnation.items():
            if state.limiter is not None:
                state.limiter.set_share(
                    self._share(state.limiter.per_s, incarnation), now
                )

    def apply(self, incarnation, signal, sent_ms, now):
        """Apply the *signal* of an answer to a request sent at *sent_ms*."""
        state = self.state_by_incarnation.get(incarnation)
        if state is None:
            if signal == NO_SIGNAL:
                return
            state = self.state_by_incarnation[incarnation] = SignalState()
        state.last_seen_ms = now
        if signal.backoff_ms is not None:
            self._apply_backoff(incarnation, state, signal.backoff_ms, now)
        self._apply_limit(incarnation, state, signal, sent_ms, now)
        if signal.is_draining and not state.is_draining:
            state.is_draining = True
            log.info("endpoint_leaves", endpoint_id=incarnation)

    def _apply_backoff(self, incarnation, state, backoff_ms, now):
        state.backoff_until_ms = max(state.backoff_until_ms, now + backoff_ms)
        log.info("endpoint_rests", endpoint_id=incarnation, rest_ms=backoff_ms)

    def _apply_limit(self, incarnation, state, signal, sent_ms, now):
        limiter, per_s = state.limiter, signal.limit_per_s
        if per_s is None:
            # Answers overtake each other: one to a request sent before the limit was
            # signalled does not end the limit.
            if (
                limiter is None
                or sent_ms <= limiter.last_signal_ms
                or not signal.is_complete
            ):
                return
            state.limiter = None
        elif limiter is None:
            share = self._share(per_s, incarnation)
            state.limiter = rate.Limiter.begin(per_s, now, share, self.rng)
        else:
            limiter.last_signal_ms = now
            if limiter.per_s == per_s:
                return
            limiter.per_s = per_s
            limiter.set_share(self._share(per_s, incarnation), now)
        log.info(
            "endpoint_limit",
            endpoint_id=incarnation,
            limit_per_s=per_s,
            apart_ms=None if per_s is None else round(state.limiter.share.interval_ms),
            entries=self.entry_count,
        )

    def _share(self, per_s, incarnation):
        return rate.Share.of(
            per_s, incarnation, self.index, self.entry_count, self.demand_share
        )

    def available_ms(self, incarnation, now):
        """When (ms) the endpoint may get the next request; infinite if never."""
        state = self.state_by_incarnation.get(incarnation)
        return now if state is None else state.available_ms(now)

    def sent(self, incarnation, now):
        """Record that a request is sent to the endpoint."""
        state = self.state_by_incarnation.get(incarnation)
        if state is not None and state.limiter is not None:
            state.limiter.sent(now)

    def forget(self, live, now):
        """Drop signals of incarnations not among *live* after ``RETENTION_MS``."""
        for incarnation, state in list(self.state_by_incarnation.items()):
            known_until_ms = max(
                state.last_seen_ms + RETENTION_MS, state.backoff_until_ms
            )
            if incarnation not in live and now > known_until_ms:
                del self.state_by_incarnation[incarnation]
