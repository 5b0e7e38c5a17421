"""Control: the configuration document, membership, and durable agreement.

==============  ==========================================================
module          holds
==============  ==========================================================
``membership``  endpoints by id under leases renewed by heartbeats
``store``       the acceptor's durable state under the data folder
``agreement``   one round of agreement per document version (quorum)
``operators``   documents that carry the console's number: the highest wins
``server``      the thrift handler of the ``Control`` service
==============  ==========================================================
"""
