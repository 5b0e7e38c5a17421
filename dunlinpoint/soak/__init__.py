"""A randomized soak test: real processes, injected faults, checked guarantees.

===============  ==========================================================
module           contents
===============  ==========================================================
``servers``      backends that fail some requests, and what they executed
``cluster``      the processes of one run, each on its own loopback address
``signals``      backends that send load signals, and whether entries comply
``evacuations``  a zone that is evacuated and restored, and whether entries comply
``faults``       the fault schedule of a seed
``callers``      callers and the operator, and a record of their results
``checks``       the guarantees, checked against the records of a run
``run``          the command line: runs one or more seeds
===============  ==========================================================

``python -m dunlinpoint.soak --seeds 1,2,3`` runs the given seeds; a seed always
gives the same fault schedule. Every process is stopped by its pid.
"""
