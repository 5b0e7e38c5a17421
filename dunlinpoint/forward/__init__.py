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
``state``       what requests at one entry share, and what each carries
``admission``   who is let in: from a request's arrival to its first try
``tries``       which endpoint next, how often, and when to give up
``exchange``    one try: sent to an endpoint, its answer passed on
``site``        the HTTP server that callers connect to
==============  ==========================================================
"""
