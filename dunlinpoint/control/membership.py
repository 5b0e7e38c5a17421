"""Endpoints by id, each with a lease that its heartbeats renew.

Endpoints register themselves: the first heartbeat of an id makes it a member.
A member whose lease expires is dropped. ``revision`` grows with every change
that routing must receive at once (joined, moved, draining, left, lease
expired), so a follower that holds a revision need not be sent the list again; a
renewal or a new load figure does not change it.

An endpoint may restart under the same id. Its *incarnation* (Unix ms of its
start, 0 if it sends none) tells the starts apart: a delayed message of an
earlier incarnation is older than any message of a later one (:func:`recency`).

A cold endpoint reports for how long it stays cold. One that turns cold again is a
change; the countdown of the remaining time is not.
"""

import copy
import random

import attrs

from dunlinpoint.control import heard
from dunlinpoint.experts import messages
from dunlinpoint.wire.gen.dunlin import ttypes

LEASE_MS = 2000
# How long the record of an endpoint that left is kept. A heartbeat delayed by a
# network partition can arrive after its sender has left; without the record it would
# register the endpoint again, and requests would go to an address that may belong to
# another endpoint.
DEPARTED_RETENTION_MS = 120_000
REVISION_BITS = 40
# Changes of one start of a process: far more than any makes.
FIRST_REVISION_SHIFT = 20
# An endpoint has turned cold if it stays so for this much longer than it last reported.
# Below this, its heartbeat was delayed.
TURNED_COLD_MS = 500
# Dropped ids kept for incremental updates; a follower that has missed more of them is
# sent the complete list.
MAX_DROPPED_IDS = 1000


@attrs.define
class Lease:
    """A member's last heartbeat and the end of its lease (control's clock, ms).

    ``cold_until_ms`` is until when it is cold, ``None`` if it has not reported it.
    """

    heartbeat: ttypes.Heartbeat
    expires_ms: int
    cold_until_ms: int | None = None
    received: heard.Received = heard.Received()

    def cold_left_ms(self, now):
        """How much longer (ms) the member stays cold, or ``None`` if unknown."""
        return None if self.cold_until_ms is None else max(0, self.cold_until_ms - now)


def first_revision():
    """A random first ``revision``, unlike those of earlier starts of the process."""
    return random.SystemRandom().getrandbits(REVISION_BITS) << FIRST_REVISION_SHIFT


def is_same_start(revision, earlier):
    """Whether *revision* and *earlier* are of the same start of a process."""
    return revision >> FIRST_REVISION_SHIFT == earlier >> FIRST_REVISION_SHIFT


def routing_fields(heartbeat):
    """The fields of a heartbeat that routing depends on, as a tuple."""
    location = heartbeat.host, heartbeat.port, heartbeat.slots, heartbeat.service_name
    status = heartbeat.draining, heartbeat.gone, heartbeat.epoch, heartbeat.broken
    return *location, *status, heartbeat.incarnation or 0


def cold_until_ms(heartbeat, lease, now):
    """Until when the sender of *heartbeat* is cold, or ``None`` if unknown.

    A heartbeat without this time changes nothing for the incarnation of *lease*.
    """
    if heartbeat.cold_left_ms is not None:
        return now + heartbeat.cold_left_ms
    if lease is None or lease.heartbeat.incarnation != heartbeat.incarnation:
        return None
    return lease.cold_until_ms


def has_turned_cold(before, after, now):
    """Whether a member with the lease *before* has turned cold in the lease *after*."""
    left_ms = after.cold_left_ms(now) or 0
    return left_ms > (before.cold_left_ms(now) or 0) + TURNED_COLD_MS


def is_foreign(heartbeat, known):
    """Whether *heartbeat* cannot come from the endpoint that sent *known*.

    An incarnation of a service's endpoint keeps its service and address. A
    heartbeat with the id of a live endpoint but another address or service would
    redirect that endpoint's requests.
    """
    if (
        known.gone
        or not known.service_name
        or heartbeat.incarnation != known.incarnation
    ):
        return False
    return location(heartbeat) != location(known)


def location(heartbeat):
    """The kind, service, zone and address of an endpoint, as a tuple."""
    return (
        heartbeat.kind,
        heartbeat.service_name,
        heartbeat.zone,
        heartbeat.host,
        heartbeat.port,
    )


def recency(record):
    """A sort key for the heartbeats and member records of one endpoint.

    A later incarnation is newer whatever its sequence numbers are; within one
    incarnation, the record that it left is the newest.
    """
    return record.incarnation or 0, bool(record.gone), record.sequence or 0


@attrs.frozen
class Changes:
    """Changes of a member list: new or changed members, and dropped ids."""

    members: list
    dropped: list


