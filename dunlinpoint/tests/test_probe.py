"""Probes of whether a host refuses connections."""

import pytest
from twisted.internet import address, error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from dunlinpoint import probe


def probe_once():
    """The factory of a probe's connection, and its results."""
    reactor = MemoryReactorClock()
    results = []
    probe.refuses_connections(reactor, "127.0.0.1", 7).addBoth(results.append)
    ((host, port, factory, timeout_s, _),) = reactor.tcpClients
    assert (host, port, timeout_s) == ("127.0.0.1", 7, probe.TIMEOUT_MS / 1000)
    factory.doStart()
    return factory, results


@pytest.mark.parametrize(
    "exc, refuses",
    [
        (error.ConnectionRefusedError(), True),
        (error.TimeoutError(), False),
        (error.NoRouteError(), False),
    ],
    ids=repr,
)
def test_only_a_refusal_counts(exc, refuses):
    # Failure: a server whose accept queue is full, or a cut network, counts as a crash.
    factory, results = probe_once()
    factory.clientConnectionFailed(None, failure.Failure(exc))
    assert results == [refuses]


def test_a_connection_that_is_accepted_is_closed_at_once():
    # Failure: a server of one connection at a time waits on that of the probe.
    factory, results = probe_once()
    transport = StringTransport()
    found = factory.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 7))
    found.makeConnection(transport)
    assert results == [False]
    assert transport.disconnecting
