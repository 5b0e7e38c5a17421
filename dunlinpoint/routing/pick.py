"""Selection of the endpoint for the next attempt of a request.

The least loaded endpoint is picked. Its load is the number of this entry's requests
in flight there, or the load that the endpoint last reported if that is more, divided
by its slots. An endpoint in another zone counts as if it had
:data:`OTHER_ZONE_REQUESTS` more. The load of a slow rank counts as many times as its
pace (:mod:`pace`). Of two with the same load, the first in the entry's own order
(:mod:`endpoint_order`) is picked.

An endpoint that failed a request is avoided for a time that doubles with each
consecutive failure. This goes by the outcome of requests, because health reports lag
and some endpoints fail requests while they report that they are healthy.

A cold endpoint (:mod:`cold`) whose part for this entry is used up is passed over, and
so is a free one that a more urgent call waits for.

The records are kept by an endpoint's incarnation (:func:`incarnation_key`): an
endpoint that has restarted counts as idle and healthy.
"""

from __future__ import annotations

import enum
import math

import attrs

from dunlinpoint.routing import (
    cold,
    endpoint_order,
    endpoint_signals,
    incarnations,
    pace,
)

# Handicap, in requests, of endpoints in other zones: the network latency to them is a
# millisecond or two, the wait in a queue far longer.
OTHER_ZONE_REQUESTS = 1.0
# Weight, in requests, of the position in the entry's order. Below one request, it only
# decides between endpoints of the same load.
ORDER_REQUESTS = 0.9
# The same for each entry that begins between this entry's first endpoint and the one in
# question, where streams that meet a full rank are to be avoided. More than this, and
# an entry fills its first ranks by itself.
ENTRY_DISTANCE_REQUESTS = 0.5
AVOID_MS = 400
AVOID_MAX_MS = 5000
DEFAULT_SLOTS = 4
# An endpoint with requests in flight that has sent nothing for this long, while
# another of its service has within RESPONSIVE_MS, is unresponsive.
UNRESPONSIVE_MS = 1000
RESPONSIVE_MS = 200


incarnation_key = incarnations.incarnation_key


def _withheld(cold_times, now, ahead):
    """Those of *cold_times* whose endpoints may not get the request now.

    All are withheld from a call if as many more urgent calls wait as can be sent.
    """
    if sum(at <= now for at in cold_times.values()) <= ahead:
        return cold_times
    return {key: at for key, at in cold_times.items() if at > now}


def _order_requests(members, by_zone, ring_entries):
    """The handicap, in requests, of each of *members* by its place in the order."""
    if not ring_entries:
        return [ORDER_REQUESTS * i / len(members) for i in range(len(members))]
    between = endpoint_order.entries_between(members, by_zone, ring_entries)
    return [ENTRY_DISTANCE_REQUESTS * count for count in between]


class Preference(enum.IntEnum):
    """Which endpoints are preferred: those of a lower value."""

    USABLE = 0
    FULL = 1
    AVOIDED = 2


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
    cold: cold.ColdEndpoints = attrs.field(factory=cold.ColdEndpoints)
    paces: pace.Paces = attrs.field(factory=pace.Paces)

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

    def pick(
        self,
        members,
        now,
        exclude=(),
        prefer_own_zone=True,
        ahead=0,
        wait_until_ms=0,
        ring_entries=0,
    ):
        """The endpoint of *members* (in the entry's order) to try, or ``None``.

        With *prefer_own_zone*, endpoints in other zones have a handicap.

        *ring_entries* is the number of entries that begin their orders on each ring of
        endpoints (:func:`endpoint_order.entries_between`). Above 0, the distance from
        where this entry begins counts in requests, so that entries keep to different
        ranks in all zones. Without it, an entry sends to every rank of its own zone
        before the nearest of another, and many callers in one zone fill its ranks.

        Endpoints whose incarnations are in *exclude* are skipped, as they were tried
        already. Avoided ones are picked only when there is no other: an endpoint that
        failed recently may still serve the request. One whose signals allow no request
        now is never picked.

        *ahead* is the number of more urgent calls that wait for a cold endpoint. Rather
        than an avoided endpoint, or a warm one while these are full, none is picked if
        a cold one may get a request until *wait_until_ms*.
        """
        cold_times = self._cold_times(members, now, exclude)
        withheld = _withheld(cold_times, now, ahead)
        is_full = bool(cold_times) and self.cold.is_full(members[0].service_name, now)
        mean_requests = self._mean_requests(members)
        handicaps = _order_requests(members, prefer_own_zone, ring_entries)
        best, least = None, None
        for member, handicap in zip(members, handicaps, strict=True):
            key = incarnation_key(member)
            if key in exclude or key in withheld:
                continue
            if self.signals.available_ms(key, now) > now:
                continue
            record = self.record(key)
            if record.avoid_until_ms > now:
                rank = Preference.AVOIDED, record.avoid_until_ms
            else:
                load = self._relative_load(member, record, handicap, prefer_own_zone)
                load = self._count_pace(key, member, load, mean_requests)
                is_usable = not is_full or key in cold_times
                rank = Preference.USABLE if is_usable else Preference.FULL, load
            if best is None or rank < least:
                best, least = member, rank
        is_usable = best is not None and least[0] is Preference.USABLE
        if withheld and not is_usable:
            available_ms = self.available_ms(members, now, exclude, ahead)
            if available_ms is not None and available_ms <= wait_until_ms:
                return None
        return best

    def _cold_times(self, members, now, exclude):
        """When (ms) each cold endpoint not in *exclude* may get a request, by key."""
        if not self.cold.rule_by_service:
            return {}
        untried = [m for m in members if incarnation_key(m) not in exclude]
        return self.cold.available_ms_by_key(untried, now)

    def available_ms(self, members, now, exclude=(), ahead=0):
        """When (ms) the first of *members* may get a request, ``None`` if none may.

        If some are cold, *ahead* other calls get theirs before, avoided endpoints count
        as available when they are no longer avoided, and full ones do not count.
        """
        untried = [m for m in members if incarnation_key(m) not in exclude]
        cold_times = self._cold_times(members, now, exclude)
        is_full = bool(cold_times) and self.cold.is_full(members[0].service_name, now)
        times = []
        for key in map(incarnation_key, untried):
            if is_full and key not in cold_times:
                continue
            at = max(self.signals.available_ms(key, now), cold_times.get(key, now))
            if cold_times:
                at = max(at, self.record(key).avoid_until_ms)
            if at != math.inf:
                times.append(at)
        return sorted(times)[min(ahead, len(times) - 1)] if times else None

    def _relative_load(self, member, record, handicap, prefer_own_zone):
        requests = max(record.in_flight, member.load or 0)
        if prefer_own_zone and member.zone != self.zone:
            requests += OTHER_ZONE_REQUESTS
        return (requests + handicap) / (member.slots or DEFAULT_SLOTS)

    def _mean_requests(self, members):
        """This entry's mean requests in flight at *members*, if some rank is slow."""
        if not self.paces.pace_by_incarnation or not members:
            return 0.0
        records = [self.record(incarnation_key(member)) for member in members]
        return sum(record.in_flight for record in records) / len(members)

    def _count_pace(self, key, member, load, mean_requests):
        """The *load* of *member*, counted as many times as its pace if it is slow.

        An entry with few requests has none at most ranks. So requests of other entries
        count as well, taken as this entry's *mean_requests* per rank.
        """
        factor = self.paces.of(key)
        if factor == 1.0:
            return load
        mean_load = mean_requests / (member.slots or DEFAULT_SLOTS)
        return (load + mean_load) * factor - mean_load

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
