"""Attempts of a request: selection of endpoints, retries, and the final failure."""

from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.admission import decision
from dunlinpoint.forward import (
    capacity,
    cold_wait,
    exchange,
    quarantine,
    responses,
    routes,
    unmarked_ends,
)
from dunlinpoint.routing import outage, pick
from dunlinpoint.suspects import registry

log = logs.logger("entry")

# A request with less time left than this is not sent to an endpoint.
MIN_REMAINING_MS = 10


@defer.inlineCallbacks
def run(forwarder, call):
    """Try endpoints until one answers or no further attempt is permitted."""
    if quarantine.is_refused(forwarder, call):
        return
    try:
        yield run_attempts(forwarder, call)
    finally:
        capacity.leave(forwarder, call)
        cold_wait.leave(forwarder, call)
        quarantine.leave(forwarder, call)
        unmarked_ends.drop(forwarder, call)


@defer.inlineCallbacks
def run_attempts(forwarder, call):
    """Make the attempts of *call*; it is counted at a rank group meanwhile."""
    outcome = None
    while not call.disconnected:
        if not (yield wait_while_stalled(forwarder, call)):
            return
        now = forwarder.clock.now()
        if call.unconfirmed and unmarked_ends.is_confirmation_over(call, now):
            yield give_up(forwarder, call, "unconfirmed")
            return
        by_group = forwarder.available_groups(call.service, now)
        result = capacity.find_group(forwarder, call, by_group, now)
        if result is decision.JoinResult.FULL and now < capacity.wait_limit_ms(call):
            yield forwarder.clock.sleep(capacity.poll_interval_ms(call))
            continue
        if result is not decision.JoinResult.JOINED:
            capacity.refuse(forwarder, call, result)
            return
        if quarantine.must_wait(forwarder, call):
            yield forwarder.clock.sleep(quarantine.TURN_POLL_INTERVAL_MS)
            continue
        member = next_member(forwarder, call, by_group, now)
        if member is None and not by_group and forwarder.is_evacuated(call.service):
            yield give_up(
                forwarder, call, "evacuated", evacuated_retry_after_ms(forwarder, call)
            )
            return
        if member is None:
            members = [m for group_members in by_group.values() for m in group_members]
            available_ms = forwarder.picker.available_ms(
                members, now, call.tried, cold_wait.ahead(forwarder, call)
            )
            if available_ms is not None and available_ms <= capacity.wait_limit_ms(
                call
            ):
                cold_wait.enter(forwarder, call)
                yield forwarder.clock.sleep(available_ms - now or cold_wait.YIELD_MS)
                continue
            is_cold = forwarder.picker.cold.available_ms_by_key(members, now)
            reason = "cold" if is_cold else "limited"
            if available_ms is None:
                reason = "no_endpoint"
            yield give_up(
                forwarder, call, reason, available_retry_after_ms(forwarder, call)
            )
            return
        if call.deadline_ms - now < MIN_REMAINING_MS:
            yield give_up(forwarder, call, "too_late")
            return
        if not (yield may_send(forwarder, call)):
            return
        # It may have waited since its last attempt, while others used up the budget.
        if call.attempts and not spend_retry(forwarder, call, outcome):
            retry_after_ms = available_retry_after_ms(forwarder, call)
            yield give_up(forwarder, call, outcome, retry_after_ms, "budget")
            return
        forwarder.outages.probe(member, now)
        call.tried.add(pick.incarnation_key(member))
        outcome = yield exchange.make_attempt(forwarder, call, member)
        quarantine.leave(forwarder, call, outcome == exchange.BROKEN)
        if outcome == exchange.DONE or call.disconnected:
            return
        if outcome == exchange.NOT_RUN and not (
            yield wait_while_stalled(forwarder, call)
        ):
            return
        not_asked = why_no_retry(forwarder, call, outcome)
        if not_asked is not None:
            retry_after_ms = available_retry_after_ms(forwarder, call)
            yield give_up(forwarder, call, outcome, retry_after_ms, not_asked)
            return
        forwarder.counters.retried(outcome)


