"""The endpoint agent: one small process beside each endpoint instance.

It announces its endpoint to control by heartbeats under a lease, takes
orders from entries over thrift, fronts the local model engine or plain
service over HTTP, and drains before it leaves.

==============  ==========================================================
module          holds
==============  ==========================================================
``streams``     buffers of streamed answers, read by offset
``keys``        the at-most-once table of non-idempotent calls
``calls``       calls to the plain service, and what becomes of their keys
``announce``    heartbeats to one control after another
``rebalance``   which expert map, for ranks that are one process
``balance``     when such a map is ordered
``server``      the thrift handler, heartbeats, drain
==============  ==========================================================
"""
