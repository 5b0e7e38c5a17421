"""Whether a host refuses connections to a port."""

from twisted.internet import defer, endpoints, error, protocol

from dunlinpoint import clock

TIMEOUT_MS = 400


@defer.inlineCallbacks
def refuses_connections(reactor, host, port):
    """A Deferred of whether *host* refuses connections to *port*.

    A connection that is accepted is closed at once. A server of one connection at a
    time would else wait for a request on it and serve no other. A host that does not
    answer within ``TIMEOUT_MS`` has not refused.
    """
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, host, port, timeout=clock.seconds(TIMEOUT_MS)
    )
    try:
        connection = yield endpoints.connectProtocol(endpoint, protocol.Protocol())
    except error.ConnectionRefusedError:
        return True
    except Exception:
        # Nothing is known of the peer then: a full accept queue looks the same.
        return False
    connection.transport.loseConnection()
    return False