@defer.inlineCallbacks
def may_send(forwarder, call):
    """Whether *call* may be sent now; if not, its final response has been sent.

    Endpoints may have crashed under such requests while it waited.
    """
    if not call.may_have_run:
        return quarantine.enter(forwarder, call)
    if quarantine.suspect_status(forwarder, call) is registry.SuspectStatus.CLEAR:
        return True
    yield give_up(forwarder, call, exchange.BROKEN)
    return False


def next_member(forwarder, call, by_group, now):
    """Return the endpoint to try next, or ``None``.

    Endpoints in the call's current group are preferred.
    """
    own_group = [call.group] if call.group in by_group else []
    for group in own_group + [group for group in by_group if group != call.group]:
        prefer_own_zone = (call.service, group) not in forwarder.uneven_groups
        member = forwarder.picker.pick(
            by_group[group],
            now,
            call.tried,
            prefer_own_zone,
            cold_wait.ahead(forwarder, call),
            capacity.wait_limit_ms(call),
            forwarder.ring_entries(call.service, prefer_own_zone),
        )
        if member is not None:
            cold_wait.leave(forwarder, call)
            capacity.assign_group(forwarder, call, group)
            return member
    return None


def available_retry_after_ms(forwarder, call):
    """Return the ``Retry-After`` (ms) until an endpoint accepts requests again.

    If all endpoints have a backoff or a rate limit, jitter is added, so that callers
    do not all retry at the same moment.
    """
    now = forwarder.clock.now()
    available_ms = forwarder.picker.available_ms(
        forwarder.members(call.service), now, ahead=cold_wait.ahead(forwarder, call)
    )
    if available_ms is None or available_ms <= now:
        return responses.RETRY_AFTER_MS
    wanted_ms = max(
        responses.RETRY_AFTER_MS, available_ms - now
    ) * forwarder.rng.uniform(1, 2)
    return min(wanted_ms, outage.max_retry_after_ms(call.deadline_ms - now))


@defer.inlineCallbacks
def wait_while_stalled(forwarder, call):
    """Wait while all groups of *call* are stalled.

    Fires with ``False`` if they are still stalled and the final response was sent. Only
    a stream waits, only once, and until shortly before its caller would disconnect.
    """
    if not is_stalled(forwarder, call):
        return True
    if call.streaming and not call.waited:
        call.waited = True
        limit_ms = capacity.disconnect_limit_ms(call) - forwarder.clock.now()
        yield forwarder.changes.wait_for(
            lambda: call.is_over or not is_stalled(forwarder, call), limit_ms
        )
        if not call.is_over and not is_stalled(forwarder, call):
            return True
    yield give_up(
        forwarder, call, "group_stands", outage_retry_after_ms(forwarder, call)
    )
    return False


def why_no_retry(forwarder, call, outcome):
    """Why no attempt may follow one with *outcome* (``str``), ``None`` if one may."""
    if call.is_over:
        return "over"
    if call.started and not call.events.is_resumable:
        # A further run would send the events without ids once more.
        return "no_ids"
    if outcome == exchange.UNREAD and call.started:
        # The rest would again be produced faster than the caller reads it.
        return "unread"
    if outcome != exchange.NOT_RUN and not routes.is_repeatable(call.route):
        return "route"
    if call.attempts >= call.route.max_attempts:
        return "attempts"
    if (
        outcome != exchange.NOT_RUN
        and quarantine.suspect_status(forwarder, call)
        is not registry.SuspectStatus.CLEAR
    ):
        # A retry could crash one more endpoint within the same attempt of the caller.
        return "suspect"
    if call.attempts == 0:
        return None
    now = forwarder.clock.now()
    is_allowed = forwarder.budget.may_retry(call.service, now)
    is_allowed = is_allowed and may_use_budget(forwarder, call, now)
    if not is_allowed:
        record_retry(forwarder, call, outcome, is_allowed)
    return None if is_allowed else "budget"


