"""Which endpoint gets the next try of a request.

The least loaded wins, counted in this entry's own requests in flight, or in
what the endpoint itself last reported if that is more, against how many it
runs at once. An endpoint in another zone counts as if it had
:data:`AWAY_REQUESTS` more. Of two with the same load the one that comes first
in the entry's own order (:mod:`spread`) wins.

An endpoint that failed a request is avoided for a while, doubling with each
failure in a row: health reports lag and some endpoints fail while they
report health, so what counts is what requests met.

All that is known of an endpoint is kept by its incarnation (:func:`incarnation_key`):
one that has started again is as idle and as sound as any new one.
"""

from __future__ import annotations

import math

import attrs

from dunlinpoint.routing import endpoint_signals

# How many requests more an endpoint of the entry's own zone may have: the way
# to another zone costs a millisecond or two, a queue far more.
AWAY_REQUESTS = 1.0
# How much of one request the place in the order weighs, so that it only
# decides between endpoints of the same load.
ORDER_REQUESTS = 0.9
AVOID_MS = 400
AVOID_MAX_MS = 5000
DEFAULT_SLOTS = 4
# An endpoint with requests at it that has sent nothing for so long, while
# another of its service has within OTHERS_MS, is taken for gone.
UNRESPONSIVE_MS = 1000
OTHERS_MS = 200


def incarnation_key(member):
    """What names one start of an endpoint, which may start again under its id.

    Kept by the id alone, requests in flight at the earlier start and its failures
    would count against the new one, and a stream that was cut off could not go on
    there.
    """
    if not member.incarnation:
        return member.endpoint_id
    return f"{member.endpoint_id}@{member.incarnation}"


@attrs.define
class Record:
    """What this entry knows of one life of an endpoint from its own requests."""

    in_flight: int = 0
    failures: int = 0
    avoid_until_ms: int = 0
    heard_ms: int = 0


@attrs.define
class Picker:
    """Records by an endpoint's life."""

    zone: str
    record_by_life: dict = attrs.field(factory=dict)
    signals: endpoint_signals.Signals = attrs.field(factory=endpoint_signals.Signals)

    def record(self, name):
        """The record of the life *name*, new if there is none."""
        record = self.record_by_life.get(name)
        if record is None:
            record = self.record_by_life[name] = Record()
        return record

    def forget(self, live):
        """Drop records of lives that are not among *live*, and idle."""
        for name, record in list(self.record_by_life.items()):
            if name not in live and not record.in_flight:
                del self.record_by_life[name]

    def pick(self, members, now, exclude=(), near=True):
        """The endpoint of *members* (in the entry's order) to try, or ``None``.

        With *near*, those of the entry's own zone are preferred.

        Endpoints whose lives are in *exclude* were tried already. Avoided ones
        are taken only when there is no other: an endpoint that failed lately
        may serve, and no endpoint at all serves nothing. One that has said that
        it takes nothing now is never taken.
        """
        best, least = None, None
        spared, soonest = None, None
        for place, member in enumerate(members):
            name = incarnation_key(member)
            if name in exclude or self.signals.available_ms(name, now) > now:
                continue
            record = self.record(name)
            if record.avoid_until_ms > now:
                if spared is None or record.avoid_until_ms < soonest:
                    spared, soonest = member, record.avoid_until_ms
                continue
            weight = self._weight(member, record, place / len(members), near)
            if best is None or weight < least:
                best, least = member, weight
        return spared if best is None else best

    def available_ms(self, members, now, exclude=()):
        """From when (ms) on one of *members* takes a request, ``None`` if none will."""
        names = [name for name in map(incarnation_key, members) if name not in exclude]
        times = [self.signals.available_ms(name, now) for name in names]
        return min((at for at in times if at != math.inf), default=None)

    def _weight(self, member, record, order, near):
        requests = max(record.in_flight, member.load or 0)
        if near and member.zone != self.zone:
            requests += AWAY_REQUESTS
        return (requests + ORDER_REQUESTS * order) / (member.slots or DEFAULT_SLOTS)

    def began(self, name):
        """A request was sent to the endpoint."""
        self.record(name).in_flight += 1

    def ended(self, name):
        """A request at the endpoint is over."""
        self.record(name).in_flight -= 1

    def data_received(self, name, now):
        """Some bytes of an answer came from the endpoint."""
        self.record(name).heard_ms = now

    def is_unresponsive(self, name, members, now):
        """Whether the endpoint is silent while others of its kind are not.

        A frozen or unreachable machine closes no connection; its requests
        would wait until their callers give up. Ranks step together, so one
        that is silent among others that are not is no busy one; where all
        are silent, the group stands and another try would stand as well.
        """
        if now - self.record(name).heard_ms < UNRESPONSIVE_MS:
            return False
        others = (other for other in map(incarnation_key, members) if other != name)
        return any(now - self.record(o).heard_ms < OTHERS_MS for o in others)

    def succeeded(self, name):
        """The endpoint answered as it should."""
        record = self.record(name)
        record.failures = 0
        record.avoid_until_ms = 0

    def failed(self, name, now):
        """The endpoint failed a request: avoid it for a while."""
        record = self.record(name)
        record.failures += 1
        pause = min(AVOID_MS * 2 ** (record.failures - 1), AVOID_MAX_MS)
        record.avoid_until_ms = now + pause
