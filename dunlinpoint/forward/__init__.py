"""Forwards callers' HTTP requests to endpoints unchanged.

=================  =======================================================
module             contents
=================  =======================================================
``names``          configurable HTTP header names
``routes``         lookup tables for the routes and keys of the document in force
``pool``           connection pool for endpoints, one HTTP exchange per connection
``events``         server-sent events: framing, ids and removal of duplicates
``watchdog``       aborts an attempt so that another endpoint can still answer
``responses``      final responses: generated here or passed on from an endpoint
``condition``      waits for a change of document, endpoints or groups
``state``          state shared by all requests of an entry, and state of each request
``admission``      validation and admission, from arrival to the first attempt
``capacity``       capacity of rank groups: which group a stream joins, or its refusal
``quarantine``     detection and isolation of requests that crash endpoints
``attempts``       selection of endpoints, retries, and the final failure
``exchange``       one attempt: sends the request and passes on the response
``unmarked_ends``  answers that ended with their connection: whole or broken
``bodies``         bodies of responses: read whole, or passed on event by event
``callers``        connections of callers: unread bytes, and callers that time out
``channel``        receives callers' requests within the document's limits
``site``           the HTTP server that callers connect to
=================  =======================================================
"""
