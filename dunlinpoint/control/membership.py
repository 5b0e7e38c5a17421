"""Endpoints by id, each under a lease that heartbeats renew.

Endpoints announce themselves: the first heartbeat of an id makes it a
member. A member whose lease runs out is dropped. ``revision`` grows with
every change that routing must hear of at once (joined, moved, draining,
left, lease ran out), so a follower that holds a revision need not be sent
the list again; a renewal or a new load figure does not change it.

An endpoint may start again under the id that it had. Its *incarnation* (Unix ms
of its start, 0 where it tells none) says which start something is about; what
an earlier start said late is older than anything of a later one (:func:`age`).
"""

import copy
import random

import attrs

from dunlinpoint.wire.gen.dunlin import ttypes

LEASE_MS = 2000
# How long an endpoint that left is remembered. A heartbeat held up by a cut
# can arrive after its sender has left; without the record it would bring the
# endpoint back, and requests would go to an address that may be another's.
LEFT_MEMORY_MS = 120_000
REVISION_BITS = 40
# How many ids that were dropped are told of; a follower that has missed more of them
# is sent the whole list.
DROPPED_KEPT = 1000


@attrs.define
class Lease:
    """One member and when its lease ends (control's clock, ms)."""

    beat: ttypes.Heartbeat
    expires_ms: int


def first_revision():
    """A start for ``revision`` that no earlier life of the process used."""
    return random.SystemRandom().getrandbits(REVISION_BITS) << 20


def routed(beat):
    """What of a heartbeat routing depends on."""
    place = beat.host, beat.port, beat.slots, beat.service_name
    standing = beat.draining, beat.gone, beat.epoch, beat.broken
    return *place, *standing, beat.incarnation or 0


def is_foreign(beat, known):
    """Whether *beat* cannot be of the endpoint that sent *known*.

    One start of an endpoint of a service keeps its service and its address. A
    heartbeat with the id of a live endpoint and another body would send that one's
    requests elsewhere.
    """
    if known.gone or not known.service_name or beat.incarnation != known.incarnation:
        return False
    return place(beat) != place(known)


def place(beat):
    """Where an endpoint is, and what it serves."""
    return beat.kind, beat.service_name, beat.zone, beat.host, beat.port


def age(said):
    """What orders all that is said of one endpoint, in a heartbeat or a member list.

    A later start comes first, whatever its counts are; of one start, that it left
    is the newest there is.
    """
    return said.incarnation or 0, bool(said.gone), said.sequence or 0


@attrs.frozen
class Changes:
    """What of a list changed: members that are new or other, ids that are gone."""

    members: list
    dropped: list


@attrs.define
class Membership:
    """Leases by endpoint id.

    ``changed_by_id`` and ``dropped_by_id`` hold the revision with which a member, or
    that it is none any more, is news; they are whole from ``whole_from`` on.
    """

    lease_ms: int = LEASE_MS
    by_id: dict = attrs.field(factory=dict)
    revision: int = attrs.field(factory=first_revision)
    whole_from: int = attrs.field(
        default=attrs.Factory(lambda own: own.revision, takes_self=True)
    )
    changed_by_id: dict = attrs.field(factory=dict)
    dropped_by_id: dict = attrs.field(factory=dict)

    def renew(self, beat, now):
        """Take in one heartbeat; ``True`` when routing must hear of it.

        A heartbeat older than the one known, by incarnation and sequence,
        is ignored: late by seconds, it would undo ``draining`` or move a
        restarted endpoint back to its old address.
        """
        lease = self.by_id.get(beat.endpoint_id)
        if lease is not None:
            if age(beat) < age(lease.beat) or is_foreign(beat, lease.beat):
                return False
        keep_ms = LEFT_MEMORY_MS if beat.gone else self.lease_ms
        self.by_id[beat.endpoint_id] = Lease(beat, now + keep_ms)
        changed = lease is None or routed(lease.beat) != routed(beat)
        if changed:
            self._changed(beat.endpoint_id)
        elif lease.beat.load != beat.load:
            # No news by itself, it goes with the next that is.
            self.changed_by_id[beat.endpoint_id] = self.revision + 1
        return changed

    def _changed(self, endpoint_id):
        self.revision += 1
        self.changed_by_id[endpoint_id] = self.revision
        self.dropped_by_id.pop(endpoint_id, None)

    def leave(self, endpoint_id, now, incarnation=None, wall_ms=0):
        """The endpoint says it has left; ``True`` when that is news.

        Without the *incarnation* that leaves, it is the one that is known here. A
        control that knows none takes every start up to *wall_ms* (Unix ms): the
        other controls may know one, and must not be the newer for it.
        """
        lease = self.by_id.get(endpoint_id)
        if lease is not None:
            beat = copy.copy(lease.beat)
            if incarnation is not None and incarnation != beat.incarnation:
                if incarnation < (beat.incarnation or 0):
                    return False
                beat.incarnation = incarnation
                beat.gone = False
        else:
            ended = wall_ms if incarnation is None else incarnation
            beat = ttypes.Heartbeat(endpoint_id=endpoint_id, incarnation=ended)
        if beat.gone:
            return False
        beat.gone = True
        self.by_id[endpoint_id] = Lease(beat, now + LEFT_MEMORY_MS)
        self._changed(endpoint_id)
        return True

    def expire(self, now):
        """Drop members whose lease ran out; their ids."""
        gone = [i for i, lease in self.by_id.items() if lease.expires_ms <= now]
        if not gone:
            return gone
        self.revision += 1
        for endpoint_id in gone:
            del self.by_id[endpoint_id]
            self.changed_by_id.pop(endpoint_id, None)
            self.dropped_by_id[endpoint_id] = self.revision
        if len(self.dropped_by_id) > DROPPED_KEPT:
            self.dropped_by_id.clear()
            self.whole_from = self.revision
        return gone

    def changes_since(self, revision, now):
        """The ``Changes`` after *revision*, or ``None`` where these are not known."""
        if not self.whole_from <= revision <= self.revision:
            return None
        changed = [i for i, at in self.changed_by_id.items() if at > revision]
        dropped = [i for i, at in self.dropped_by_id.items() if at > revision]
        return Changes(self.members(now, changed), dropped)

    def members(self, now, ids=None):
        """Live members and those that left, as ``Member`` messages; all or of *ids*."""
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
            )
            for lease in leases
            if lease.expires_ms > now
            for b in (lease.beat,)
        ]
