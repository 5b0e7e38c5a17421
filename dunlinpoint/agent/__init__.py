"""The endpoint agent: one small process beside each endpoint instance.

It announces its endpoint to control by heartbeats under a lease, takes
orders from entries over thrift, fronts the local model engine or plain
service over HTTP, and drains before it leaves.

==============  ==========================================================
module          holds
==============  ==========================================================
``streams``     buffers of streamed answers, read by offset
``keys``        the at-most-once table of non-idempotent calls
``server``      the thrift handler, heartbeats, drain
==============  ==========================================================
"""
