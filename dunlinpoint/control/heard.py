"""What this control instance has itself received of endpoints.

A process that crashes sends nothing, so a heartbeat received after a connection to its
sender has ended shows that the sender lives. What other control instances list shows
nothing, nor does a heartbeat that may be a late copy: only one counts whose sequence is
higher than the one received before it from the same incarnation.
"""

import attrs

from dunlinpoint.wire.gen.dunlin import ttypes

# Endpoints in one request; entries ask about one.
MAX_ENDPOINTS = 100


@attrs.frozen
class Received:
    """The last new heartbeat of an incarnation, and its deregistration.

    Each is the earliest time of its arrival (control's clock, ms), ``None`` if there
    was none.
    """

    heartbeat_ms: int | None = None
    gone_ms: int | None = None


def update(heartbeat, lease, arrived_ms):
    """The ``Received`` after *heartbeat*.

    It arrived at *arrived_ms* at the earliest. *lease* is the endpoint's lease before
    it, ``None`` if there is none.
    """
    gone_ms = arrived_ms if heartbeat.gone else None
    if lease is None or lease.heartbeat.incarnation != heartbeat.incarnation:
        return Received(gone_ms=gone_ms)
    before, known = lease.heartbeat, lease.received
    sequences = heartbeat.sequence, before.sequence
    is_new = None not in sequences and heartbeat.sequence > before.sequence
    return Received(
        arrived_ms if is_new else known.heartbeat_ms,
        known.gone_ms if before.gone else gone_ms,
    )


def reports(lease_by_id, endpoint_ids, now):
    """``Heard`` messages of the known ones of the first of *endpoint_ids*."""

    def age(time_ms):
        return None if time_ms is None else now - time_ms

    return [
        ttypes.Heard(
            endpoint_id=endpoint_id,
            incarnation=lease.heartbeat.incarnation or 0,
            heartbeat_age_ms=age(lease.received.heartbeat_ms),
            gone_age_ms=age(lease.received.gone_ms),
        )
        for endpoint_id in endpoint_ids[:MAX_ENDPOINTS]
        if (lease := lease_by_id.get(endpoint_id)) is not None
    ]