def may_use_budget(forwarder, call, now):
    """Whether the reserve is left alone by *call*, or its retry can't be left out."""
    kept = call.unconfirmed
    if kept is None or not kept.may_be_passed_on(call):
        return True
    return forwarder.budget.has_spare(call.service, now)


def spend_retry(forwarder, call, outcome):
    """Take a retry of *call* out of its service's budget; ``False`` if it has none."""
    now = forwarder.clock.now()
    is_allowed = may_use_budget(forwarder, call, now)
    is_allowed = is_allowed and forwarder.budget.spend(call.service, now)
    record_retry(forwarder, call, outcome, is_allowed)
    return is_allowed


def record_retry(forwarder, call, outcome, is_allowed):
    """Count and log a decision about a retry after an attempt with *outcome*."""
    now = forwarder.clock.now()
    credit = round(forwarder.budget.left(call.service, now), 2)
    event = "retry_allowed" if is_allowed else "retry_denied"
    forwarder.counters.set_level(f"retry_credit.{call.service}", credit)
    forwarder.counters.incr(f"{event}.{call.service}")
    write = log.info if is_allowed else log.warning
    write(
        event,
        request=responses.header_text(call.request_id),
        service=call.service,
        tries=call.attempts,
        outcome=outcome,
        credit=credit,
        slack_part=round(forwarder.budget.slack_part(now), 2),
        entries=forwarder.budget.zone_entries.most(),
    )


def is_stalled(forwarder, call):
    """Whether there are endpoints for *call* and all their groups are stalled."""
    now = forwarder.clock.now()
    return bool(forwarder.members(call.service)) and not forwarder.available_groups(
        call.service, now
    )


def outage_retry_after_ms(forwarder, call):
    """Return the ``Retry-After`` (ms) of *call* while all its groups are stalled."""
    now = forwarder.clock.now()
    start_ms = forwarder.outages.outage_start_ms(forwarder.members(call.service), now)
    return outage.outage_retry_after_ms(
        start_ms, now, call.deadline_ms - now, forwarder.rng
    )


def evacuated_retry_after_ms(forwarder, call):
    """Return the ``Retry-After`` (ms) of *call* while all its zones are evacuated.

    The end of an evacuation cannot be foreseen, so the caller is asked to wait for as
    long as it obeys.
    """
    longest_ms = outage.max_retry_after_ms(call.deadline_ms - forwarder.clock.now())
    return outage.with_jitter(longest_ms, forwarder.rng)


@defer.inlineCallbacks
def give_up(
    forwarder, call, reason, retry_after_ms=responses.RETRY_AFTER_MS, not_asked=None
):
    """Send the final response of a request that no endpoint answered.

    *not_asked* (``str``) tells why no further one is asked, if *reason* doesn't.
    """
    request = call.request
    yield unmarked_ends.settle_kept(forwarder, call, not_asked or reason)
    if call.disconnected:
        return
    if call.unconfirmed is not None and call.unconfirmed.may_be_passed_on(call):
        exchange.pass_on_unconfirmed(forwarder, call)
    elif call.started:
        forwarder.counters.incr("gave_up.stream_broken")
        log.warning(
            "stream_broken",
            request=responses.header_text(call.request_id),
            reason=reason,
            events=call.events.count,
            draining=forwarder.lifecycle.is_draining(),
            **exchange.end_fields(call),
            **exchange.log_fields(forwarder, call),
        )
        request.channel.loseConnection()
    elif call.last_failure is not None:
        forwarder.counters.incr("answered.endpoint_failure")
        answer = call.last_failure
        responses.pass_on(forwarder, request, answer, answer.pieces)
    elif not call.may_have_run:
        responses.respond(
            forwarder,
            request,
            503,
            reason,
            retry_after_ms,
            **exchange.log_fields(forwarder, call),
            **capacity.record_refused(forwarder, call, reason),
        )
    else:
        status = 504 if call.expired else 502
        responses.respond(
            forwarder, request, status, reason, **exchange.log_fields(forwarder, call)
        )
