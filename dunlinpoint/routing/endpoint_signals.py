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
MEMORY_MS = 120_000


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
class Said:
    """The signals in force of one incarnation, and the time of its last response."""

    heard_ms: int = 0
    rate: rate.Rate | None = None
    rests_until_ms: int = 0
    is_draining: bool = False

    def available_ms(self, now):
        """When (ms) this entry may send its next request; infinite if never."""
        if self.is_draining:
            return math.inf
        available_ms = now if self.rate is None else self.rate.available_ms(now)
        return max(available_ms, self.rests_until_ms)


@attrs.define
class Signals:
    """The signals in force, by the incarnation of those endpoints that sent any.

    ``place`` is the index (from 0) of this entry among the ``places`` entries.
    """

    place: int = 0
    places: int = 1
    rng: random.Random = attrs.field(factory=random.Random)
    said_by_life: dict = attrs.field(factory=dict)

    def update(self, place, places, now):
        """Set the index of this entry and the number of entries."""
        if (place, places) == (self.place, self.places) or places < 1:
            return
        self.place, self.places = place, places
        for life, said in self.said_by_life.items():
            if said.rate is not None:
                said.rate.change(self._part(said.rate.per_s, life), now)

    def apply(self, life, notice, sent_ms, now):
        """Apply the *notice* of an answer to a request sent at *sent_ms*."""
        said = self.said_by_life.get(life)
        if said is None:
            if notice == NO_SIGNAL:
                return
            said = self.said_by_life[life] = Said()
        said.heard_ms = now
        if notice.backoff_ms is not None:
            self._take_rest(life, said, notice.backoff_ms, now)
        self._take_limit(life, said, notice, sent_ms, now)
        if notice.is_draining and not said.is_draining:
            said.is_draining = True
            log.info("endpoint_leaves", endpoint_id=life)

    def _take_rest(self, life, said, backoff_ms, now):
        said.rests_until_ms = max(said.rests_until_ms, now + backoff_ms)
        log.info("endpoint_rests", endpoint_id=life, rest_ms=backoff_ms)

    def _take_limit(self, life, said, notice, sent_ms, now):
        known, per_s = said.rate, notice.limit_per_s
        if per_s is None:
            # Answers overtake each other: one to a request sent before the limit was
            # signalled does not end the limit.
            if known is None or sent_ms <= known.named_ms or not notice.is_complete:
                return
            said.rate = None
        elif known is None:
            part = self._part(per_s, life)
            said.rate = rate.Rate.begin(per_s, now, part, self.rng)
        else:
            known.named_ms = now
            if known.per_s == per_s:
                return
            known.per_s = per_s
            known.change(self._part(per_s, life), now)
        log.info(
            "endpoint_limit",
            endpoint_id=life,
            limit_per_s=per_s,
            apart_ms=None if per_s is None else round(said.rate.part.pause_ms),
            entries=self.places,
        )

    def _part(self, per_s, life):
        return rate.Part.of(per_s, life, self.place, self.places)

    def available_ms(self, life, now):
        """When (ms) the endpoint may get the next request; infinite if never."""
        said = self.said_by_life.get(life)
        return now if said is None else said.available_ms(now)

    def sent(self, life, now):
        """Record that a request is sent to the endpoint."""
        said = self.said_by_life.get(life)
        if said is not None and said.rate is not None:
            said.rate.sent(now)

    def forget(self, live, now):
        """Drop signals of incarnations not among *live* after ``MEMORY_MS``."""
        for life, said in list(self.said_by_life.items()):
            known_until_ms = max(said.heard_ms + MEMORY_MS, said.rests_until_ms)
            if life not in live and now > known_until_ms:
                del self.said_by_life[life]
