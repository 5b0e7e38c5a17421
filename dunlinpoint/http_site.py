"""HTTP servers: one that tracks its open connections, one that bounds bodies."""

from twisted.internet import defer
from twisted.web import http, server

POLL_INTERVAL_MS = 20
# Most bytes of a request's body, far above an operator's document.
MAX_BODY_BYTES = 16 * 1024 * 1024
TOO_LARGE = (
    b"HTTP/1.1 413 Request Entity Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class BoundedChannel(http.HTTPChannel):
    """A connection that is closed when the body of a request is too long.

    The HTTP library reads a body whole, into a file and for as long as it comes, before
    anything decides on the request.
    """

    max_body_bytes = MAX_BODY_BYTES
    body_bytes = 0
    is_refused = False

    def dataReceived(self, data):
        if not self.is_refused:
            super().dataReceived(data)

    def allHeadersReceived(self):
        self.body_bytes = 0
        if (self.length or 0) > self.max_body_bytes:
            self._refuse()
        else:
            super().allHeadersReceived()

    def rawDataReceived(self, data):
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            self._refuse()
        elif not self.is_refused:
            super().rawDataReceived(data)

    def _refuse(self):
        if not self.is_refused:
            self.is_refused = True
            self.transport.write(TOO_LARGE)
            self.loseConnection()


class BoundedSite(server.Site):
    """A Twisted site whose requests have bounded bodies, without an access log."""

    protocol = BoundedChannel
    noisy = False

    def log(self, request):
        """Write no access log line."""


class Site(server.Site):
    """A Twisted site that tracks its open connections and has no access log.

    A response counts as sent only when its last byte has been written to the
    socket, not when it was handed to the transport. Responses to slow readers
    stay in the transport's buffer, and a process that exits before the buffer
    is empty truncates them.
    """

    noisy = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.channels = set()

    def log(self, request):
        """Write no access log line."""

    def getResourceFor(self, request):
        self._track(request.channel)
        return super().getResourceFor(request)

    def _track(self, channel):
        if channel in self.channels:
            return
        original_connection_lost = channel.connectionLost

        def connection_lost(reason):
            self.channels.discard(channel)
            original_connection_lost(reason)

        channel.connectionLost = connection_lost
        self.channels.add(channel)

    @defer.inlineCallbacks
    def close_all(self, ms_clock, deadline_ms):
        """Close each connection when its buffered responses have been sent.

        The Deferred fires when all connections are closed, or at *deadline_ms* (clock
        milliseconds) if some are still open then.
        """
        for channel in list(self.channels):
            channel.loseConnection()
        while self.channels and ms_clock.now() < deadline_ms:
            yield ms_clock.sleep(POLL_INTERVAL_MS)
