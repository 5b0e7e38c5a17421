"""One attempt of a request: sends it to an endpoint and passes on the response.

Guarantees:

- Complete and authentic responses: a response is accepted only with the endpoint's
  signature and the echoed request id. Plain responses are passed on when complete,
  streams event by event. The end of a response is marked for the caller only where the
  endpoint marked it.
- Reliable 503: it is sent only if certainly no attempt has run. After any attempt that
  may have run, the caller receives 502 or 504.
- At most once: a request that must not be repeated is sent to another endpoint only
  if the previous one certainly did not run it.
- Early failure: when no further attempt is possible, the final response is sent at
  once, with a ``Retry-After``; no request is held until the caller's deadline.
- Cancellation: when the caller disconnects, the connection to the endpoint is closed,
  so that the endpoint stops working on the request.
"""

import collections

import attrs
from twisted.internet import defer
from twisted.web import http_headers, iweb

from dunlinpoint import logs
from dunlinpoint.admission import decision, urgency
from dunlinpoint.answers import completeness, continuation
from dunlinpoint.forward import pool, quarantine, responses, routes
from dunlinpoint.forward import watchdog as watchdogs
from dunlinpoint.routing import backpressure, pick

log = logs.logger("entry")

NOT_FORWARDED_HEADERS = {b"content-length", b"authorization", b"expect"}
LOWEST_PRIORITY = 9
# Added to the priority value (9 is the least urgent) of a request past its latency
# target: a request that gets a slot instead of it can still meet its own target.
PAST_TARGET_PRIORITY_PENALTY = 5
# Outcomes of an attempt.
DONE, NOT_RUN, BROKEN, FAILED = "done", "not_run", "broken", "failed"
# A plain answer came whose end was not marked.
UNCONFIRMED = "unconfirmed"
# How much of the body of a refusal is read, and for how long, to reuse its connection.
MAX_DRAINED_BYTES = 64 * 1024
DRAIN_TIMEOUT_MS = 1000
# The endpoint closed the connection because this entry did not read it.
UNREAD = "unread"


def log_fields(forwarder, call):
    """Return the log fields of *call* other than its id."""
    return {
        "route": call.route.name,
        "service": call.service,
        "tries": call.attempts,
        "left_ms": call.deadline_ms - forwarder.clock.now(),
    }


@defer.inlineCallbacks
def make_attempt(forwarder, call, member):
    """Make one attempt at *member*, log it, and return its outcome."""
    began_ms = forwarder.clock.now()
    call.in_flight_at_endpoint = forwarder.picker.record(
        pick.incarnation_key(member)
    ).in_flight
    events_before = call.events.count
    outcome = yield send_to(forwarder, call, member)
    took_ms = forwarder.clock.now() - began_ms
    forwarder.counters.observe_ms("try", took_ms)
    may_have_crashed = (
        outcome == BROKEN and not call.is_over and call.events.count == events_before
    )
    if outcome == DONE and call.has_marked_end:
        quarantine.request_served(forwarder, call)
    elif may_have_crashed:
        quarantine.connection_ended(forwarder, call, member)
    if outcome != DONE:
        log.warning(
            "try_ended",
            request=responses.header_text(call.request_id),
            outcome=outcome,
            endpoint_id=member.endpoint_id,
            at_endpoint=call.in_flight_at_endpoint,
            generation=forwarder.view.generation,
            took_ms=took_ms,
            events=call.events.count - events_before,
            checked=may_have_crashed,
            error=call.error,
            **end_fields(call),
            **log_fields(forwarder, call),
        )
    return outcome


