"""Validation and admission of a request, from its arrival to its first attempt."""

from twisted.internet import defer

from dunlinpoint.config import document as config
from dunlinpoint.forward import answers, events, routes, state, tries
from dunlinpoint.routing import outage

DEFAULT_DEADLINE_MS = 60_000
# Maximum wait for a starting entry to learn its document and endpoints. Callers of
# streams disconnect after 2 s.
STARTING_WAIT_MS = 1500


def admit(forward, request, arrived_ms):
    """Return the ``Call`` of *request*, or ``None`` if a final response was sent."""
    table = forward.table
    if not table.version or forward.view.confirmed_ms is None:
        answers.not_run(forward, request, "no_document")
        return None
    path = request.path.decode("latin-1")
    route = table.match(answers.header(request, b"host") or "", path)
    if route is None:
        answers.deny(forward, request, 404, "no_route")
        return None
    workspace = None
    if table.keyed and not route.public:
        if forward.key_lease_ended():
            # The entry has lost contact with the controls, which lasts seconds.
            retry_ms = outage.max_retry_after_ms(deadline_of(forward, request))
            answers.answer(forward, request, 503, "document_not_vouched", retry_ms)
            return None
        workspace = table.workspace(answers.header(request, b"authorization"))
        if workspace is None:
            answers.deny(forward, request, 401, "unknown_key")
            return None
    wait_ms = deadline_of(forward, request)
    last_id = answers.header(request, forward.names.last_event_id) or ""
    request_id = answers.header(request, forward.names.request_id)
    return state.Call(
        request=request,
        route=route,
        service=routes.service_of(route, forward.rng),
        workspace=workspace,
        deadline_ms=arrived_ms + min(wait_ms, route.timeout_ms),
        request_id=request_id.encode("latin-1") if request_id else None,
        events=events.Events(int(last_id) if last_id.isdigit() else None),
        streaming=route.kind == config.STREAMING,
        arrived_ms=arrived_ms,
        heard_ms=arrived_ms,
    )


def deadline_of(forward, request):
    """Return how long the caller of *request* waits, in ms."""
    given = answers.header(request, forward.names.deadline_ms) or ""
    return int(given) if given.isdigit() else DEFAULT_DEADLINE_MS


@defer.inlineCallbacks
def start_up(forward, request, gone, service=None):
    """Wait until an entry that has just started knows the document and *service*.

    After all processes were killed, entries were back a second before the first
    control answered. They refused all callers, who retried at once, were refused
    again and had no attempt left, although the service recovered a second later.
    ``gone()`` returns whether the caller has disconnected.
    """
    if not forward.is_starting() or forward.knows(service):
        return
    limit_ms = min(STARTING_WAIT_MS, deadline_of(forward, request) // 2)
    yield forward.waiting.until(lambda: gone() or forward.knows(service), limit_ms)


@defer.inlineCallbacks
def serve(forward, request):
    """Forward one request; every code path sends exactly one final response."""
    if forward.lifecycle.is_stopping():
        # Accepted now on a keep-alive connection, the request could still be running
        # at the end of the grace period and be aborted.
        answers.not_run(forward, request, "stopping")
        return
    arrived_ms = forward.clock.now()
    left = []
    request.notifyFinish().addErrback(left.append)
    forward.in_flight += 1
    try:
        yield start_up(forward, request, lambda: bool(left))
        call = None if left else admit(forward, request, arrived_ms)
        if call is not None:
            yield carry_out(forward, call)
    finally:
        forward.in_flight -= 1


@defer.inlineCallbacks
def carry_out(forward, call):
    """Run an admitted request within its workspace's limit and its deadline."""
    request = call.request
    name = call.workspace.name if call.workspace is not None else ""
    if not forward.work.enter(name):
        answers.answer(forward, request, 429, "workspace_limit", answers.RETRY_AFTER_MS)
        return
    request.notifyFinish().addErrback(call.caller_left)
    timer = forward.clock.call_later(
        call.deadline_ms - forward.clock.now(), call.expire
    )
    try:
        yield start_up(forward, request, lambda: call.over, call.service)
        if not call.left:
            yield tries.run(forward, call)
    finally:
        forward.work.leave(name)
        if timer.active():
            timer.cancel()
