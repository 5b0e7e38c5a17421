"""HTTP API of a control instance for the platform's servers and operators."""

import json

from klein import Klein
from twisted.internet import defer

from dunlinpoint import http_site, logs
from dunlinpoint.config import document as config
from dunlinpoint.control import agreement, evacuation_orders, operators
from dunlinpoint.platform import documents, fields, protocol

log = logs.logger("control")

JSON = b"application/json"


class Channel(http_site.BoundedChannel):
    """A connection to the admin API; ``accepted_ms`` is when it was accepted."""

    accepted_ms = None

    def connectionMade(self):
        self.accepted_ms = self.factory.clock.now()
        super().connectionMade()


class Site(http_site.BoundedSite):
    """The site of the admin API, which knows when each connection was accepted."""

    protocol = Channel

    def __init__(self, resource, ms_clock):
        super().__init__(resource)
        self.clock = ms_clock


def reply(request, status, body):
    """A JSON response with *status*; returns its body (``bytes``)."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON)
    return json.dumps(body).encode()


def make_app(reactor, state):
    """The Klein app over a control instance's *state*."""
    web = Klein()
    number_cache = operators.NumberCache()

    def refuse(request, endpoint_id, error):
        """Answer 400 to a malformed call of an endpoint; count and log it."""
        state.counters.refused("foreign_heartbeat")
        log.warning(
            "foreign_heartbeat",
            endpoint_id=endpoint_id[: fields.MAX_NAME_LENGTH],
            reason=str(error),
        )
        return reply(request, 400, {"error": str(error)})

    @web.route(protocol.HEARTBEAT_PATH, methods=["POST"])
    def heartbeat(request, endpoint_id):
        try:
            message = documents.to_heartbeat(endpoint_id, request.content.read())
        except fields.FieldError as exc:
            return refuse(request, endpoint_id, exc)
        state.renew(message)
        return reply(request, 200, {})

    @web.route(protocol.DEREGISTER_PATH, methods=["POST"])
    def deregister(request, endpoint_id):
        try:
            incarnation = documents.to_incarnation(request.content.read())
            state.leave(fields.name(endpoint_id, "endpoint_id"), incarnation)
        except fields.FieldError as exc:
            return refuse(request, endpoint_id, exc)
        return reply(request, 200, {})

    @web.route(protocol.REPLACE_PATH, methods=["POST"])
    @defer.inlineCallbacks
    def replace(request):
        try:
            doc = documents.to_document(request.content.read())
        except config.DocumentError as exc:
            state.counters.refused("invalid_document")
            return reply(request, 400, {"error": str(exc)})
        arrived_ms = state.clock.now()
        outcome = yield operators.replace(reactor, state.peers, number_cache, doc)
        took_ms = state.clock.now() - arrived_ms
        state.counters.observe_ms("agreement", took_ms)
        log.info(
            "document_proposed",
            version=outcome.version,
            outcome="accepted" if outcome.accepted else "refused",
            reason=outcome.reason,
            took_ms=took_ms,
        )
        if outcome.accepted:
            state.counters.incr("applied")
            return reply(request, 200, {})
        state.counters.refused(outcome.reason)
        return reply(request, 503, {"error": outcome.reason})

    @web.route(protocol.READ_PATH, methods=["GET"])
    @defer.inlineCallbacks
    def read(request):
        decision = yield agreement.read(state.peers)
        if decision is None or not decision.version:
            state.counters.refused("read_unsure")
            return reply(request, 503, {"error": "not sure which is newest"})
        request.setHeader(b"content-type", JSON)
        return documents.origin(decision).encode()

    @defer.inlineCallbacks
    def evacuate(request, zone, active):
        accepted_ms = getattr(request.channel, "accepted_ms", None)
        outcome = yield state.orders.carry_out(zone, active, accepted_ms)
        if outcome.accepted:
            return reply(request, 200, {})
        if outcome.reason == evacuation_orders.WAITED:
            # All further orders on this connection would be refused as well.
            request.setHeader(b"connection", b"close")
            request.channel.persistent = False
        unknown = outcome.reason == evacuation_orders.UNKNOWN_ZONE
        return reply(request, 404 if unknown else 503, {"error": outcome.reason})

    @web.route(protocol.EVACUATION_BEGIN_PATH, methods=["POST"])
    def begin_evacuation(request, zone):
        return evacuate(request, zone, True)

    @web.route(protocol.EVACUATION_FINISH_PATH, methods=["POST"])
    def finish_evacuation(request, zone):
        return evacuate(request, zone, False)

    return web
