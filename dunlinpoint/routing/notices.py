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
class Notice:
    """What one answer of an endpoint says of it.

    - ``limit_per_s``: requests a second that it takes from all entries together, as
      long as it says so; ``None`` without a limit.
    - ``rest_ms``: for how long it wants nothing from this entry; ``None`` if it does
      not say so.
    - ``is_leaving``: whether it takes nothing new any more.
    - ``is_whole``: whether all could be read; if not, what is absent says nothing.
    """

    limit_per_s: float | None = None
    rest_ms: int | None = None
    is_leaving: bool = False
    is_whole: bool = True


NOTHING = Notice()


def nothing(_status, _headers):
    """Reads no notice: for endpoints whose answers bear none."""
    return NOTHING


@attrs.define
class Standing:
    """What one life of an endpoint has said, and when it was last heard."""

    heard_ms: int = 0
    rate: rate.Rate | None = None
    rests_until_ms: int = 0
    is_leaving: bool = False

    def free_ms(self, now):
        """From when (ms) on it takes this entry's next request; never: infinite."""
        if self.is_leaving:
            return math.inf
        free_ms = now if self.rate is None else self.rate.free_ms(now)
        return max(free_ms, self.rests_until_ms)


@attrs.define
class Notices:
    """Standings by an endpoint's life, of those that have said something.

    This entry is number *place* (0 up) of *places*.
    """

    place: int = 0
    places: int = 1
    rng: random.Random = attrs.field(factory=random.Random)
    standing_by_life: dict = attrs.field(factory=dict)

    def learn(self, place, places, now):
        """Take in which of how many entries this one is."""
        if (place, places) == (self.place, self.places) or places < 1:
            return
        self.place, self.places = place, places
        for life, standing in self.standing_by_life.items():
            if standing.rate is not None:
                standing.rate.change(self._part(standing.rate.per_s, life), now)

    def take(self, life, notice, sent_ms, now):
        """Take in the *notice* of an answer to a request sent at *sent_ms*."""
        standing = self.standing_by_life.get(life)
        if standing is None:
            if notice == NOTHING:
                return
            standing = self.standing_by_life[life] = Standing()
        standing.heard_ms = now
        if notice.rest_ms is not None:
            self._take_rest(life, standing, notice.rest_ms, now)
        self._take_limit(life, standing, notice, sent_ms, now)
        if notice.is_leaving and not standing.is_leaving:
            standing.is_leaving = True
            log.info("endpoint_leaves", endpoint_id=life)

    def _take_rest(self, life, standing, rest_ms, now):
        standing.rests_until_ms = max(standing.rests_until_ms, now + rest_ms)
        log.info("endpoint_rests", endpoint_id=life, rest_ms=rest_ms)

    def _take_limit(self, life, standing, notice, sent_ms, now):
        known, per_s = standing.rate, notice.limit_per_s
        if per_s is None:
            # Answers overtake each other: one that was asked for before the limit was
            # named says nothing of its end.
            if known is None or sent_ms <= known.named_ms or not notice.is_whole:
                return
            standing.rate = None
        elif known is None:
            part = self._part(per_s, life)
            standing.rate = rate.Rate.begin(per_s, now, part, self.rng)
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
            pause_ms=None if per_s is None else round(standing.rate.part.pause_ms),
            entries=self.places,
        )

    def _part(self, per_s, life):
        return rate.Part.of(per_s, life, self.place, self.places)

    def free_ms(self, life, now):
        """From when (ms) on the endpoint takes the next request; never: infinite."""
        standing = self.standing_by_life.get(life)
        return now if standing is None else standing.free_ms(now)

    def sent(self, life, now):
        """A request is sent to the endpoint."""
        standing = self.standing_by_life.get(life)
        if standing is not None and standing.rate is not None:
            standing.rate.sent(now)

    def forget(self, live, now):
        """Drop what was said by lives that are not among *live* and long silent."""
        for life, standing in list(self.standing_by_life.items()):
            known_until_ms = max(standing.heard_ms + MEMORY_MS, standing.rests_until_ms)
            if life not in live and now > known_until_ms:
                del self.standing_by_life[life]
