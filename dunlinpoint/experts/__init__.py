"""One expert map for a group whose ranks are separate processes.

==============  ==========================================================
module          holds
==============  ==========================================================
``placement``   maps, the load they put on ranks, and better ones
``window``      what was chosen lately, from counters that only grow
``switch``      the change of map: every rank at one step, or none
``rank``        one rank's engine, and what its agent answers the others
``lead``        the loop at rank 0 that reads, plans and switches
==============  ==========================================================

Why rank 0 leads: the group cannot make a step without it, so whoever can
reach no rank 0 has no group to lead either. No election is needed, and a
cut-off lead cannot compete with another.
"""
