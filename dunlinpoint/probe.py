"""Probes of a host's port: whether it refuses connections, and what answers there."""

from twisted.internet import defer, endpoints, error, protocol
from twisted.web import _newclient, http_headers

from dunlinpoint import clock, http_client

TIMEOUT_MS = 400
# A health check may wait for a slot of its endpoint, like any other request.
ANSWER_TIMEOUT_MS = 2000


class NoAnswer(Exception):
    """Nothing of the protocol was received in time."""


def _connect(reactor, host, port, connection):
    """Connect *connection*, a ``Protocol``, to *port* of *host*; a Deferred of it."""
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, host, port, timeout=clock.seconds(TIMEOUT_MS)
    )
    return endpoints.connectProtocol(endpoint, connection)


@defer.inlineCallbacks
def refuses_connections(reactor, host, port):
    """A Deferred of whether *host* refuses connections to *port*.

    A connection that is accepted is closed at once. A server of one connection at a
    time would else wait for a request on it and serve no other. A host that does not
    answer within ``TIMEOUT_MS`` has not refused.
    """
    return (yield takes_connections(reactor, host, port)) is False


@defer.inlineCallbacks
def takes_connections(reactor, host, port):
    """A Deferred of whether *host* takes connections to *port*; ``None``: unknown.

    It is unknown if the host does not answer within ``TIMEOUT_MS``: a cut network and
    a full accept queue look the same.
    """
    try:
        connection = yield _connect(reactor, host, port, protocol.Protocol())
    except error.ConnectionRefusedError:
        return False
    except Exception:
        return None
    connection.transport.loseConnection()
    return True


@defer.inlineCallbacks
def read_head(reactor, host, port, path, fields, timeout_ms=ANSWER_TIMEOUT_MS):
    """A Deferred of the head (``IResponse``) of the answer to ``GET`` *path*.

    *path* is ``bytes``, *fields* the request's header fields (``bytes`` by ``bytes``).
    The body is not read. Fails with ``ConnectionRefusedError``, or ``NoAnswer``.
    """
    quiescent = []
    connection = http_client.BoundedProtocol(quiescent.append)
    try:
        yield _connect(reactor, host, port, connection)
    except error.ConnectionRefusedError:
        raise
    except Exception as exc:
        raise NoAnswer(f"{host}:{port}: {exc!r}") from exc
    headers = http_headers.Headers({name: [value] for name, value in fields.items()})
    headers.setRawHeaders(b"host", [f"{host}:{port}".encode()])
    request = _newclient.Request(b"GET", path, headers, None, persistent=False)
    transport = connection.transport
    timer = reactor.callLater(clock.seconds(timeout_ms), transport.abortConnection)
    try:
        return (yield connection.request(request))
    except Exception as exc:
        raise NoAnswer(f"{host}:{port}: {exc!r}") from exc
    finally:
        if timer.active():
            timer.cancel()
        transport.abortConnection()
