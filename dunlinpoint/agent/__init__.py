"""The endpoint agent: one small process beside each endpoint instance.

It announces its endpoint to control by heartbeats under a lease, accepts
entries' requests over thrift, fronts the local model engine or plain service
over HTTP, and drains before it leaves.

==================  ==========================================================
module              contents
==================  ==========================================================
``streams``         buffers of streamed responses, read by offset
``keys``            the at-most-once table of non-idempotent calls
``calls``           calls to the plain service, and the outcomes of their keys
``announce``        heartbeats to control, with failover between controls
``rebalance``       computes the expert map for ranks that are one process
``rebalance_loop``  sends such a map to the engine
``server``          the thrift handler, heartbeats, drain
==================  ==========================================================
"""
