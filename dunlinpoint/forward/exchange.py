"""One attempt of a request: sends it to an endpoint and passes on the response.

Guarantees:

- Complete and authentic responses: a response is accepted only with the endpoint's
  signature and the echoed request id. Plain responses are passed on when complete,
  streams event by event; an interrupted stream is never terminated as if complete.
- Reliable 503: it is sent only if no attempt has run. After any attempt that may
  have run, the caller receives 502 or 504.
- At most once: a request that must not be repeated is sent to another endpoint only
  if the previous one certainly did not run it.
- Early failure: when no further attempt is possible, the final response is sent at
  once, with a ``Retry-After``; no request is held until the caller's deadline.
- Cancellation: when the caller disconnects, the connection to the endpoint is closed,
  so that the endpoint stops working on the request.
"""

from twisted.internet import defer
from twisted.web import http_headers

from dunlinpoint import logs
from dunlinpoint.forward import answers, capacity, pool, quarantine, routes
from dunlinpoint.forward import guard as guards
from dunlinpoint.routing import pick

log = logs.logger("entry")

OWN_HEADERS = {b"content-length", b"authorization", b"expect"}
LEAST_URGENT = 9
# Added to the priority value of a request past its latency target: a request that
# takes its slot instead can still meet the target.
LATE_PRIORITY = 5
# Outcomes of an attempt.
DONE, NOT_RUN, BROKEN, FAILED = "done", "not_run", "broken", "failed"


def text(value):
    """Return header bytes as ``str`` for a log line."""
    return value.decode("latin-1") if value is not None else None


def told(forward, call):
    """Return the log fields of *call* other than its id."""
    return {
        "route": call.route.name,
        "service": call.service,
        "tries": call.tries,
        "left_ms": call.deadline_ms - forward.clock.now(),
    }


@defer.inlineCallbacks
def one_try(forward, call, member):
    """Make one attempt at *member*, log it, and return its outcome."""
    began_ms = forward.clock.now()
    call.at_endpoint = forward.picker.record(pick.incarnation_key(member)).in_flight
    events_before = call.events.count
    state = yield send_to(forward, call, member)
    took_ms = forward.clock.now() - began_ms
    forward.counters.observe_ms("try", took_ms)
    if state == DONE:
        quarantine.served(forward, call)
    elif state == BROKEN and not call.over and call.events.count == events_before:
        quarantine.broke(forward, call, member)
    if state != DONE:
        log.warning(
            "try_ended",
            request=text(call.request_id),
            outcome=state,
            endpoint_id=member.endpoint_id,
            at_endpoint=call.at_endpoint,
            generation=forward.view.generation,
            took_ms=took_ms,
            events=call.events.count - events_before,
            **told(forward, call),
        )
    return state


@defer.inlineCallbacks
def send_to(forward, call, member):
    """Send the request to *member*; return the outcome of the attempt."""
    name = pick.incarnation_key(member)
    forward.picker.began(name)
    forward.picker.signals.sent(name, forward.clock.now())
    guard = None
    try:
        connection = yield forward.pool.connect(
            member, routes.repeatable(call.route) and not call.streaming
        )
        call.connection = connection
        if call.over:
            connection.close()
            return NOT_RUN
        call.tries += 1
        if call.tries == 1:
            forward.budget.earn(call.service)
        guard = guards.start(forward, call, member, connection)
        state = yield exchange(forward, call, member, connection)
    except pool.NotSent:
        forward.counters.retried("endpoint_unreachable")
        forward.picker.failed(name, forward.clock.now())
        return NOT_RUN
    except pool.Broken:
        call.may_have_run = True
        if not call.over:
            forward.picker.failed(name, forward.clock.now())
        return BROKEN
    finally:
        call.connection = None
        forward.picker.ended(name)
        if guard is not None:
            guard.stop()
    if state == DONE:
        forward.picker.succeeded(name)
        forward.outages.data_received(member)
        note_done(forward, call, member)
    elif state == FAILED:
        call.may_have_run = True
    return state


def note_done(forward, call, member):
    """Log and time a request that *member* has answered."""
    took_ms = forward.clock.now() - call.arrived_ms
    forward.counters.observe_ms("answer", took_ms)
    log.info(
        "answered",
        request=text(call.request_id),
        workspace=call.workspace.name if call.workspace else None,
        endpoint_id=member.endpoint_id,
        at_endpoint=call.at_endpoint,
        generation=forward.view.generation,
        version=forward.table.version,
        status=call.request.code,
        took_ms=took_ms,
        first_ms=call.first_ms,
        events=call.events.count,
        **told(forward, call),
    )


def priority_of(call, now):
    """Return the priority of *call* at *now*, 0 (most urgent) to 9."""
    priority = call.route.priority
    if call.workspace is not None and call.workspace.priority is not None:
        priority = call.workspace.priority
    if call.streaming and capacity.is_past_latency_target(call, now):
        priority += LATE_PRIORITY
    return min(max(priority, 0), LEAST_URGENT)


