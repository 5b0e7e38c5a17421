"""Forwards callers' HTTP requests to endpoints unchanged.

==============  ==========================================================
module          holds
==============  ==========================================================
``names``       configurable HTTP header names
``routes``      lookup tables for the routes and keys of the current document
``pool``        connection pool for endpoints, one HTTP exchange per connection
``events``      server-sent events: framing, ids and removal of duplicates
``guard``       watchdog that aborts an attempt so that another endpoint can answer
``answers``     final responses: generated here or passed on from an endpoint
``waiting``     waits for a change of document, endpoints or groups
``state``       state shared by all requests of an entry, and state of each request
``admission``   validation and admission, from arrival to the first attempt
``room``        capacity of rank groups: which group a stream joins, or its refusal
``quarantine``  detection and isolation of requests that crash endpoints
``tries``       selection of endpoints, retries, and the final failure
``exchange``    one attempt: sends the request and passes on the response
``site``        the HTTP server that callers connect to
==============  ==========================================================
"""
