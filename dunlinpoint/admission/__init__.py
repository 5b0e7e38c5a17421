"""Admission of callers that compete for the capacity of one service.

:mod:`dunlinpoint.routing.admission_control` decides how many streams an entry admits
to a group. This package decides which, for a service whose streaming routes have more
than one priority. Every module is plain state without a network:

``urgency``      urgency of a call, and the priority sent to engines
``mix``          arrivals and admissions that the entry saw lately
``division``     division of the overall admitted share among urgencies
``workspaces``   workspaces that send far above their usual part or retry at once
``waiting``      order of the callers that wait for capacity
``retry_after``  the Retry-After of a refusal
``competition``  the decisions of one service, made from the modules above
"""