@defer.inlineCallbacks
def send_to(forwarder, call, member):
    """Send the request to *member*; return the outcome of the attempt."""
    incarnation = pick.incarnation_key(member)
    forwarder.picker.began(incarnation)
    forwarder.picker.signals.sent(incarnation, forwarder.clock.now())
    if forwarder.picker.cold.sent(member, call, forwarder.clock.now()):
        forwarder.counters.incr("endpoint.sent_cold")
    watchdog = None
    call.framing, call.has_marked_end, call.error = None, False, None
    call.source.reset()
    try:
        connection = yield forwarder.pool.connect(
            member, routes.is_repeatable(call.route) and not call.streaming
        )
        call.connection = connection
        if call.is_over:
            connection.close()
            return NOT_RUN
        call.attempts += 1
        if call.attempts == 1:
            forwarder.budget.first_attempt(call.service, forwarder.clock.now())
            forwarder.counters.incr(f"sent.first.{call.service}")
        else:
            forwarder.counters.incr(f"sent.repeat.{call.service}")
        watchdog = watchdogs.start(forwarder, call, member, connection)
        outcome = yield exchange(forwarder, call, member, connection)
    except pool.NotSent:
        forwarder.counters.retried("endpoint_unreachable")
        forwarder.picker.failed(incarnation, forwarder.clock.now())
        return NOT_RUN
    except pool.Broken as exc:
        call.may_have_run = True
        call.error = str(exc)
        now = forwarder.clock.now()
        if not call.is_over and call.source.explains_cut(now):
            forwarder.counters.incr("slow_reader.cut")
            return UNREAD
        if not call.is_over:
            forwarder.picker.failed(incarnation, now)
        return BROKEN
    finally:
        call.connection = None
        forwarder.picker.ended(incarnation)
        forwarder.picker.cold.answered(member, call, forwarder.clock.now())
        if watchdog is not None:
            watchdog.stop()
    if outcome == DONE:
        forwarder.picker.succeeded(incarnation)
        forwarder.outages.data_received(member)
        record_done(forwarder, call, member)
    elif outcome in (FAILED, UNCONFIRMED):
        call.may_have_run = True
    return outcome


def end_reading(forwarder, call):
    """End the reading of an answer and count it if it was paused."""
    if call.source.was_paused:
        forwarder.counters.incr("slow_reader.paused")
    call.source.end()
    call.caller.source = None


def record_done(forwarder, call, member):
    """Log and time a request that *member* has answered."""
    took_ms = forwarder.clock.now() - call.arrived_ms
    forwarder.counters.observe_ms("answer", took_ms)
    log.info(
        "answered",
        request=responses.header_text(call.request_id),
        workspace=call.workspace.name if call.workspace else None,
        endpoint_id=member.endpoint_id,
        at_endpoint=call.in_flight_at_endpoint,
        generation=forwarder.view.generation,
        version=forwarder.table.version,
        status=call.request.code,
        took_ms=took_ms,
        first_ms=call.first_ms,
        events=call.events.count,
        **end_fields(call),
        **competitor_fields(call),
        **log_fields(forwarder, call),
    )


def end_fields(call):
    """Log fields that tell how the last answer to *call* ended, and in which runs."""
    fields = {
        "framing": call.framing.value if call.framing is not None else None,
        "marked": call.has_marked_end,
    }
    if call.streaming:
        fields["events_by_attempt"] = call.events_by_attempt
    return fields


def competitor_fields(call):
    """Log fields that tell a competing caller's outcome by who it is; else none."""
    if call.competitor is None:
        return {}
    return {
        "urgency": urgency.text(call.competitor.urgency),
        "returned": call.competitor.is_retry,
        "longest_gap_ms": call.longest_gap_ms,
    }


def priority_of(call, now, urgencies=None):
    """Return the priority of *call* at *now*, 0 (most urgent) to 9.

    *urgencies* are those of its service if callers compete there.
    """
    is_past_target = call.streaming and decision.is_past_latency_target(call, now)
    own = urgency.of(call.route, call.workspace)
    if urgencies is not None:
        return urgencies.header_priority(own, is_past_target)
    priority, _ = own
    if is_past_target:
        priority += PAST_TARGET_PRIORITY_PENALTY
    return min(max(priority, 0), LOWEST_PRIORITY)


