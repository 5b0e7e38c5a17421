"""Adapter to the users' platform: its names, formats and calls, no decisions.

====================  ======================================================
module                contents
====================  ======================================================
``protocol``          the platform's header names and paths
``endpoint_signals``  endpoint signals in the headers of servers' responses
``documents``         conversion of the platform's bodies to and from messages
``fields``            validation of single fields of those bodies
``addresses``         conversion of the platform's settings
``admin``             calls of endpoints and operators at a control instance
``settings``          settings that change while a process runs
``ready``             the readiness check of an entry
``commands``          the daemon's roles as the platform starts them
``entry``             the entry role
``control``           the control role
``agent``             the agent role
====================  ======================================================

The platform's names are used in this package only; its calls and formats are
translated to those of the other packages.
"""
