"""The platform's readiness check of an entry."""

from klein import Klein

from dunlinpoint.platform import protocol


def make_app(is_ready):
    """A Klein app that answers 200 while ``is_ready()`` is true, else 503."""
    web = Klein()

    @web.route(protocol.READY_PATH, methods=["GET"])
    def ready(request):
        request.setResponseCode(200 if is_ready() else 503)
        return b""

    return web