def outgoing(forward, call, member):
    """Return the request as it is sent to *member*."""
    named = answers.header(call.request, b"connection") or ""
    dropped = answers.HOP_BY_HOP | {
        n.strip().lower().encode() for n in named.split(",")
    }
    dropped |= OWN_HEADERS
    own = forward.names
    headers = http_headers.Headers()
    for name, values in call.request.requestHeaders.getAllRawHeaders():
        if name.lower() not in dropped:
            headers.setRawHeaders(name, values)
    now = forward.clock.now()
    left = call.deadline_ms - now
    headers.setRawHeaders(own.deadline_ms, [b"%d" % max(1, left)])
    headers.setRawHeaders(own.endpoint_id, [member.endpoint_id.encode()])
    headers.removeHeader(own.workspace)
    if call.workspace is not None:
        headers.setRawHeaders(own.workspace, [call.workspace.name.encode()])
    headers.setRawHeaders(own.priority, [b"%d" % priority_of(call, now)])
    if call.streaming and call.events.last_id is not None:
        headers.setRawHeaders(own.last_event_id, [b"%d" % call.events.last_id])
    request = call.request
    request.content.seek(0)
    return pool.Message(request.method, request.uri, headers, request.content.read())


@defer.inlineCallbacks
def exchange(forward, call, member, connection):
    """Exchange one request and response with *member*; return the outcome.

    Raises ``Broken``.
    """
    sent_ms = forward.clock.now()
    head = yield pool.send(connection, outgoing(forward, call, member))
    own = forward.names
    echoed = head.headers.getRawHeaders(own.request_id, [None])[-1]
    if call.request_id is not None and echoed != call.request_id:
        forward.counters.incr("dropped.foreign_answer")
        raise closing(connection, "request id in the response does not match")
    notice = forward.read_signal(head.code, head.headers)
    now = forward.clock.now()
    forward.picker.signals.apply(pick.incarnation_key(member), notice, sent_ms, now)
    if head.headers.hasHeader(own.not_run) or head.code == 421:
        yield drained(connection, head)
        not_run(forward, member, head)
        return NOT_RUN
    good = 200 <= head.code < 300
    if good and not head.headers.hasHeader(own.signature):
        raise closing(connection, "successful response without signature header")
    if head.headers.hasHeader(b"content-encoding"):
        raise closing(connection, "response body has a content encoding")
    if good and call.streaming:
        yield relay(forward, call, member, connection, head)
        forward.counters.incr("answered.stream")
        answers.finish(forward, call.request)
        return DONE
    body = bytearray()
    yield pool.read(connection, head, body.extend)
    if head.code >= 500:
        call.last_failure = head, bytes(body)
        return FAILED
    if call.over:
        raise closing(connection, "caller disconnected")
    forward.counters.incr("answered.plain")
    answers.copy_head(call.request, head, len(body))
    answers.finish(forward, call.request, bytes(body))
    return DONE


def not_run(forward, member, head):
    """Record that *member* did not run a request, and which endpoint caused it."""
    forward.counters.incr("endpoint.not_run")
    now = forward.clock.now()
    at_fault = head.headers.getRawHeaders(forward.names.fault_at, [b""])[-1]
    elsewhere = at_fault and at_fault.decode("latin-1") != member.endpoint_id
    # 421 means that another endpoint has this address now: no group is stalled.
    if head.code == 503 and elsewhere and forward.outages.suspect(member, now):
        forward.counters.incr("endpoint.group_stands")
    else:
        forward.picker.failed(pick.incarnation_key(member), now)


def closing(connection, why):
    """Close *connection*; return the ``Broken`` to raise."""
    connection.close()
    return pool.Broken(why)


@defer.inlineCallbacks
def drained(connection, head):
    """Read the body of a refusal, so that its connection can be reused."""
    try:
        yield pool.read(connection, head, len)
    except pool.Broken:
        connection.close()


@defer.inlineCallbacks
def relay(forward, call, member, connection, head):
    """Pass on the complete events of a stream as they arrive."""
    request = call.request
    call.events.restart()
    groups = forward.groups(call)
    last_ms = None

    def on_data(data):
        nonlocal last_ms
        now = forward.clock.now()
        forward.picker.data_received(pick.incarnation_key(member), now)
        forward.outages.data_received(member)
        out = call.events.feed(data)
        if not out or call.over:
            return
        if last_ms is not None:
            forward.counters.observe_ms("pause", now - last_ms)
            if groups is not None:
                groups.record_gap(call.group, now - last_ms, now)
        if call.first_ms is None:
            call.first_ms = now - call.arrived_ms
            forward.counters.observe_ms("first_event", call.first_ms)
        last_ms = call.heard_ms = now
        if not call.started:
            call.started = True
            answers.copy_head(request, head, None)
        request.write(out)

    yield pool.read(connection, head, on_data)
    if call.over:
        raise closing(connection, "caller disconnected")
    if call.events.partial:
        raise closing(connection, "stream ended within an event")
    if not call.started:
        call.started = True
        answers.copy_head(request, head, None)