def build_message(forwarder, call, member):
    """Return the request as it is sent to *member*."""
    connection_options = responses.header(call.request, b"connection") or ""
    dropped = responses.HOP_BY_HOP | {
        n.strip().lower().encode() for n in connection_options.split(",")
    }
    dropped |= NOT_FORWARDED_HEADERS
    own = forwarder.names
    headers = http_headers.Headers()
    for name, values in call.request.requestHeaders.getAllRawHeaders():
        if name.lower() not in dropped:
            headers.setRawHeaders(name, values)
    now = forwarder.clock.now()
    remaining_ms = call.deadline_ms - now
    headers.setRawHeaders(own.deadline_ms, [b"%d" % max(1, remaining_ms)])
    headers.setRawHeaders(own.endpoint_id, [member.endpoint_id.encode()])
    headers.removeHeader(own.workspace)
    if call.workspace is not None:
        headers.setRawHeaders(own.workspace, [call.workspace.name.encode()])
    urgencies = forwarder.urgencies_by_service.get(call.service)
    headers.setRawHeaders(own.priority, [b"%d" % priority_of(call, now, urgencies)])
    if call.streaming and call.events.last_id is not None:
        headers.setRawHeaders(own.last_event_id, [b"%d" % call.events.last_id])
    request = call.request
    return pool.Message(request.method, request.uri, headers, call.read_body())


@defer.inlineCallbacks
def exchange(forwarder, call, member, connection):
    """Exchange one request and response with *member*; return the outcome.

    Raises ``Broken``.
    """
    sent_ms = forwarder.clock.now()
    try:
        head = yield pool.send(connection, build_message(forwarder, call, member))
    except pool.InvalidHead as exc:
        record_invalid_head(forwarder, call, member, exc)
        raise
    call.framing = head.framing
    own = forwarder.names
    echoed_ids = set(head.headers.getRawHeaders(own.request_id, []))
    if call.request_id is not None and echoed_ids != {call.request_id}:
        forwarder.counters.incr("dropped.foreign_answer")
        raise close_as_broken(connection, "request id in the response does not match")
    signal = forwarder.read_signal(head.code, head.headers)
    now = forwarder.clock.now()
    forwarder.picker.cold.answered(member, call, now)
    forwarder.picker.signals.apply(pick.incarnation_key(member), signal, sent_ms, now)
    is_refused = head.headers.hasHeader(own.not_run) or head.code == 421
    if head.code != 421:
        forwarder.picker.cold.record_outcome(member, not is_refused, now)
    if is_refused:
        drain_body(forwarder, connection, head)
        record_not_run(forwarder, member, head)
        return NOT_RUN
    good = 200 <= head.code < 300
    if good and not head.headers.hasHeader(own.signature):
        raise close_as_broken(
            connection, "successful response without signature header"
        )
    if head.headers.hasHeader(b"content-encoding"):
        raise close_as_broken(connection, "response body has a content encoding")
    if good and call.streaming:
        if call.started and not call.stream_head.is_continued_by(head):
            forwarder.counters.incr("dropped.other_answer")
            call.error = f"{head.code} is no rest of the stream"
            connection.close()
            return FAILED
        yield relay(forwarder, call, member, connection, head)
        forwarder.counters.incr("answered.stream")
        responses.finish(forwarder, call.request)
        return DONE
    pieces = yield read_plain(forwarder, call, connection, head)
    length = sum(map(len, pieces))
    can_be_whole = yield may_be_complete(forwarder, call, member)
    if head.code >= 500 or call.is_over or call.started or not can_be_whole:
        call.caller.hold(-length, forwarder.clock.now())
    if not can_be_whole:
        pieces.clear()
        raise close_as_broken(connection, "response ended with its connection")
    answer = responses.PlainAnswer(head, pieces, length, call.has_marked_end)
    if head.code >= 500:
        call.last_failure = attrs.evolve(answer, pieces=(b"".join(pieces),))
        return FAILED
    if call.started:
        # The caller, who has the head of another answer, would take this for events.
        return FAILED
    if call.is_over:
        raise close_as_broken(connection, "caller disconnected")
    if not answer.has_marked_end and routes.is_repeatable(call.route):
        drop_unconfirmed(forwarder, call)
        call.unconfirmed = answer, member
        return UNCONFIRMED
    pass_on_plain(forwarder, call, answer)
    return DONE


