"""One attempt of a request: sends it to an endpoint and passes on the response.

Guarantees:

- Complete and authentic responses: a response is accepted only with the endpoint's
  signature and the echoed request id. Plain responses are passed on when complete,
  streams event by event. A response that ended with its connection is complete unless
  its endpoint has crashed.
- Reliable 503: it is sent only if certainly no attempt has run. After any attempt that
  may have run, the caller receives 502 or 504.
- At most once: a request that must not be repeated is sent to another endpoint only
  if the previous one certainly did not run it.
- Early failure: when no further attempt is possible, the final response is sent at
  once, with a ``Retry-After``; no request is held until the caller's deadline.
- Cancellation: when the caller disconnects, the connection to the endpoint is closed,
  so that the endpoint stops working on the request.
"""

import attrs
from twisted.internet import defer
from twisted.web import http_headers

from dunlinpoint import logs
from dunlinpoint.admission import decision, urgency
from dunlinpoint.answers import completeness, continuation
from dunlinpoint.forward import (
    bodies,
    pool,
    quarantine,
    responses,
    routes,
    unmarked_ends,
)
from dunlinpoint.forward import watchdog as watchdogs
from dunlinpoint.routing import pick

log = logs.logger("entry")

NOT_FORWARDED_HEADERS = {b"content-length", b"authorization", b"expect"}
LOWEST_PRIORITY = 9
# Added to the priority value (9 is the least urgent) of a request past its latency
# target: a request that gets a slot instead of it can still meet its own target.
PAST_TARGET_PRIORITY_PENALTY = 5
# Outcomes of an attempt.
DONE, NOT_RUN, BROKEN, FAILED = "done", "not_run", "broken", "failed"
# The answer ended in order with its connection.
UNMARKED = "unmarked"
# Such an answer which may be whole, though its endpoint has ended or could have cut it.
UNCONFIRMED = "unconfirmed"
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
    if outcome == DONE:
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
    outcome = yield run_at(forwarder, call, member)
    if outcome == UNMARKED:
        outcome = yield settle_unmarked(forwarder, call)
    elif outcome == DONE:
        forwarder.picker.succeeded(pick.incarnation_key(member))
        forwarder.outages.data_received(member)
    if outcome == DONE:
        record_done(forwarder, call, member)
    elif outcome in (UNCONFIRMED, FAILED):
        call.may_have_run = True
    return outcome


@defer.inlineCallbacks
def run_at(forwarder, call, member):
    """Run the request at *member*; return the outcome, or ``UNMARKED``."""
    incarnation = pick.incarnation_key(member)
    forwarder.picker.began(incarnation)
    forwarder.picker.signals.sent(incarnation, forwarder.clock.now())
    if forwarder.picker.cold.sent(member, call, forwarder.clock.now()):
        forwarder.counters.incr("endpoint.sent_cold")
    watchdog = confirm_timer = None
    call.framing, call.has_marked_end, call.error = None, False, None
    call.end_left_ms = None
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
        confirm_timer = unmarked_ends.limit_confirmation(forwarder, call, connection)
        return (yield exchange(forwarder, call, member, connection))
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
        if unmarked_ends.is_confirmation_over(call, now):
            # This entry has closed the connection.
            return UNCONFIRMED
        if not call.is_over:
            forwarder.picker.failed(incarnation, now)
        return BROKEN
    finally:
        call.connection = None
        forwarder.picker.ended(incarnation)
        forwarder.picker.cold.answered(member, call, forwarder.clock.now())
        if watchdog is not None:
            watchdog.stop()
        if confirm_timer is not None and confirm_timer.active():
            confirm_timer.cancel()


