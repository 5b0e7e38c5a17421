"""What endpoints say of themselves in their answers, and what follows from it.

A member list says what an endpoint told a control a heartbeat ago; its answers say how
it is now, to whoever asked. Both are kept by an endpoint's life, and heeded without
exception: an endpoint that failed may be tried again when there is no other, one that
has said what it takes may not.
"""

from __future__ import annotations

import math
import random

import attrs

from dunlinpoint import logs
from dunlinpoint.routing import rate

log = logs.logger("entry")

# How long what an endpoint said is remembered after it was last heard, if it is no
# member meanwhile: a cut may take it from the list and bring it back.
MEMORY_MS = 120_000


@attrs.frozen
class Signal:
    """What one answer of an endpoint says of it.

    - ``limit_per_s``: requests a second that it takes from all entries together, as
      long as it says so; ``None`` without a limit.
    - ``backoff_ms``: for how long it wants nothing from this entry; ``None`` if it does
      not say so.
    - ``is_draining``: whether it takes nothing new any more.
    - ``is_complete``: whether all could be read; if not, what is absent says nothing.
    """

    limit_per_s: float | None = None
    backoff_ms: int | None = None
    is_draining: bool = False
    is_complete: bool = True


NO_SIGNAL = Signal()


def no_signal(_status, _headers):
    """Reads no notice: for endpoints whose answers bear none."""
    return NO_SIGNAL


@attrs.define
class Said:
    """What one life of an endpoint has said, and when it was last heard."""

    heard_ms: int = 0
    rate: rate.Rate | None = None
    rests_until_ms: int = 0
    is_draining: bool = False

    def available_ms(self, now):
        """From when (ms) on it takes this entry's next request; never: infinite."""
        if self.is_draining:
            return math.inf
        available_ms = now if self.rate is None else self.rate.available_ms(now)
        return max(available_ms, self.rests_until_ms)


@attrs.define
class Signals:
    """What was said, by an endpoint's life, of those that have said something.

    This entry is number *place* (0 up) of *places*.
    """

    place: int = 0
    places: int = 1
    rng: random.Random = attrs.field(factory=random.Random)
    said_by_life: dict = attrs.field(factory=dict)

    def update(self, place, places, now):
        """Take in which of how many entries this one is."""
        if (place, places) == (self.place, self.places) or places < 1:
            return
        self.place, self.places = place, places
        for life, said in self.said_by_life.items():
            if said.rate is not None:
                said.rate.change(self._part(said.rate.per_s, life), now)

    def apply(self, life, notice, sent_ms, now):
        """Take in the *notice* of an answer to a request sent at *sent_ms*."""
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
            # Answers overtake each other: one that was asked for before the limit was
            # named says nothing of its end.
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
        """From when (ms) on the endpoint takes the next request; never: infinite."""
        said = self.said_by_life.get(life)
        return now if said is None else said.available_ms(now)

    def sent(self, life, now):
        """A request is sent to the endpoint."""
        said = self.said_by_life.get(life)
        if said is not None and said.rate is not None:
            said.rate.sent(now)

    def forget(self, live, now):
        """Drop what was said by lives that are not among *live* and long silent."""
        for life, said in list(self.said_by_life.items()):
            known_until_ms = max(said.heard_ms + MEMORY_MS, said.rests_until_ms)
            if life not in live and now > known_until_ms:
                del self.said_by_life[life]
