"""Control: the configuration document, membership, and durable agreement.

==============  ==========================================================
module          holds
==============  ==========================================================
``membership``  endpoints by id under leases renewed by heartbeats
``store``       the acceptor's durable state under the data folder
``acceptor``    one voter's promises, and what it accepted and learned
``voters``      which instances vote, and when that set should change
``discovery``   the other control instances, as this one finds them
``agreement``   one round of agreement per decision (quorum)
``operators``   documents that carry the console's number: the highest wins
``followers``   the entries that follow, and each one's place
``server``      the thrift handler of the ``Control`` service
==============  ==========================================================
"""
