"""Thrift links and servers over TCP on the Twisted reactor.

A :class:`Link` is one lazily opened connection to a peer's service; calls on
it return Deferreds that fail only with :mod:`dunlinpoint.wire.errors` or the
service's declared exceptions (``Refused``).
"""

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTwisted
from twisted.internet import defer, endpoints, error

from dunlinpoint import clock
from dunlinpoint.wire import errors

CONNECT_TIMEOUT_MS = 1000
PROTOCOL = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()


def serve(reactor, processor, port, host="127.0.0.1"):
    """Listen on *host*:*port* for thrift calls handled by *processor*."""
    factory = TTwisted.ThriftServerFactory(processor, PROTOCOL)
    return reactor.listenTCP(port, factory, interface=host)


class Link:
    """One connection to a thrift service at ``host:port``, reopened after loss.

    Calls fail with ``NotSent`` if no connection can be made, and with
    ``OutcomeUnknown`` if the connection is lost or the answer takes longer than
    *timeout_ms*; after a timeout the connection is closed if no other call was
    answered on it meanwhile. An answer that arrives after its timeout is discarded:
    the request stays registered with the thrift client until then, because an
    unknown reply would make the client close the connection for all calls that
    share it.
    """

    def __init__(self, reactor, host, port, client_class, timeout_ms):
        self.reactor = reactor
        self.host = host
        self.port = port
        self.client_class = client_class
        self.timeout_ms = timeout_ms
        self._protocol = None
        self._connecting = None
        self._answer_count = 0

    @property
    def address(self):
        """``"host:port"`` of the peer."""
        return f"{self.host}:{self.port}"

    def _connect(self):
        if self._protocol is not None and self._protocol.client is not None:
            return defer.succeed(self._protocol.client)
        if self._connecting is None:
            endpoint = endpoints.TCP4ClientEndpoint(
                self.reactor,
                self.host,
                self.port,
                timeout=clock.seconds(CONNECT_TIMEOUT_MS),
            )
            protocol = TTwisted.ThriftClientProtocol(self.client_class, PROTOCOL)
            self._connecting = endpoints.connectProtocol(endpoint, protocol)
            self._connecting.addBoth(self._connected)
        waiter = defer.Deferred()
        self._connecting.addBoth(lambda result: (waiter.callback(result), result)[1])
        return waiter

    def _connected(self, result):
        self._connecting = None
        if isinstance(result, TTwisted.ThriftClientProtocol):
            self._protocol = result
            return result.client
        refused = result.check(error.ConnectionRefusedError)
        kind = errors.ConnectionRefused if refused else errors.NotSent
        return kind(f"{self.address}: {result.getErrorMessage()}")

    def call(self, method, *args, timeout_ms=None):
        """Call *method* on the peer; a Deferred of its result."""
        outer = defer.Deferred()
        timeout_ms = self.timeout_ms if timeout_ms is None else timeout_ms
        timer = self.reactor.callLater(
            clock.seconds(timeout_ms),
            self._time_out,
            outer,
            self._answer_count,
            errors.OutcomeUnknown(
                f"{self.address}: {method} timed out after {timeout_ms} ms"
            ),
        )

        def send(client):
            if isinstance(client, errors.NotSent):
                raise client
            if client is None:
                raise errors.NotSent(f"{self.address}: connection closed")
            return getattr(client, method)(*args)

        def done(result):
            self._answer_count += 1
            if timer.active():
                timer.cancel()
            if not outer.called:
                outer.callback(result)

        def failed(failure):
            if timer.active():
                timer.cancel()
            if outer.called:
                return None
            if failure.check(errors.WireError):
                outer.errback(failure)
            elif failure.check(
                TTwisted.TTransport.TTransportException, error.ConnectionDone
            ):
                outer.errback(
                    errors.OutcomeUnknown(f"{self.address}: {method}: connection lost")
                )
            elif failure.check(Thrift.TApplicationException):
                # The library's own error is not handled as a ``WireError``: an
                # agent's heartbeat loop ended at the first one, and the agent
                # dropped out of the membership for good.
                outer.errback(
                    errors.PeerFailed(f"{self.address}: {method}: {failure.value}")
                )
            else:
                outer.errback(failure)
            return None

        d = self._connect()
        d.addCallback(send)
        d.addCallbacks(done, failed)
        return outer

    def _time_out(self, outer, answers_before, exc):
        """Time out after the answers that have already arrived have been read.

        In a process that was busy for longer than the timeout, timers run before
        connections are read. Such a process considered 70 ranks unresponsive
        although their answers had arrived, and called each of their engines instead.
        """
        self.reactor.callLater(0, self._fail_unanswered, outer, answers_before, exc)

    def _fail_unanswered(self, outer, answers_before, exc):
        if outer.called:
            return
        if self._answer_count == answers_before:
            # A connection can stop delivering data without being reset while a new
            # one to the same peer works: if it were kept, the peer would stay
            # unreachable until one of the processes restarts.
            self.close()
        if not outer.called:
            outer.errback(exc)

    def close(self):
        """Close the connection; later calls open a new one."""
        if self._protocol is not None and self._protocol.transport is not None:
            self._protocol.transport.abortConnection()
        self._protocol = None


class Links:
    """Links to any number of peers of one service, by their address."""

    def __init__(self, reactor, client_class, timeout_ms):
        self.reactor = reactor
        self.client_class = client_class
        self.timeout_ms = timeout_ms
        self.link_by_address = {}

    def to(self, host, port):
        """The link to ``host:port``, created if there is none."""
        link = self.link_by_address.get((host, port))
        if link is None:
            link = Link(self.reactor, host, port, self.client_class, self.timeout_ms)
            self.link_by_address[host, port] = link
        return link
