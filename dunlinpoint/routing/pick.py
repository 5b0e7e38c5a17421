"""Selection of the endpoint for the next attempt of a request.

The least loaded endpoint is picked. Its load is the number of this entry's requests
in flight there, or the load that the endpoint last reported if that is more, divided
by its slots. An endpoint in another zone counts as if it had
:data:`OTHER_ZONE_REQUESTS` more. Of two with the same load, the first in the entry's
own order (:mod:`endpoint_order`) is picked.

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

# Handicap, in requests, of endpoints in other zones: the network latency to them is a
# millisecond or two, the wait in a queue far longer.
OTHER_ZONE_REQUESTS = 1.0
# Weight, in requests, of the position in the entry's order. Below one request, it only
# decides between endpoints of the same load.
ORDER_REQUESTS = 0.9
AVOID_MS = 400
AVOID_MAX_MS = 5000
DEFAULT_SLOTS = 4
# An endpoint with requests in flight that has sent nothing for this long, while
# another of its service has within RESPONSIVE_MS, is unresponsive.
UNRESPONSIVE_MS = 1000
RESPONSIVE_MS = 200


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
    last_seen_ms: int = 0


@attrs.define
class Picker:
    """Picks endpoints for an entry in ``zone``; records are kept by incarnation."""

    zone: str
    record_by_incarnation: dict = attrs.field(factory=dict)
    signals: endpoint_signals.Signals = attrs.field(factory=endpoint_signals.Signals)

    def record(self, key):
        """The record of the incarnation *key*, created on first use."""
        record = self.record_by_incarnation.get(key)
        if record is None:
            record = self.record_by_incarnation[key] = Record()
        return record

    def forget(self, live):
        """Drop idle records of incarnations that are not among *live*."""
        for key, record in list(self.record_by_incarnation.items()):
            if key not in live and not record.in_flight:
                del self.record_by_incarnation[key]

    def pick(self, members, now, exclude=(), prefer_own_zone=True):
        """The endpoint of *members* (in the entry's order) to try, or ``None``.

        With *prefer_own_zone*, endpoints in other zones have a handicap.

        Endpoints whose incarnations are in *exclude* are skipped, as they were tried
        already. Avoided ones are picked only when there is no other: an endpoint that
        failed recently may still serve the request. One whose signals allow no request
        now is never picked.
        """
        best, least = None, None
        fallback, fallback_until_ms = None, None
        for index, member in enumerate(members):
            key = incarnation_key(member)
            if key in exclude or self.signals.available_ms(key, now) > now:
                continue
            record = self.record(key)
            if record.avoid_until_ms > now:
                if fallback is None or record.avoid_until_ms < fallback_until_ms:
                    fallback, fallback_until_ms = member, record.avoid_until_ms
                continue
            load = self._relative_load(
                member, record, index / len(members), prefer_own_zone
            )
            if best is None or load < least:
                best, least = member, load
        return fallback if best is None else best

    def available_ms(self, members, now, exclude=()):
        """When (ms) the first of *members* may get a request, ``None`` if none may."""
        keys = [key for key in map(incarnation_key, members) if key not in exclude]
        times = [self.signals.available_ms(key, now) for key in keys]
        return min((at for at in times if at != math.inf), default=None)

    def _relative_load(self, member, record, position, prefer_own_zone):
        requests = max(record.in_flight, member.load or 0)
        if prefer_own_zone and member.zone != self.zone:
            requests += OTHER_ZONE_REQUESTS
        return (requests + ORDER_REQUESTS * position) / (member.slots or DEFAULT_SLOTS)

    def began(self, key):
        """Count one more request in flight at the endpoint."""
        self.record(key).in_flight += 1

    def ended(self, key):
        """Count one request in flight at the endpoint less."""
        self.record(key).in_flight -= 1

    def data_received(self, key, now):
        """Record that bytes of an answer came from the endpoint."""
        self.record(key).last_seen_ms = now

    def is_unresponsive(self, key, members, now):
        """Whether the endpoint is unresponsive while another of *members* is not.

        A frozen or unreachable machine closes no connection, and its requests would
        wait until their callers give up. Ranks run in lock-step, so a rank that sends
        nothing while others do is not just busy. Where none sends anything, the group
        is stalled, and another attempt would wait as well.
        """
        if now - self.record(key).last_seen_ms < UNRESPONSIVE_MS:
            return False
        others = (other for other in map(incarnation_key, members) if other != key)
        return any(now - self.record(o).last_seen_ms < RESPONSIVE_MS for o in others)

    def succeeded(self, key):
        """Record a success of the endpoint: it is no longer avoided."""
        record = self.record(key)
        record.failures = 0
        record.avoid_until_ms = 0

    def failed(self, key, now):
        """Record a failed request of the endpoint, and avoid it for a while."""
        record = self.record(key)
        record.failures += 1
        avoid_ms = min(AVOID_MS * 2 ** (record.failures - 1), AVOID_MAX_MS)
        record.avoid_until_ms = now + avoid_ms
