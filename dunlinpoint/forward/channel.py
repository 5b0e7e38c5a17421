"""Receives callers' requests within the document's limits and the entry's memory.

A request over a limit is refused while it is still being received: 431 for its
header's size, 413 for its body's size, 408 for the time that its header takes, and 503
for a body that the entry has no memory for. The entry ends the connection after such a
response but goes on reading for a while: a connection that is closed with unread bytes
is reset, and the caller would lose the response.

Without a document, the limits are not known and not enforced.
"""

from twisted.web import http, server

from dunlinpoint.config import document as config
from dunlinpoint.forward import responses
from dunlinpoint.routing import backpressure

# A header timeout is enforced this much later than it passes, after bytes that arrived
# while the process stood still have been read.
HEADER_GRACE_MS = 200
# How long the rest of a refused request is read and discarded.
LINGER_MS = 2000


class Refused(Exception):
    """A request is refused while it is being received: status and reason."""

    def __init__(self, status, reason, retry_after_ms=None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class CallerRequest(server.Request):
    """A caller's request, whose body counts as held bytes.

    - ``body_bytes``: the size of the body received so far.
    - ``is_end_unmarked``: whether its answer ends with its connection.
    """

    body_bytes = 0
    is_end_unmarked = False

    def __init__(self, *args, **kwargs):
        # Twisted would answer 400 to a malformed form itself.
        super().__init__(*args, parsePOSTFormSubmission=False, **kwargs)

    def handleContentChunk(self, data):
        """Add *data* to the body. Raises ``Refused``."""
        self.channel.body_received(self, len(data))
        super().handleContentChunk(data)

    def leave_end_unmarked(self):
        """Send the answer with neither a length nor chunks: its connection ends it."""
        self.is_end_unmarked = True
        self.channel.persistent = False
        self.setHeader(b"connection", b"close")


class CallerChannel(http.HTTPChannel):
    """One caller's connection, with the limits of the document in force."""

    def __init__(self, forwarder):
        super().__init__()
        self.forwarder = forwarder
        self.header_bytes = 0
        self.is_receiving_body = False
        self.timer = None
        self.is_refused = False

    @property
    def limits(self):
        """The limits of the document, or ``None`` as long as it is not known."""
        return self.forwarder.limits if self.forwarder.table.version else None

    @property
    def buffer(self):
        """The bytes held for this caller."""
        return self.transport.buffer

    def dataReceived(self, data):
        """Receive bytes of requests; refuse a request that is over a limit."""
        if self.is_refused:
            return
        if self.line_mode and not self.header_bytes:
            size = (self.limits or config.Limits()).header_bytes
            self.MAX_LENGTH = self.totalHeadersSize = self.maxHeaders = size
        if self.line_mode and self.timer is None and data.strip(b"\r\n"):
            self._start_header_timer()
        try:
            super().dataReceived(data)
        except Refused as refused:
            self.refuse(refused)
        if self.is_receiving_body and self.timer is None:
            self._start_body_timer()

    def lineReceived(self, line):
        """Receive one line of a header. Raises ``Refused``."""
        self.header_bytes += len(line)
        if self.header_bytes > self.totalHeadersSize:
            self.lineLengthExceeded(line)
        super().lineReceived(line)

    def lineLengthExceeded(self, line):
        """Refuse a line that is longer than a whole header may be."""
        raise Refused(431, "header_too_large")

    def allHeadersReceived(self):
        """Check the length of the body that is announced. Raises ``Refused``."""
        self._cancel_timer()
        self.header_bytes = 0
        self._check_body(self.length or 0)
        self.is_receiving_body = True
        super().allHeadersReceived()

    def allContentReceived(self):
        """Pass on a request that is received whole."""
        self._cancel_timer()
        self.is_receiving_body = False
        super().allContentReceived()

    def body_received(self, request, count):
        """Count *count* more bytes of a body. Raises ``Refused``."""
        self._check_body(request.body_bytes + count)
        request.body_bytes += count
        self.buffer.hold(count, self.forwarder.clock.now())

    def writeHeaders(self, version, code, reason, headers):  # noqa: N802
        """Write the head of an answer, without chunks if its end stays unmarked."""
        request = self.requests[0]
        if request.is_end_unmarked:
            headers.removeHeader(b"transfer-encoding")
            request.chunked = 0
        if not request.chunked and not headers.hasHeader(b"content-length"):
            self.transport.reset_unless_closed()
        super().writeHeaders(version, code, reason, headers)

    def loseConnection(self):
        """Close the connection, so that a caller sees whether its answer is incomplete.

        With chunks, the last one is missing. Without a length or chunks, as for callers
        of HTTP/1.0, only a reset differs from the end of a whole answer.
        """
        is_answering = bool(self.requests) and self.requests[0].startedWriting
        if is_answering and self.transport.ends_by_reset:
            self.transport.abortConnection()
        else:
            super().loseConnection()

    def _check_body(self, size):
        if self.limits is not None and size > self.limits.body_bytes:
            raise Refused(413, "body_too_large")
        if self.forwarder.buffers.refuses_body(size):
            raise self._shed()

    def _shed(self):
        retry_after_ms = responses.shed_retry_after_ms(self.forwarder)
        return Refused(503, responses.SHED_REASON, retry_after_ms)

    def _start_body_timer(self):
        self.timer = self.forwarder.clock.call_later(
            backpressure.MAX_SHED_BODY_MS, self._body_late
        )

    def _body_late(self):
        if self.forwarder.buffers.is_shedding:
            self.refuse(self._shed())
        else:
            self._start_body_timer()

    def requestDone(self, request):
        """Release the body of a request that was answered."""
        self.buffer.hold(-request.body_bytes, self.forwarder.clock.now())
        super().requestDone(request)

    def _start_header_timer(self):
        if self.limits is not None:
            self.timer = self.forwarder.clock.call_later(
                self.limits.header_ms, self._header_late
            )

    def _header_late(self):
        if self.buffer.unread:
            # This entry itself does not read from a caller that reads nothing.
            self._start_header_timer()
            return
        self.timer = self.forwarder.clock.call_later(
            HEADER_GRACE_MS, self.refuse, Refused(408, "header_timeout")
        )

    def _cancel_timer(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def refuse(self, refused):
        """Send the response of *refused* and end the connection."""
        self._cancel_timer()
        if self.transport.disconnecting:
            return
        self.is_refused, self.is_receiving_body = True, False
        self.setTimeout(None)
        request_id = None
        if self.requests:
            names = self.forwarder.names
            request_id = responses.header(self.requests[-1], names.request_id)
        head, body = responses.early_response(
            self.forwarder,
            request_id,
            refused.status,
            refused.reason,
            refused.retry_after_ms,
        )
        self.transport.write(head + body)
        self.transport.loseWriteConnection()
        self._linger()

    def _linger(self):
        self.timer = self.forwarder.clock.call_later(LINGER_MS, self._end_linger)

    def _end_linger(self):
        if self.buffer.unread:
            # An earlier answer on this connection is still being read.
            self._linger()
        else:
            self.transport.abortConnection()

    def timeoutConnection(self):
        """Close an idle connection, but not one with bytes that are being read."""
        if self.buffer.unread:
            self.setTimeout(self.timeOut)
        else:
            super().timeoutConnection()

    def connectionLost(self, reason):
        """Stop the timers of a connection that is closed."""
        self._cancel_timer()
        super().connectionLost(reason)
