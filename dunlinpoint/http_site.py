"""HTTP server for callers that tracks its open connections."""

from twisted.internet import defer
from twisted.web import server

POLL_INTERVAL_MS = 20


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
