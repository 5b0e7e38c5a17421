"""dunlinpoint: a load balancer for expert-parallel model groups.

Each subpackage has one responsibility, with its own state, messages and tests:

============  ==============================================================
subpackage    responsibility
============  ==============================================================
``entry``     serves callers' HTTP; routes each request to an endpoint agent
``agent``     one per endpoint instance; fronts the local engine or service
``control``   configuration document, membership, durable agreement
``experts``   one expert map for ranks that are separate processes
``follow``    the deployment's view that entries and agents poll from controls
``routing``   routing, queueing and admission decisions over plain state
``suspects``  detects requests that crash every endpoint that runs them
``forward``   forwards callers' HTTP requests to endpoints unchanged
``platform``  adapter to the users' platform: its names, formats and calls
``config``    the configuration document: format, validation, errors
``wire``      thrift messages between the processes, clients and servers
``standins``  stand-ins for engines, plain services and the weight store
``faults``    the fault-injecting TCP proxy used by the integration tests
``soak``      randomized soak test with injected faults
``lab``       launcher, load and experiment tool for a local deployment
``cli``       the ``dunlinpoint`` daemon and the ``dunlinctl`` operator tool
============  ==============================================================
"""
