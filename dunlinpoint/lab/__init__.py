"""Test tooling: starts a local deployment from a profile, generates load, reports.

This is not part of the daemon, which never starts a process. The lab starts every
role as its own ``python -m dunlinpoint`` process on loopback.

==============  ==========================================================
module          holds
==============  ==========================================================
``deploy``      start and stop of the processes of one local deployment
``client``      HTTP calls to entries, for the load tool and tests
``load``        the load and experiment tool, which prints a summary
``churn``       a run of many document changes in sequence
==============  ==========================================================
"""
