"""Where work goes, who waits and who is refused: decisions over plain state.

Nothing here knows of connections or of the loop; our own interface and the
forwarded one both ask it.

==============  ==========================================================
module          holds
==============  ==========================================================
``pick``        which endpoint gets the next try, and which are avoided
``spread``      the order in which each entry prefers endpoints
``owners``      which agents keep an idempotency key, and prefix affinity
``outage``      groups of ranks that stand, and when to come back
``groups``      how a service's streams are divided over its groups of ranks
``controller``        how many streams are let in, from the pauses that are seen
``budget``      how many tries beyond the first a service may get
==============  ==========================================================
"""
