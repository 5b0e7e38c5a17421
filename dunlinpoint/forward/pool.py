"""Connection pool for endpoints, with one exchange at a time per connection.

An idle connection is reused for the same endpoint until the endpoint's
``Keep-Alive`` timeout. Three failures are handled:

- Extra bytes after a response belong to no request. Read as the next response, they
  would reach another caller. A connection that received any is not reused, and the
  request id echoed in a response must match the one sent.
- An endpoint may close an idle connection just as a request is written; the request
  may or may not have run. A request that must not run twice therefore uses a
  connection that was in use a moment ago, or a new one.
- A response without a length ends when its connection is closed. If the connection
  was reset, or given up here, the response is incomplete, although the HTTP library
  reports the same for all.

Errors: :class:`NotSent` if no byte of the request was sent, :class:`Broken` if the
request may have run (:class:`InvalidHead` if its response has no valid head).
"""

import re
import select

import attrs
from twisted.internet import defer, endpoints, error, protocol
from twisted.web import _newclient, client, iweb
from zope.interface import implementer

from dunlinpoint import clock, http_client, probe
from dunlinpoint.routing import pick

CONNECT_TIMEOUT_MS = 400
MAX_IDLE_MS = 2000
# Subtracted from an endpoint's Keep-Alive timeout to allow for the network latency.
KEEP_ALIVE_MARGIN_MS = 700
# Maximum idle time of a connection for a request that must not run twice.
UNREPEATABLE_MAX_IDLE_MS = 500
MAX_IDLE_CONNECTIONS = 8
# Most bytes read from an endpoint at once, by which a paused answer exceeds its bound.
READ_BYTES = 16 * 1024
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class ForwardError(Exception):
    """A request received no usable response from an endpoint."""


class NotSent(ForwardError):
    """No byte of the request was sent: the endpoint did not run it."""


class Broken(ForwardError):
    """No complete, valid response to a sent request: it may have run."""


class InvalidHead(Broken):
    """The head of the response is not one of the protocol."""


@implementer(iweb.IBodyProducer)
@attrs.define
class Body:
    """A request body held in memory."""

    data: bytes

    @property
    def length(self):
        return len(self.data)

    def startProducing(self, consumer):
        consumer.write(self.data)
        return defer.succeed(None)

    def stopProducing(self):
        pass

    def pauseProducing(self):
        pass

    def resumeProducing(self):
        pass


@attrs.define
class Message:
    """One request as it is sent to an endpoint; *headers* include Host."""

    method: bytes
    uri: bytes
    headers: object
    body: bytes


class Connection(http_client.BoundedProtocol):
    """One connection to an endpoint.

    It detects extra bytes and how it ended, which the library's protocol does not
    report.
    """

    def __init__(self, quiescent):
        super().__init__(quiescent)
        self.idle_since_ms = 0
        self.idle_limit_ms = MAX_IDLE_MS
        self.has_extra_bytes = False
        self.was_closed_in_order = False
        self.used_before = False

    def _finishResponse(self, rest):
        if rest:
            self.has_extra_bytes = True
        return super()._finishResponse(rest)

    def connectionLost(self, reason=protocol.connectionDone):
        self.was_closed_in_order = bool(reason.check(error.ConnectionDone))
        super().connectionLost(reason)

    def is_usable(self, now, limit_ms):
        """Whether the connection can be reused, having been idle up to *limit_ms*."""
        limit_ms = min(limit_ms, self.idle_limit_ms)
        return (
            self.state == "QUIESCENT"
            and not self.has_extra_bytes
            and now - self.idle_since_ms <= limit_ms
        )

    def pause(self):
        """Read nothing more for now."""
        if self.transport is not None:
            self.transport.pauseProducing()

    def resume(self):
        """Go on reading."""
        if self.transport is not None:
            self.transport.resumeProducing()

    def has_sent_all(self):
        """Whether the end of the connection, in order, has come, read or not.

        It comes behind all bytes, so the endpoint did not have to wait for room.
        """
        if self.transport is None:
            return False
        poll = select.poll()
        poll.register(self.transport.getHandle(), select.POLLRDHUP)
        # A reset comes with further events.
        return [found for _, found in poll.poll(0)] == [select.POLLRDHUP]

    def close(self):
        """Abort the connection and any exchange in progress."""
        if self.transport is not None:
            self.transport.abortConnection()


class Reader(protocol.Protocol):
    """Passes the body of a response to *on_data*.

    ``done`` fires at the end with whether the end was marked, by a length or a last
    chunk, or with ``Broken`` if the body is incomplete.
    """

    def __init__(self, connection, on_data):
        self.connection = connection
        self.on_data = on_data
        self.done = defer.Deferred()

    def dataReceived(self, data):
        self.on_data(data)

    def connectionLost(self, reason=protocol.connectionDone):
        if reason.check(client.ResponseDone):
            self.done.callback(True)
        elif (
            reason.check(_newclient.PotentialDataLoss)
            and self.connection.was_closed_in_order
        ):
            self.done.callback(False)
        else:
            self.done.errback(Broken(f"response is incomplete: {reason.value!r}"))