def pass_on_plain(forwarder, call, answer):
    """Pass on *answer*, whose body counts as held."""
    forwarder.counters.incr("answered.plain")
    body = passed_on(call.caller, answer.pieces)
    responses.pass_on(forwarder, call.request, answer, body)


def pass_on_unconfirmed(forwarder, call):
    """Pass on the answer of *call* whose end was not marked, as no other one came."""
    (answer, member), call.unconfirmed = call.unconfirmed, None
    pass_on_plain(forwarder, call, answer)
    record_done(forwarder, call, member)


def drop_unconfirmed(forwarder, call):
    """Release the answer whose end was not marked, if there is one."""
    if call.unconfirmed is not None:
        (answer, _), call.unconfirmed = call.unconfirmed, None
        call.caller.hold(-answer.length, forwarder.clock.now())


@defer.inlineCallbacks
def may_be_complete(forwarder, call, member):
    """Whether the plain answer of *member* that has ended can be passed on."""
    known = completeness.of_plain(call.framing, call.has_marked_end)
    if known is not completeness.Completeness.UNCONFIRMED:
        return known is completeness.Completeness.COMPLETE
    yield forwarder.clock.sleep(quarantine.CRASH_CHECK_DELAY_MS)
    return not (yield forwarder.pool.refuses_connections(member))


def record_invalid_head(forwarder, call, member, exc):
    """Count and log an answer of *member* that has no valid head, which *exc* shows."""
    forwarder.counters.incr("dropped.invalid_head")
    log.warning(
        "invalid_head",
        request=responses.header_text(call.request_id),
        endpoint_id=member.endpoint_id,
        error=str(exc),
    )


def passed_on(caller, pieces):
    """Yield and remove the *pieces* of an answer, which no longer count as held."""
    while pieces:
        piece = pieces.popleft()
        caller.pass_on(len(piece))
        yield piece


@defer.inlineCallbacks
def read_plain(forwarder, call, connection, head):
    """Read a plain answer whole; return the pieces of its body, which count as held."""
    pieces = collections.deque()
    buffers, source = forwarder.buffers, call.source
    limit_bytes = buffers.max_answer_bytes
    if head.code >= 500:
        limit_bytes = min(limit_bytes, backpressure.MAX_FAILURE_BYTES)
    guard = Guard(forwarder, connection, limit_bytes)
    guard.check(0 if head.length is iweb.UNKNOWN_LENGTH else head.length)
    source.begin(connection)
    buffers.began_plain(source)
    length = 0

    def on_data(data):
        nonlocal length
        now = forwarder.clock.now()
        length += len(data)
        if guard.check(length):
            return
        pieces.append(data)
        call.caller.hold(len(data), now)
        if not buffers.may_read_plain(source):
            source.pause(now)

    try:
        call.has_marked_end = yield pool.read(connection, head, on_data)
    except pool.Broken:
        call.caller.hold(-sum(map(len, pieces)), forwarder.clock.now())
        # The failure's traceback keeps the pieces until the next garbage collection.
        pieces.clear()
        raise
    finally:
        end_reading(forwarder, call)
        buffers.ended_plain(source, forwarder.clock.now())
    if guard.is_exceeded:
        # The rest of the answer came with the bytes that were too many.
        call.caller.hold(-sum(map(len, pieces)), forwarder.clock.now())
        raise close_as_broken(connection, "response is too long")
    if not call.has_marked_end:
        forwarder.counters.incr("endpoint.unmarked_end.plain")
    return pieces


def record_not_run(forwarder, member, head):
    """Record that *member* did not run a request, and which endpoint caused it."""
    forwarder.counters.incr("endpoint.not_run")
    now = forwarder.clock.now()
    at_fault = head.headers.getRawHeaders(forwarder.names.fault_at, [b""])[-1]
    elsewhere = at_fault and at_fault.decode("latin-1") != member.endpoint_id
    # 421 means that another endpoint has this address now: no group is stalled.
    if head.code == 503 and elsewhere and forwarder.outages.suspect(member, now):
        forwarder.counters.incr("endpoint.group_stands")
    else:
        forwarder.picker.failed(pick.incarnation_key(member), now)


