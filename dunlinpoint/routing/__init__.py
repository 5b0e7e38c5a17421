"""Routing, queueing and admission decisions over plain state.

The modules use neither connections nor the event loop. Both the entry's own
interface and the forwarded one use them.

=====================  ==============================================================
module                 contents
=====================  ==============================================================
``pick``               selection of the endpoint for the next attempt
``endpoint_order``     the order in which each entry prefers endpoints
``owners``             owners of idempotency keys, and prefix affinity
``outage``             stalled groups of ranks, and Retry-After during an outage
``groups``             distribution of a service's streams over its groups of ranks
``admission_control``  admission of streams by the observed inter-event gaps
``latency``            callers past their latency target, and their queue
``endpoint_signals``   rate limits, backoff and draining signalled by endpoints
``rate``               an entry's share of an endpoint's rate limit
``backpressure``       bytes held for callers: pauses, refusals and closed callers
``budget``             retry budget of each service
=====================  ==============================================================
"""
