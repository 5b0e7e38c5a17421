"""Endpoints by id, each under a lease that heartbeats renew.

Endpoints announce themselves: the first heartbeat of an id makes it a
member. A member whose lease runs out is dropped; a heartbeat with an older
incarnation than the one known is ignored, so a restarted agent's last
heartbeat from before the restart cannot bring back its old address.
"""

import attrs

from dunlinpoint.wire.gen.dunlin import ttypes

LEASE_MS = 2000


@attrs.define
class Lease:
    """One member and when its lease ends (control's clock, ms)."""

    beat: ttypes.Heartbeat
    expires_ms: int


@attrs.define
class Membership:
    """Leases by endpoint id."""

    lease_ms: int = LEASE_MS
    by_id: dict = attrs.field(factory=dict)

    def renew(self, beat, now):
        """Take in one heartbeat; ``True`` when it made a new member."""
        lease = self.by_id.get(beat.endpoint_id)
        if lease is not None and beat.incarnation < lease.beat.incarnation:
            return False
        self.by_id[beat.endpoint_id] = Lease(beat, now + self.lease_ms)
        return lease is None

    def expire(self, now):
        """Drop members whose lease ran out; their ids."""
        gone = [i for i, lease in self.by_id.items() if lease.expires_ms <= now]
        for endpoint_id in gone:
            del self.by_id[endpoint_id]
        return gone

    def members(self, now):
        """Live members as ``Member`` messages, lease left in ms."""
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
            )
            for lease in self.by_id.values()
            if lease.expires_ms > now
            for b in (lease.beat,)
        ]