def close_as_broken(connection, why):
    """Close *connection*; return the ``Broken`` to raise."""
    connection.close()
    return pool.Broken(why)


@attrs.define
class Guard:
    """Closes *connection* when more than *limit_bytes* of it would be held."""

    forwarder: object
    connection: object
    limit_bytes: int
    is_exceeded: bool = False

    def check(self, count):
        """Check *count* bytes of an answer or event; whether too many came so far."""
        if count > self.limit_bytes and not self.is_exceeded:
            self.is_exceeded = True
            self.forwarder.counters.incr("dropped.answer_too_long")
            self.connection.close()
        return self.is_exceeded


def drain_body(forwarder, connection, head):
    """Read the body of a refusal, so that its connection can be reused.

    Nothing waits for it: it may come slowly or without end.
    """
    guard = Guard(forwarder, connection, MAX_DRAINED_BYTES)
    drained = 0

    def on_data(data):
        nonlocal drained
        drained += len(data)
        guard.check(drained)

    def ended(_result):
        if timer.active():
            timer.cancel()

    timer = forwarder.clock.call_later(DRAIN_TIMEOUT_MS, connection.close)
    reading = pool.read(connection, head, on_data)
    reading.addErrback(lambda failure: failure.trap(pool.Broken))
    reading.addBoth(ended)


@defer.inlineCallbacks
def relay(forwarder, call, member, connection, head):
    """Pass on the complete events of a stream as they arrive; raises ``Broken``."""
    request = call.request
    call.events.restart()
    events_before = call.events.count
    groups = forwarder.groups(call)
    last_ms = None
    source, caller = call.source, call.caller
    source.begin(connection)
    caller.source = source
    partial_bytes, has_begun = 0, False
    guard = Guard(forwarder, connection, caller.entry.max_answer_bytes)

    def on_data(data):
        nonlocal last_ms, partial_bytes, has_begun
        now = forwarder.clock.now()
        forwarder.picker.data_received(pick.incarnation_key(member), now)
        forwarder.outages.data_received(member)
        out = call.events.feed(data)
        if out and not has_begun:
            has_begun = True
            quarantine.request_served(forwarder, call)
        caller.hold(len(call.events.partial) - partial_bytes, now)
        partial_bytes = len(call.events.partial)
        guard.check(partial_bytes)
        if not out or call.is_over:
            return
        # After a pause, the gaps depend on the caller and not on the endpoint.
        if last_ms is not None and not source.was_paused:
            forwarder.counters.observe_ms("pause", now - last_ms)
            call.longest_gap_ms = max(call.longest_gap_ms, now - last_ms)
            if groups is not None:
                groups.record_gap(call.group, now - last_ms, now)
        if call.first_ms is None:
            call.first_ms = now - call.arrived_ms
            forwarder.counters.observe_ms("first_event", call.first_ms)
        last_ms = call.last_event_ms = now
        if not call.started:
            call.started = True
            call.stream_head = continuation.StreamHead.from_head(head)
            responses.copy_head(request, head, None)
        request.write(out)

    try:
        call.has_marked_end = yield pool.read(connection, head, on_data)
    finally:
        end_reading(forwarder, call)
        caller.hold(-partial_bytes, forwarder.clock.now())
        call.events_by_attempt.append(call.events.count - events_before)
    if not call.has_marked_end:
        forwarder.counters.incr("endpoint.unmarked_end.stream")
    if call.is_over:
        raise close_as_broken(connection, "caller disconnected")
    if call.events.partial:
        raise close_as_broken(connection, "stream ended within an event")
    known = completeness.of_stream(call.has_marked_end)
    if known is not completeness.Completeness.COMPLETE:
        raise close_as_broken(connection, "stream ended with its connection")
    if not call.started:
        call.started = True
        responses.copy_head(request, head, None)
