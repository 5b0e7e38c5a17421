"""Control: the configuration document, membership, and durable agreement.

=====================  ==========================================================
module                 contents
=====================  ==========================================================
``membership``         endpoints by id under leases renewed by heartbeats
``heard``              what this instance itself has received of endpoints
``store``              the acceptor's durable state under the data folder
``acceptor``           one voter's promises, accepted and committed decisions
``voters``             the voting instances, and when that set should change
``discovery``          discovery of the other control instances
``agreement``          one round of agreement per decision (quorum)
``operators``          documents that carry the console's number: the highest wins
``evacuation``         evacuated zones, and what copies of an order still do
``evacuation_orders``  operators' orders to begin or end the evacuation of a zone
``zones``              the zones that exist
``suspension``         messages that waited while the process was suspended
``followers``          the entries that poll this instance, and their positions
``server``             the thrift handler of the ``Control`` service
=====================  ==========================================================
"""
