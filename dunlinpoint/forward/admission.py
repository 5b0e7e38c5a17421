"""Validation and admission of a request, from its arrival to its first attempt."""

from twisted.internet import defer

from dunlinpoint.config import document as config
from dunlinpoint.forward import attempts, events, responses, routes, state
from dunlinpoint.routing import outage

DEFAULT_DEADLINE_MS = 60_000
# Maximum wait for a starting entry to learn its document and endpoints. Callers of
# streams disconnect after 2 s.
MAX_STARTUP_WAIT_MS = 1500


def admit(forwarder, request, arrived_ms):
    """Return the ``Call`` of *request*, or ``None`` if a final response was sent."""
    table = forwarder.table
    if not table.version or forwarder.view.confirmed_ms is None:
        responses.not_run(forwarder, request, "no_document")
        return None
    path = request.path.decode("latin-1")
    route = table.match(responses.header(request, b"host") or "", path)
    if route is None:
        responses.deny(forwarder, request, 404, "no_route")
        return None
    workspace = None
    if table.requires_key and not route.public:
        if forwarder.key_lease_ended():
            # Contact with the controls is lost, usually for seconds, so the longest
            # Retry-After that the caller obeys is sent.
            retry_after_ms = outage.max_retry_after_ms(
                caller_timeout_ms(forwarder, request)
            )
            responses.respond(
                forwarder, request, 503, "document_not_vouched", retry_after_ms
            )
            return None
        workspace = table.workspace(responses.header(request, b"authorization"))
        if workspace is None:
            responses.deny(forwarder, request, 401, "unknown_key")
            return None
    wait_ms = caller_timeout_ms(forwarder, request)
    last_id = responses.header(request, forwarder.names.last_event_id) or ""
    request_id = responses.header(request, forwarder.names.request_id)
    return state.Call(
        request=request,
        route=route,
        service=routes.choose_service(route, forwarder.rng),
        workspace=workspace,
        deadline_ms=arrived_ms + min(wait_ms, route.timeout_ms),
        request_id=request_id.encode("latin-1") if request_id else None,
        events=events.EventStream(int(last_id) if last_id.isdigit() else None),
        streaming=route.kind == config.STREAMING,
        arrived_ms=arrived_ms,
        last_event_ms=arrived_ms,
        caller=request.channel.transport.buffer,
        prompt_parts=forwarder.read_prompt_parts(request.requestHeaders),
    )


def caller_timeout_ms(forwarder, request):
    """Return how long the caller of *request* waits, in ms."""
    given = responses.header(request, forwarder.names.deadline_ms) or ""
    return int(given) if given.isdigit() else DEFAULT_DEADLINE_MS


@defer.inlineCallbacks
def wait_for_startup(forwarder, request, is_disconnected, service=None):
    """Wait until an entry that has just started knows the document and *service*.

    After all processes were killed, entries were back a second before the first
    control answered. They refused all callers, who retried at once, were refused
    again and had no attempt left, although the service recovered a second later.
    ``is_disconnected()`` returns whether the caller has disconnected.
    """
    if not forwarder.is_starting() or forwarder.is_discovered(service):
        return
    limit_ms = min(MAX_STARTUP_WAIT_MS, caller_timeout_ms(forwarder, request) // 2)
    yield forwarder.changes.wait_for(
        lambda: is_disconnected() or forwarder.is_discovered(service), limit_ms
    )


def shed(forwarder, request):
    """Refuse a new request: this entry holds too many unread bytes."""
    responses.respond(
        forwarder,
        request,
        503,
        responses.SHED_REASON,
        responses.shed_retry_after_ms(forwarder),
        held_bytes=forwarder.buffers.total,
    )


@defer.inlineCallbacks
def serve(forwarder, request):
    """Forward one request; every code path sends exactly one final response."""
    if forwarder.lifecycle.is_stopping():
        # Accepted now on a keep-alive connection, the request could still be running
        # at the end of the grace period and be aborted.
        responses.not_run(forwarder, request, "stopping")
        return
    if forwarder.buffers.is_shedding:
        shed(forwarder, request)
        return
    arrived_ms = forwarder.clock.now()
    forwarder.demand.record(arrived_ms)
    disconnected = []
    request.notifyFinish().addErrback(disconnected.append)
    forwarder.in_flight += 1
    try:
        yield wait_for_startup(forwarder, request, lambda: bool(disconnected))
        call = None if disconnected else admit(forwarder, request, arrived_ms)
        if call is not None:
            yield run_call(forwarder, call)
    finally:
        forwarder.in_flight -= 1


@defer.inlineCallbacks
def run_call(forwarder, call):
    """Run an admitted request within its workspace's limit and its deadline."""
    request = call.request
    name = call.workspace.name if call.workspace is not None else ""
    if not forwarder.workspace_limiter.acquire(name):
        responses.respond(
            forwarder, request, 429, "workspace_limit", responses.RETRY_AFTER_MS
        )
        return
    request.notifyFinish().addErrback(call.on_disconnect)
    timer = forwarder.clock.call_later(
        call.deadline_ms - forwarder.clock.now(), call.expire
    )
    try:
        yield wait_for_startup(forwarder, request, lambda: call.is_over, call.service)
        if not call.disconnected:
            yield attempts.run(forwarder, call)
    finally:
        forwarder.workspace_limiter.release(name)
        if timer.active():
            timer.cancel()
