"""dunlinpoint: a load balancer for expert-parallel model groups.

The package is cut in slices by duty, each with its own state, messages and
tests:

============  ==============================================================
slice         duty
============  ==============================================================
``entry``     callers' HTTP; routes each request to an endpoint agent
``agent``     one per endpoint instance; fronts the local engine or service
``control``   configuration document, membership, durable agreement
``experts``   one expert map for ranks that are separate processes
``forward``   callers' own HTTP requests to endpoints, unchanged
``platform``  our users' platform: its names, formats and calls
``config``    the operators' document: format, validation, errors
``wire``      thrift messages between our processes, links and servers
``standins``  our stand-ins for engines, plain services and the weight store
``faults``    the fault-injecting TCP proxy used by the integration tests
``lab``       launcher, load and experiment tool for a local deployment
``cli``       the ``dunlinpoint`` daemon and the ``dunlinctl`` operator tool
============  ==============================================================
"""
