"""Selection of the endpoint for the next attempt of a request.

The least loaded endpoint is picked. Its load is the number of this entry's requests
in flight there, or the load that the endpoint last reported if that is more, divided
by its slots. An endpoint in another zone counts as if it had :data:`AWAY_REQUESTS`
more. Of two with the same load, the first in the entry's own order
(:mod:`endpoint_order`) is picked.

An endpoint that failed a request is avoided for a time that doubles with each
consecutive failure. This goes by the outcome of requests, because health reports lag
and some endpoints fail requests while they report that they are healthy.

The records are kept by an endpoint's incarnation (:func:`incarnation_key`): an
endpoint that has restarted counts as idle and healthy.
"""

from __future__ import annotations

import math

import attrs

from dunlinpoint.routing import endpoint_signals

# Handicap, in requests, of endpoints in other zones: the way there costs a millisecond
# or two, a queue far more.
AWAY_REQUESTS = 1.0
# Weight, in requests, of the position in the entry's order. Below one request, it only
# decides between endpoints of the same load.
ORDER_REQUESTS = 0.9
AVOID_MS = 400
AVOID_MAX_MS = 5000
DEFAULT_SLOTS = 4
# An endpoint with requests in flight that has sent nothing for this long, while
# another of its service has within OTHERS_MS, is unresponsive.
UNRESPONSIVE_MS = 1000
OTHERS_MS = 200


def incarnation_key(member):
    """The key of one incarnation of an endpoint, which may restart under its id.

    With the id alone as the key, requests in flight and failures from before a restart
    would count against the new incarnation, and a stream that was broken off could not
    be continued there.
    """
    if not member.incarnation:
        return member.endpoint_id
    return f"{member.endpoint_id}@{member.incarnation}"


@attrs.define
class Record:
    """State of one incarnation of an endpoint, from this entry's own requests.

    ``failures`` counts consecutive ones; times are in ms of the local clock.
    """

    in_flight: int = 0
    failures: int = 0
    avoid_until_ms: int = 0
    heard_ms: int = 0


@attrs.define
class Picker:
    """Picks endpoints for an entry in ``zone``; records are kept by incarnation."""

    zone: str
    record_by_life: dict = attrs.field(factory=dict)
    signals: endpoint_signals.Signals = attrs.field(factory=endpoint_signals.Signals)

    def record(self, name):
        """The record of the incarnation *name*, created on first use."""
        record = self.record_by_life.get(name)
        if record is None:
            record = self.record_by_life[name] = Record()
        return record

    def forget(self, live):
        """Drop idle records of incarnations that are not among *live*."""
        for name, record in list(self.record_by_life.items()):
            if name not in live and not record.in_flight:
                del self.record_by_life[name]

    def pick(self, members, now, exclude=(), near=True):
        """The endpoint of *members* (in the entry's order) to try, or ``None``.

        With *near*, those of the entry's own zone are preferred.

        Endpoints whose incarnations are in *exclude* are skipped, as they were tried
        already. Avoided ones are picked only when there is no other: an endpoint that
        failed recently may still serve the request. One whose signals allow no request
        now is never picked.
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
        """When (ms) the first of *members* may get a request, ``None`` if none may."""
        names = [name for name in map(incarnation_key, members) if name not in exclude]
        times = [self.signals.available_ms(name, now) for name in names]
        return min((at for at in times if at != math.inf), default=None)

    def _weight(self, member, record, order, near):
        requests = max(record.in_flight, member.load or 0)
        if near and member.zone != self.zone:
            requests += AWAY_REQUESTS
        return (requests + ORDER_REQUESTS * order) / (member.slots or DEFAULT_SLOTS)

    def began(self, name):
        """Count one more request in flight at the endpoint."""
        self.record(name).in_flight += 1

    def ended(self, name):
        """Count one request in flight at the endpoint less."""
        self.record(name).in_flight -= 1

    def data_received(self, name, now):
        """Record that bytes of an answer came from the endpoint."""
        self.record(name).heard_ms = now

    def is_unresponsive(self, name, members, now):
        """Whether the endpoint is unresponsive while another of *members* is not.

        A frozen or unreachable machine closes no connection, and its requests would
        wait until their callers give up. Ranks run in lock-step, so a rank that sends
        nothing while others do is not just busy. Where none sends anything, the group
        is stalled, and another attempt would wait as well.
        """
        if now - self.record(name).heard_ms < UNRESPONSIVE_MS:
            return False
        others = (other for other in map(incarnation_key, members) if other != name)
        return any(now - self.record(o).heard_ms < OTHERS_MS for o in others)

    def succeeded(self, name):
        """Record a success of the endpoint: it is no longer avoided."""
        record = self.record(name)
        record.failures = 0
        record.avoid_until_ms = 0

    def failed(self, name, now):
        """Record a failed request of the endpoint, and avoid it for a while."""
        record = self.record(name)
        record.failures += 1
        pause = min(AVOID_MS * 2 ** (record.failures - 1), AVOID_MAX_MS)
        record.avoid_until_ms = now + pause