@defer.inlineCallbacks
def settle_unmarked(forwarder, call):
    """Pass on or drop the answer of *call* that ended with its connection.

    Returns the outcome of the attempt.
    """
    answer, call.unmarked = call.unmarked, None
    known = yield unmarked_ends.judge(forwarder, call, answer)
    if call.disconnected or known is completeness.Completeness.INCOMPLETE:
        if not call.disconnected and unmarked_ends.may_prove_whole(call, answer):
            unmarked_ends.keep(forwarder, call, answer)
        else:
            unmarked_ends.release(forwarder, call, answer)
        call.may_have_run = True
        call.error = "answer ended with its connection"
        return BROKEN
    if answer.plain is None and not call.runs[-1].events:
        return end_stream(forwarder, call)
    if unmarked_ends.may_be_asked_again(call, known):
        unmarked_ends.keep(forwarder, call, answer)
        return UNCONFIRMED
    if answer.plain is None:
        finish_stream(forwarder, call)
        return DONE
    return settle_plain(forwarder, call, answer.plain)


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
        "end_left_ms": call.end_left_ms,
    }
    if call.streaming:
        fields["events_by_attempt"] = [run.events for run in call.runs]
        fields["ends_by_attempt"] = [run.end.value for run in call.runs]
        fields["repeats_by_attempt"] = [run.repeats for run in call.runs]
    if call.end_checks:
        fields["checks"] = [check.value for check in call.end_checks]
        fields["not_asked"] = call.not_asked
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
    resume_id = call.events.resume_id(continuation.must_repeat(call.runs))
    if call.streaming and resume_id is not None:
        headers.setRawHeaders(own.last_event_id, [b"%d" % resume_id])
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
    call.framing, call.last_data_ms = head.framing, forwarder.clock.now()
    own = forwarder.names
    echoed_ids = set(head.headers.getRawHeaders(own.request_id, []))
    if call.request_id is not None and echoed_ids != {call.request_id}:
        forwarder.counters.incr("dropped.foreign_answer")
        raise bodies.close_as_broken(connection, "request id does not match")
    signal = forwarder.read_signal(head.code, head.headers)
    now = forwarder.clock.now()
    forwarder.picker.cold.answered(member, call, now)
    if head.code != 421:
        forwarder.life_checks.answered(member, sent_ms)
    forwarder.picker.signals.apply(pick.incarnation_key(member), signal, sent_ms, now)
    is_refused = head.headers.hasHeader(own.not_run) or head.code == 421
    if head.code != 421:
        forwarder.picker.cold.record_outcome(member, not is_refused, now)
    if is_refused:
        bodies.drain_body(forwarder, connection, head)
        record_not_run(forwarder, member, head)
        return NOT_RUN
    good = 200 <= head.code < 300
    if good and not head.headers.hasHeader(own.signature):
        raise bodies.close_as_broken(
            connection, "successful response without signature header"
        )
    if head.headers.hasHeader(b"content-encoding"):
        raise bodies.close_as_broken(connection, "response body has a content encoding")
    if good and call.streaming:
        if call.started and not call.stream_head.is_continued_by(head):
            forwarder.counters.incr("dropped.other_answer")
            call.error = f"{head.code} is no rest of the stream"
            connection.close()
            return FAILED
        yield bodies.relay(forwarder, call, member, connection, head)
        if not call.has_marked_end:
            call.unmarked = unmarked_ends.UnmarkedAnswer.from_call(
                call, member, forwarder.clock.now()
            )
            return UNMARKED
        return end_stream(forwarder, call)
    answer = yield bodies.read_plain(forwarder, call, connection, head)
    if not answer.has_marked_end:
        call.unmarked = unmarked_ends.UnmarkedAnswer.from_call(
            call, member, forwarder.clock.now(), answer
        )
        return UNMARKED
    outcome = settle_plain(forwarder, call, answer)
    if outcome == BROKEN:
        raise bodies.close_as_broken(connection, "caller disconnected")
    return outcome


def end_stream(forwarder, call):
    """End the stream of *call* if its last run is the rest; return the outcome."""
    if not continuation.is_rest(call.runs):
        forwarder.counters.incr("dropped.empty_rest")
        call.error = "neither a new event nor the last one again"
        return FAILED
    finish_stream(forwarder, call)
    return DONE


def finish_stream(forwarder, call):
    """End the stream of *call* as complete."""
    forwarder.counters.incr("answered.stream")
    responses.finish(forwarder, call.request)


def settle_plain(forwarder, call, answer):
    """Pass on *answer*, a plain one that is whole, or drop it; return the outcome."""
    if answer.head.code >= 500:
        pieces = (b"".join(answer.pieces),)
        bodies.release(forwarder, call, answer)
        call.last_failure = attrs.evolve(answer, pieces=pieces)
        return FAILED
    if call.started:
        # The caller, who has the head of another answer, would take this for events.
        bodies.release(forwarder, call, answer)
        return FAILED
    if call.disconnected:
        bodies.release(forwarder, call, answer)
        return BROKEN
    pass_on_plain(forwarder, call, answer)
    return DONE


def pass_on_plain(forwarder, call, answer):
    """Pass on *answer*, whose body counts as held."""
    forwarder.counters.incr("answered.plain")
    body = bodies.passed_on(call.caller, answer.pieces)
    responses.pass_on(forwarder, call.request, answer, body)


def pass_on_unconfirmed(forwarder, call):
    """Pass on the answer of *call* that was kept, as no better one came."""
    found, call.unconfirmed = call.unconfirmed, None
    call.framing, call.has_marked_end = found.framing, False
    call.in_flight_at_endpoint = found.at_endpoint
    if found.plain is None:
        finish_stream(forwarder, call)
    else:
        pass_on_plain(forwarder, call, found.plain)
    record_done(forwarder, call, found.member)


def record_invalid_head(forwarder, call, member, exc):
    """Count and log an answer of *member* that has no valid head, which *exc* shows."""
    forwarder.counters.incr("dropped.invalid_head")
    log.warning(
        "invalid_head",
        request=responses.header_text(call.request_id),
        endpoint_id=member.endpoint_id,
        error=str(exc),
    )


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
