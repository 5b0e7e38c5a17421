"""The HTTP server that callers connect to, which knows its open connections."""

from twisted.internet import defer
from twisted.web import server

STEP_MS = 20


class Site(server.Site):
    """A site that knows its open connections, and has no access log.

    An answer is given once it has left, not once it was handed to its
    connection: a caller that reads slowly leaves it in our buffers, and a
    process that exits then cuts it off.
    """

    noisy = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.channels = set()

    def log(self, request):
        """No line per request."""

    def getResourceFor(self, request):
        self._know(request.channel)
        return super().getResourceFor(request)

    def _know(self, channel):
        if channel in self.channels:
            return
        lost = channel.connectionLost

        def connection_lost(reason):
            self.channels.discard(channel)
            lost(reason)

        channel.connectionLost = connection_lost
        self.channels.add(channel)

    @defer.inlineCallbacks
    def close_all(self, ms_clock, ends_ms):
        """Close every connection once its answers have left, or at *ends_ms*."""
        for channel in list(self.channels):
            channel.loseConnection()
        while self.channels and ms_clock.now() < ends_ms:
            yield ms_clock.sleep(STEP_MS)
