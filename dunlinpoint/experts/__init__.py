"""Expert maps for a group whose ranks are separate processes.

================  ========================================================
module            contents
================  ========================================================
``placement``     expert maps, the load they put on ranks, and better maps
``benefit``       benefit, size and urgency of a change of map
``window``        recent expert demand, from cumulative counters
``switch``        the change of map: every rank at the same step, or none
``commands``      engine commands and their compression between agents
``dispatcher``    command dispatcher from an agent to its own engine
``engine``        HTTP client of one rank's engine
``rank``          service and announcements of one rank's agent
``aggregation``   queries to many ranks through aggregators
``group_client``  client of a group's ranks, for the leader and its standby
``leader``        control loop at rank 0: read, plan and switch
``messages``      wire messages about ranks
================  ========================================================

The leader is always the agent of rank 0. The group cannot make a step without
rank 0, so an agent that cannot reach rank 0 has no group to lead. No election is
needed, and a partitioned leader cannot compete with another.
"""
