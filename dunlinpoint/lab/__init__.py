"""Tooling: launch a local deployment from a profile, drive load, report.

This is not part of the daemon: the daemon never starts a process. The lab
starts every role as its own ``python -m dunlinpoint`` process on loopback.

==============  ==========================================================
module          holds
==============  ==========================================================
``deploy``      the processes of one local deployment, started and stopped
``client``      plain HTTP calls to entries, for the load tool and tests
``load``        the load and experiment tool and its summary
==============  ==========================================================
"""
