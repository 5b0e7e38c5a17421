"""Expert maps for a group whose ranks are separate processes.

================  ========================================================
module            contents
================  ========================================================
``placement``     expert maps, the load they put on ranks, and better maps
``benefit``       benefit, size and urgency of a change of map
``load``          streams in flight in a group
``window``        recent expert demand, from cumulative counters
``switch``        the change of map: every rank at the same step, or none
``commands``      engine commands and their compression between agents
``dispatcher``    command dispatcher from an agent to its own engine
``engine``        HTTP client of one rank's engine
``rank``          service and announcements of one rank's agent
``aggregation``   queries to many ranks through aggregators
``group_client``  client of a group's ranks, for the leader and its standby
``leader``        control loop at rank 0: read, plan and switch
``standby``       takeover from a lost leader, by the agents of ranks 1 and 2
``messages``      wire messages about ranks
================  ========================================================

The leader is the agent of rank 0, and while that is lost, the agent of rank 1. The
leader needs the answers of rank 1's agent to change a map, and the acting leader those
of rank 2's. No election is needed, and a partitioned leader cannot compete with
another.
"""