@attrs.define
class Membership:
    """Leases by endpoint id.

    ``changed_by_id`` and ``dropped_by_id`` hold the revision at which a member last
    changed or was dropped; they are complete from revision ``complete_since`` on.
    """

    lease_ms: int = LEASE_MS
    by_id: dict = attrs.field(factory=dict)
    revision: int = attrs.field(factory=first_revision)
    complete_since: int = attrs.field(
        default=attrs.Factory(lambda own: own.revision, takes_self=True)
    )
    changed_by_id: dict = attrs.field(factory=dict)
    dropped_by_id: dict = attrs.field(factory=dict)

    def renew(self, heartbeat, now, arrived_ms=None):
        """Process one heartbeat; ``True`` if it changes what routing depends on.

        It arrived at *arrived_ms* at the earliest, by default *now*.

        A heartbeat older than the last one, by incarnation and sequence, is
        ignored: delayed by seconds, it would undo ``draining`` or move a
        restarted endpoint back to its old address.
        """
        lease = self.by_id.get(heartbeat.endpoint_id)
        if lease is not None:
            if recency(heartbeat) < recency(lease.heartbeat) or is_foreign(
                heartbeat, lease.heartbeat
            ):
                return False
        keep_ms = DEPARTED_RETENTION_MS if heartbeat.gone else self.lease_ms
        renewed = self.by_id[heartbeat.endpoint_id] = Lease(
            heartbeat,
            now + keep_ms,
            cold_until_ms(heartbeat, lease, now),
            heard.update(heartbeat, lease, now if arrived_ms is None else arrived_ms),
        )
        changed = (
            lease is None
            or routing_fields(lease.heartbeat) != routing_fields(heartbeat)
            or has_turned_cold(lease, renewed, now)
            or messages.has_pace_changed(lease.heartbeat.pace, heartbeat.pace)
        )
        if changed:
            self._record_change(heartbeat.endpoint_id)
        elif (
            lease.heartbeat.load != heartbeat.load
            or lease.heartbeat.pace != heartbeat.pace
            or lease.cold_until_ms != renewed.cold_until_ms
        ):
            # These figures are sent with the next change that routing depends on.
            self.changed_by_id[heartbeat.endpoint_id] = self.revision + 1
        return changed

    def _record_change(self, endpoint_id):
        self.revision += 1
        self.changed_by_id[endpoint_id] = self.revision
        self.dropped_by_id.pop(endpoint_id, None)

    def leave(self, endpoint_id, now, incarnation=None, wall_ms=0, arrived_ms=None):
        """Record that an endpoint has left; ``True`` if it was not known to have left.

        Without an *incarnation*, the one known here has left. If none is known, all
        incarnations up to *wall_ms* (Unix ms) are recorded as left: other controls
        may know one of them, and their record must not count as newer. The message
        arrived at *arrived_ms* at the earliest, by default *now*.
        """
        lease = self.by_id.get(endpoint_id)
        if lease is not None:
            heartbeat = copy.copy(lease.heartbeat)
            if incarnation is not None and incarnation != heartbeat.incarnation:
                if incarnation < (heartbeat.incarnation or 0):
                    return False
                heartbeat.incarnation = incarnation
                heartbeat.gone = False
        else:
            ended_incarnation = wall_ms if incarnation is None else incarnation
            heartbeat = ttypes.Heartbeat(
                endpoint_id=endpoint_id, incarnation=ended_incarnation
            )
        if heartbeat.gone:
            return False
        heartbeat.gone = True
        self.by_id[endpoint_id] = Lease(
            heartbeat,
            now + DEPARTED_RETENTION_MS,
            received=heard.update(
                heartbeat, lease, now if arrived_ms is None else arrived_ms
            ),
        )
        self._record_change(endpoint_id)
        return True

    def expire(self, now):
        """Drop members whose lease expired; returns their ids."""
        expired = [i for i, lease in self.by_id.items() if lease.expires_ms <= now]
        if not expired:
            return expired
        self.revision += 1
        for endpoint_id in expired:
            del self.by_id[endpoint_id]
            self.changed_by_id.pop(endpoint_id, None)
            self.dropped_by_id[endpoint_id] = self.revision
        if len(self.dropped_by_id) > MAX_DROPPED_IDS:
            self.dropped_by_id.clear()
            self.complete_since = self.revision
        return expired

    def changes_since(self, revision, now):
        """The ``Changes`` after *revision*, or ``None`` if they are not known."""
        if not self.complete_since <= revision <= self.revision:
            return None
        changed = [i for i, at in self.changed_by_id.items() if at > revision]
        dropped = [i for i, at in self.dropped_by_id.items() if at > revision]
        return Changes(self.members(now, changed), dropped)

    def members(self, now, ids=None):
        """``Member`` messages of live and departed members, optionally only *ids*."""
        leases = self.by_id.values()
        if ids is not None:
            leases = [self.by_id[endpoint_id] for endpoint_id in ids]
        return [
            ttypes.Member(
                endpoint_id=b.endpoint_id,
                zone=b.zone,
                host=b.host,
                port=b.port,
                kind=b.kind,
                load=b.load,
                draining=b.draining,
                lease_left_ms=lease.expires_ms - now,
                group=b.group,
                config_version=b.config_version,
                service_name=b.service_name,
                slots=b.slots,
                sequence=b.sequence,
                gone=b.gone,
                engine=b.engine,
                epoch=b.epoch,
                broken=b.broken,
                incarnation=b.incarnation,
                cold_left_ms=lease.cold_left_ms(now),
                pace=b.pace,
            )
            for lease in leases
            if lease.expires_ms > now
            for b in (lease.heartbeat,)
        ]
