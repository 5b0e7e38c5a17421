"""The platform's readiness question at an entry."""

from klein import Klein

from dunlinpoint.platform import dialect


def make_app(is_ready):
    """A Klein app answering 200 while ``is_ready()`` holds, else 503."""
    web = Klein()

    @web.route(dialect.READY, methods=["GET"])
    def ready(request):
        request.setResponseCode(200 if is_ready() else 503)
        return b""

    return web
