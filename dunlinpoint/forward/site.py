"""The HTTP server that callers connect to.

A plain ``twisted.web`` leaf resource rather than a klein app: klein's router
normalises paths (it redirects doubled slashes) and a forwarded path must
reach the endpoint as the caller sent it.
"""

from twisted.web import resource, server

from dunlinpoint import clock, http_site, logs
from dunlinpoint.forward import admission

log = logs.logger("entry")

# Above the longest idle time a document promises callers, so that a request
# sent on an idle connection within it does not meet a closing one.
IDLE_MARGIN_MS = 5000


class Forwarded(resource.Resource):
    """Every path and method, handed to :func:`admission.serve`."""

    isLeaf = True

    def __init__(self, forward):
        super().__init__()
        self.forward = forward

    def render(self, request):
        def failed(failure):
            log.error("request_failed", error=failure.getTraceback())
            self.forward.counters.incr("request_failed")
            if not request._disconnected and not request.finished:
                request.channel.loseConnection()

        admission.serve(self.forward, request).addErrback(failed)
        return server.NOT_DONE_YET


def listen(reactor, forward, host, port):
    """Serve callers on *host*:*port*; the ``Site`` and its listening port."""
    idle_ms = forward.limits.idle_ms + IDLE_MARGIN_MS
    site = http_site.Site(Forwarded(forward), timeout=clock.seconds(idle_ms))
    return site, reactor.listenTCP(port, site, interface=host, backlog=512)
