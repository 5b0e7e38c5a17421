"""The entry: serves callers' HTTP requests.

Each zone has several entries behind the platform's load balancer.

==============  ==========================================================
module          contents
==============  ==========================================================
``app``         the HTTP interface and the handling of requests
``limits``      limits on requests in flight by workspace
==============  ==========================================================
"""
