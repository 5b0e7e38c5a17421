"""HTTP client calls whose answers are bounded in bytes and time, with strict heads.

A peer in trouble may send bytes without end, in a head or a body. The HTTP library
bounds one line of a head, but neither the lines, the interim responses nor the body,
and its timeout ends with the head. It also reads heads that are none of the protocol.
"""

import json

from twisted.internet import defer, error, protocol
from twisted.python import failure
from twisted.web import _newclient, client, http

from dunlinpoint import clock, http_heads

# Most bytes of a response's head, interim responses included.
MAX_HEAD_BYTES = 64 * 1024
# Most bytes of a body that is read whole: reports, weights, answers of calls.
MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_TIMEOUT_MS = 5000


class AnswerError(Exception):
    """The body of an answer is too long, takes too long or is not complete."""


class UnmarkedEnd(AnswerError):
    """Neither a length nor a last chunk marked the end of a body.

    It ended with its connection, which also ends when the peer crashes.
    """


class OrderlyEnd(UnmarkedEnd):
    """The connection was closed in order, not reset.

    The body is whole, unless the peer has crashed (RFC 9112, 8).
    """


class _ClosedInOrder(client.PotentialDataLoss):
    """The connection of a body whose end is not marked was closed in order."""


class StrictChunkDecoder(http._ChunkedTransferDecoder):
    """Decodes a body in chunks, whose trailer must consist of field lines.

    Behind a chunk whose size came as 0 by mistake, the library takes all that follows
    for a trailer, up to the real last chunk, and the body for complete.
    """

    def _dataReceived_TRAILER(self):  # noqa: N802, Twisted's name
        is_line = super()._dataReceived_TRAILER()
        if is_line:
            http_heads.check_field_line(bytes(self._trailerHeaders[-1]))
        return is_line


class StrictParser(_newclient.HTTPClientParser):
    """Parses one response, whose head must be one of the protocol.

    A ``HeadError`` that it raises ends the connection and fails the request. The
    response gets the attribute ``framing``, a ``http_heads.Framing``.
    """

    _transferDecoders = {b"chunked": StrictChunkDecoder}

    def lineReceived(self, line):
        content = line.removesuffix(b"\r")
        if self.state == _newclient.STATUS:
            http_heads.check_status_line(content)
        elif content:
            http_heads.check_field_line(content)
        super().lineReceived(line)

    def connectionLost(self, reason):
        is_unmarked = self.bodyDecoder is not None and (
            self.response.framing in http_heads.UNMARKED
        )
        if is_unmarked and reason.check(error.ConnectionDone):
            # The library reports a reset the same way.
            self.response._bodyDataFinished(failure.Failure(_ClosedInOrder()))
        else:
            super().connectionLost(reason)

    def allHeadersReceived(self):
        codings = self.connHeaders.getRawHeaders(b"transfer-encoding", [])
        lengths = self.connHeaders.getRawHeaders(b"content-length", [])
        http_heads.check_framing(codings, lengths)
        self.response.framing = self._framing(codings, lengths)
        super().allHeadersReceived()

    def _framing(self, codings, lengths):
        is_empty = self.response.code in self.NO_BODY_CODES
        if is_empty or self.request.method == b"HEAD":
            return http_heads.Framing.EMPTY
        options = self.connHeaders.getRawHeaders(b"connection", [])
        _, *version = self.response.version
        return http_heads.framing(tuple(version), codings, lengths, options)


class BoundedProtocol(client.HTTP11ClientProtocol):
    """A client connection that is closed when a response's head is too long or invalid.

    ``head_bytes`` counts the bytes of the head that is awaited, ``None`` if none is.
    """

    head_bytes = None

    def request(self, request):
        """Send *request*; a Deferred of the response, once its head is read."""
        self.head_bytes = 0
        responding = super().request(request)
        if self._parser is not None:
            # The library makes the parser itself and has no setting for its class.
            self._parser.__class__ = StrictParser
        return responding.addBoth(self._head_ended)

    def _head_ended(self, result):
        self.head_bytes = None
        return result

    def dataReceived(self, data):
        super().dataReceived(data)
        if self.head_bytes is not None:
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES and self.transport is not None:
                self.transport.abortConnection()


def head_error(exc):
    """The ``HeadError`` for which a request failed with *exc*, or ``None``."""
    reasons = exc.reasons if isinstance(exc, _newclient.ResponseFailed) else []
    causes = [reason.value for reason in reasons]
    return next((c for c in causes if isinstance(c, http_heads.HeadError)), None)


