"""Health checks of endpoints: which incarnation answers at an endpoint's address.

A health check names the endpoint that it is meant for. Another one that has its address
refuses it with 421, or states its own id.
"""

from twisted.internet import defer, error

from dunlinpoint import probe
from dunlinpoint.answers import life_check

MISDIRECTED = 421


def evidence_of(status, instance_ids, endpoint_id):
    """The ``Evidence`` in an answer to a health check that was meant for *endpoint_id*.

    *instance_ids* are the ids (``bytes``) that it states, none if it states no id. Its
    status does not matter: an endpoint that leaves, or is full, lives.
    """
    if status == MISDIRECTED or set(instance_ids) - {endpoint_id.encode()}:
        return life_check.Evidence.OTHER_INSTANCE
    return life_check.Evidence.ANSWERED


@defer.inlineCallbacks
def ask(forwarder, member):
    """A Deferred of the ``Evidence`` that a probe of *member* has found.

    An endpoint of a service without a health check is only connected to.
    """
    pool, own = forwarder.pool, forwarder.names
    path = forwarder.health_path_by_service.get(member.service_name)
    if path is None:
        takes = yield pool.takes_connections(member)
        if takes is None:
            return life_check.Evidence.NONE
        evidence = life_check.Evidence
        return evidence.LISTENING if takes else evidence.REFUSED
    try:
        head = yield pool.read_health(
            member, path.encode(), {own.endpoint_id: member.endpoint_id.encode()}
        )
    except error.ConnectionRefusedError:
        return life_check.Evidence.REFUSED
    except probe.NoAnswer:
        return life_check.Evidence.NONE
    instance_ids = head.headers.getRawHeaders(own.instance_id, [])
    return evidence_of(head.code, instance_ids, member.endpoint_id)
