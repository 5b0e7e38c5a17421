"""Calls that wait for a cold endpoint, the most urgent first.

A call that waits is sent when its turn has come and the entry may send a request to one
of the cold endpoints. No call that is less urgent takes that place, whether it waits or
has just arrived.
"""

from dunlinpoint.admission import urgency
from dunlinpoint.routing import latency

# How long a call yields to a more urgent one for which an endpoint is available.
YIELD_MS = 10


def queue_key(call):
    """The sort key of *call*: its urgency, then its arrival."""
    return *urgency.of(call.route, call.workspace), call.arrived_ms, id(call)


def ahead(forwarder, call):
    """The number of more urgent calls that wait for a cold endpoint of its service."""
    queue = forwarder.picker.cold.waiting_by_service.get(call.service)
    return queue.ahead_of(queue_key(call)) if queue is not None and queue.keys else 0


def enter(forwarder, call):
    """Add *call* to the calls that wait, if endpoints of its service may be cold."""
    cold = forwarder.picker.cold
    if call.service not in cold.rule_by_service:
        return
    queue = cold.waiting_by_service.setdefault(call.service, latency.Queue())
    if queue_key(call) not in queue.keys:
        queue.enter(queue_key(call))
        forwarder.counters.incr("cold_waited")


def leave(forwarder, call):
    """Remove *call* from the calls that wait."""
    queue = forwarder.picker.cold.waiting_by_service.get(call.service)
    if queue is not None and queue.keys:
        queue.leave(queue_key(call))
