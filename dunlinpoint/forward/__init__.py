"""Forwarding callers' own HTTP requests to endpoints, unchanged.

==============  ==========================================================
module          holds
==============  ==========================================================
``names``       the header names of a dialect of HTTP
``routes``      routes and keys of the document in force, looked up fast
``pool``        connections to endpoints and one exchange on one of them
``events``      server-sent events: whole ones, their ids, what is repeated
``guard``       when a try is ended so that another endpoint can answer
``answers``     final answers: our own, and an endpoint's passed on
``waiting``     requests that wait for news
``exchange``    one caller's request from arrival to its final answer
``site``        the HTTP server that callers connect to
==============  ==========================================================
"""
