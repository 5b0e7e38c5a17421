"""Calls that wait for a cold endpoint, the most urgent first.

A call that waits is sent when its turn has come and the entry may send a request to one
of the cold endpoints. No call that is less urgent takes that place, whether it waits or
has just arrived.
"""

from dunlinpoint.routing import latency

# How long a call yields to a more urgent one for which an endpoint is available.
YIELD_MS = 10


def urgency(call):
    """The sort key of *call*: priority of its workspace, of its route, its arrival."""
    priority = call.route.priority
    workspace = call.workspace.priority if call.workspace is not None else None
    return (
        priority if workspace is None else workspace,
        priority,
        call.arrived_ms,
        id(call),
    )


def ahead(forwarder, call):
    """The number of more urgent calls that wait for a cold endpoint of its service."""
    queue = forwarder.picker.cold.waiting_by_service.get(call.service)
    return queue.ahead_of(urgency(call)) if queue is not None and queue.keys else 0


def enter(forwarder, call):
    """Add *call* to the calls that wait, if endpoints of its service may be cold."""
    cold = forwarder.picker.cold
    if call.service not in cold.rule_by_service:
        return
    queue = cold.waiting_by_service.setdefault(call.service, latency.Queue())
    if urgency(call) not in queue.keys:
        queue.enter(urgency(call))
        forwarder.counters.incr("cold_waited")


def leave(forwarder, call):
    """Remove *call* from the calls that wait."""
    queue = forwarder.picker.cold.waiting_by_service.get(call.service)
    if queue is not None and queue.keys:
        queue.leave(urgency(call))