@attrs.define
class Pool:
    """Idle connections by endpoint incarnation, and the number of connections opened.

    A connection to an earlier incarnation of an endpoint is dead, and it is unknown
    whether a request sent on it has run.
    """

    reactor: object
    clock: clock.Clock
    idle_by_incarnation: dict = attrs.field(factory=dict)
    opened: int = 0

    @classmethod
    def from_config(cls, reactor):
        """Return an empty pool on *reactor*."""
        return cls(reactor, clock.Clock(reactor))

    def _take_idle(self, incarnation, limit_ms):
        idle = self.idle_by_incarnation.get(incarnation, [])
        now = self.clock.now()
        while idle:
            connection = idle.pop()
            if connection.is_usable(now, limit_ms):
                return connection
            connection.close()
        return None

    @defer.inlineCallbacks
    def connect(self, member, repeatable):
        """Return a connection to *member*, idle or new; raises ``NotSent``.

        *repeatable* tells whether the request may run more than once, which permits
        a connection that has been idle for longer.
        """
        limit_ms = MAX_IDLE_MS * 4 if repeatable else UNREPEATABLE_MAX_IDLE_MS
        connection = self._take_idle(pick.incarnation_key(member), limit_ms)
        if connection is not None:
            connection.used_before = True
            return connection
        return (yield self._open(member))

    @defer.inlineCallbacks
    def can_connect(self, member):
        """Whether *member* accepts a new connection, which is put in the pool."""
        try:
            connection = yield self._open(member)
        except NotSent:
            return False
        self._put_idle(pick.incarnation_key(member), connection)
        return True

    def refuses_connections(self, member):
        """Whether the host of *member* refuses connections to the member's port."""
        self.opened += 1
        return probe.refuses_connections(self.reactor, member.host, member.port)

    def takes_connections(self, member):
        """Whether *member* takes connections; a Deferred, ``None`` if unknown."""
        self.opened += 1
        return probe.takes_connections(self.reactor, member.host, member.port)

    def read_health(self, member, path, fields):
        """The head of the answer of *member* to a health check; see ``probe``."""
        self.opened += 1
        return probe.read_head(self.reactor, member.host, member.port, path, fields)

    @defer.inlineCallbacks
    def _open(self, member):
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor,
            member.host,
            member.port,
            timeout=clock.seconds(CONNECT_TIMEOUT_MS),
        )
        self.opened += 1

        def quiescent(connection):
            self._put_idle(pick.incarnation_key(member), connection)

        try:
            connection = yield endpoints.connectProtocol(
                endpoint, Connection(quiescent)
            )
        except Exception as exc:
            raise NotSent(f"{member.host}:{member.port}: {exc}") from exc
        connection.transport.setTcpNoDelay(True)
        connection.transport.bufferSize = READ_BYTES
        return connection

    def _put_idle(self, incarnation, connection):
        connection.idle_since_ms = self.clock.now()
        idle = self.idle_by_incarnation.setdefault(incarnation, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.pop(0).close()

    def forget(self, live):
        """Close the idle connections of incarnations that are not in *live*."""
        for incarnation in [n for n in self.idle_by_incarnation if n not in live]:
            for connection in self.idle_by_incarnation.pop(incarnation):
                connection.close()


@defer.inlineCallbacks
def send(connection, message):
    """Send *message*; return the head of the response (``IResponse``).

    Raises ``Broken``; its subclass ``InvalidHead`` if the response has no valid head.
    """
    body = Body(message.body) if message.body or message.method == b"POST" else None
    request = _newclient.Request(
        message.method, message.uri, message.headers, body, persistent=True
    )
    try:
        head = yield connection.request(request)
    except Exception as exc:
        connection.close()
        head_error = http_client.head_error(exc)
        if head_error is not None:
            raise InvalidHead(str(head_error)) from exc
        raise Broken(repr(exc)) from exc
    for value in head.headers.getRawHeaders(b"keep-alive", ()):
        match = KEEP_ALIVE_TIMEOUT.search(value)
        if match:
            limit_ms = int(match[1]) * clock.MS_PER_SECOND - KEEP_ALIVE_MARGIN_MS
            connection.idle_limit_ms = max(0, limit_ms)
    return head


def read(connection, head, on_data):
    """Pass the body to *on_data*.

    Returns a Deferred that fires when the body is complete, with whether its end was
    marked (``False``: it ended with its connection), or fails with ``Broken``.
    """
    reader = Reader(connection, on_data)
    head.deliverBody(reader)
    return reader.done