class _Factory(client._HTTP11ClientFactory):
    """Makes bounded connections for a pool."""

    def buildProtocol(self, addr):  # noqa: N802, Twisted's name
        return BoundedProtocol(self._quiescentCallback)


class Pool(client.HTTPConnectionPool):
    """Persistent connections whose heads are bounded, without automatic retries."""

    _factory = _Factory
    retryAutomatically = False


class _Collector(protocol.Protocol):
    """Passes a body to *on_data*, and closes the connection when that fails."""

    def __init__(self, on_data):
        self.on_data = on_data
        self.done = defer.Deferred()

    def dataReceived(self, data):
        if self.done.called:
            return
        try:
            self.on_data(data)
        except Exception as exc:
            self.fail(exc)

    def fail(self, exc):
        if not self.done.called:
            self.done.errback(exc)
            self.transport.loseConnection()

    def connectionLost(self, reason=protocol.connectionDone):
        if self.done.called:
            return
        if reason.check(client.ResponseDone):
            self.done.callback(None)
        elif reason.check(_ClosedInOrder):
            self.done.errback(OrderlyEnd(f"incomplete: {reason.value!r}"))
        elif reason.check(client.PotentialDataLoss):
            self.done.errback(UnmarkedEnd(f"incomplete: {reason.value!r}"))
        else:
            self.done.errback(AnswerError(f"incomplete: {reason.value!r}"))


class _Discarder(protocol.Protocol):
    """Closes the connection of a body that nobody reads."""

    def connectionMade(self):
        self.transport.loseConnection()


def refuse_encoded(response):
    """Return *response*, or raise ``AnswerError`` if its body is encoded."""
    for coding in response.headers.getRawHeaders(b"content-encoding", []):
        if coding.strip().lower() not in (b"", b"identity"):
            response.deliverBody(_Discarder())
            raise AnswerError(f"content coding {coding!r}")
    return response


def collect(response, on_data):
    """Pass the body of *response* to *on_data*; a Deferred that fires at its end.

    It fails with ``AnswerError`` if the body is incomplete, ``UnmarkedEnd`` if that is
    not known, and with what *on_data* raises; the connection is closed then.
    """
    collector = _Collector(on_data)
    response.deliverBody(collector)
    return collector.done


@defer.inlineCallbacks
def read(
    reactor,
    response,
    max_bytes=MAX_BODY_BYTES,
    timeout_ms=BODY_TIMEOUT_MS,
    is_whole=None,
):
    """A Deferred of the body of *response* (``bytes``); fails with ``AnswerError``.

    A body whose connection was closed in order without a mark is read if
    ``is_whole(body)``, which may return a Deferred, tells that it is whole.
    """
    body = bytearray()

    def on_data(data):
        body.extend(data)
        if len(body) > max_bytes:
            raise AnswerError(f"longer than {max_bytes} bytes")

    collector = _Collector(on_data)
    late = AnswerError(f"not complete after {timeout_ms} ms")
    timer = reactor.callLater(clock.seconds(timeout_ms), collector.fail, late)
    response.deliverBody(collector)
    try:
        yield collector.done
    except OrderlyEnd:
        if is_whole is None or not (yield is_whole(bytes(body))):
            raise
    finally:
        if timer.active():
            timer.cancel()
    return bytes(body)


def _parse_object(body):
    """The JSON object in *body*, or ``None``."""
    try:
        found = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return found if isinstance(found, dict) else None


@defer.inlineCallbacks
def read_object(reactor, response, timeout_ms=BODY_TIMEOUT_MS):
    """A Deferred of the JSON object (``dict``) that is the body of *response*.

    No part of an object is one, so that the end of the body need not be marked. Fails
    with ``AnswerError``, like :func:`read`, also if the body is no JSON object.
    """
    body = yield read(
        reactor,
        response,
        timeout_ms=timeout_ms,
        is_whole=lambda body: _parse_object(body) is not None,
    )
    found = _parse_object(body)
    if found is None:
        raise AnswerError("no JSON object")
    return found


def discard(reactor, response, timeout_ms=BODY_TIMEOUT_MS):
    """Read the body of *response*, of which only the status counts; a Deferred.

    The status is complete before the body begins, so that the end of the body need not
    be marked. Fails with ``AnswerError`` otherwise, like :func:`read`.
    """
    reading = read(reactor, response, timeout_ms=timeout_ms)
    reading.addErrback(lambda found: found.trap(UnmarkedEnd))
    return reading.addCallback(lambda _: None)
