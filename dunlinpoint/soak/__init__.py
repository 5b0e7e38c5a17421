"""A randomized fault soak: real processes, faults from outside, promises checked.

==============  ==========================================================
module          holds
==============  ==========================================================
``servers``     back ends that misbehave on their own, and what they ran
``cluster``       the processes of one run, each on a loopback address of its own
``notices``     back ends that say what they take, and whether it was heeded
``faults``      the schedule of faults that a seed gives
``callers``     callers and the operator, and what they saw
``checks``      the promises, judged from what callers and back ends saw
``run``         one seed or many, from the command line
==============  ==========================================================

``python -m dunlinpoint.soak --seeds 1,2,3`` plays seeds; the same seed gives
the same schedule. Every process is ended by its id.
"""
