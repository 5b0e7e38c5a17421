"""The HTTP server that callers connect to.

It uses a plain ``twisted.web`` leaf resource instead of a klein app, because
klein's router normalises paths (it redirects doubled slashes), and a forwarded
path must reach the endpoint as the caller sent it.
"""

from twisted.web import resource, server

from dunlinpoint import clock, http_site, logs
from dunlinpoint.forward import admission, callers, channel

log = logs.logger("entry")

# Added to the idle time that the document promises to callers, so that a request
# sent within that time does not arrive on a connection that is being closed.
IDLE_MARGIN_MS = 5000


class ForwardResource(resource.Resource):
    """Passes requests of any path and method to :func:`admission.serve`."""

    isLeaf = True

    def __init__(self, forwarder):
        super().__init__()
        self.forwarder = forwarder

    def render(self, request):
        def failed(failure):
            log.error("request_failed", error=failure.getTraceback())
            self.forwarder.counters.incr("request_failed")
            if not request._disconnected and not request.finished:
                request.channel.loseConnection()

        admission.serve(self.forwarder, request).addErrback(failed)
        return server.NOT_DONE_YET


def listen(reactor, forwarder, host, port):
    """Serve callers on *host*:*port*.

    Returns the ``Site`` and its listening port.
    """
    idle_ms = forwarder.limits.idle_ms + IDLE_MARGIN_MS
    site = http_site.Site(ForwardResource(forwarder), timeout=clock.seconds(idle_ms))
    site.protocol = lambda: channel.CallerChannel(forwarder)
    site.requestFactory = channel.CallerRequest
    return site, callers.listen(reactor, forwarder, site, host, port)
