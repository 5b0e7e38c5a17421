"""Expert maps for a group whose ranks are separate processes.

==============  ==========================================================
module          contents
==============  ==========================================================
``placement``   expert maps, the load they put on ranks, and improved maps
``worth``       benefit, size and urgency of a change of map
``window``      recent expert demand, from cumulative counters
``switch``      the change of map: every rank at the same step, or none
``orders``      engine commands and their compression between agents
``giver``       command dispatcher from an agent to its own engine
``engine``      HTTP client of one rank's engine
``rank``        service and announcements of one rank's agent
``gather``      queries to many ranks through aggregators
``reach``       the ranks of a group as the leader and its standby reach them
``lead``        control loop at rank 0: read, plan and switch
``messages``    wire messages about ranks
==============  ==========================================================

The leader is always the agent of rank 0. The group cannot make a step without
rank 0, so whoever cannot reach rank 0 has no group to lead. No election is
needed, and a partitioned leader cannot compete with another.
"""
