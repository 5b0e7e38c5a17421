"""The entry: callers' HTTP, one of several per zone behind the platform's balancer.

==============  ==========================================================
module          holds
==============  ==========================================================
``view``        members and the document in force, polled from control
``routing``     which agent gets a request
``app``         the HTTP interface and the request paths
==============  ==========================================================
"""
