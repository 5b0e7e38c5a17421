"""Attempts of a request: selection of endpoints, retries, and the final failure."""

from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.forward import answers, capacity, exchange, quarantine, routes
from dunlinpoint.routing import outage, pick
from dunlinpoint.suspects import registry

log = logs.logger("entry")

# A request with less time left than this is not sent to an endpoint.
LEAST_LEFT_MS = 10


@defer.inlineCallbacks
def run(forward, call):
    """Try endpoints until one answers or no further attempt is permitted."""
    if not quarantine.enter(forward, call):
        return
    try:
        yield run_tries(forward, call)
    finally:
        capacity.leave(forward, call)
        quarantine.leave(forward, call)


@defer.inlineCallbacks
def run_tries(forward, call):
    """Make the attempts of *call*; it is counted at a rank group meanwhile."""
    while not call.left:
        if not (yield outlasts(forward, call)):
            return
        now = forward.clock.now()
        by_group = forward.open_groups(call.service, now)
        found = capacity.find(forward, call, by_group, now)
        if found is capacity.Room.FULL and now < capacity.wait_until(call):
            yield forward.clock.sleep(capacity.look_ms(call))
            continue
        if found is not capacity.Room.JOINED:
            capacity.refuse(forward, call, found)
            return
        member = next_member(forward, call, by_group, now)
        if member is None:
            members = [m for inside in by_group.values() for m in inside]
            available_ms = forward.picker.available_ms(members, now, call.tried)
            if available_ms is not None and available_ms <= capacity.wait_until(call):
                yield forward.clock.sleep(available_ms - now)
                continue
            reason = "no_endpoint" if available_ms is None else "limited"
            give_up(forward, call, reason, free_again_ms(forward, call))
            return
        if call.deadline_ms - now < LEAST_LEFT_MS:
            give_up(forward, call, "too_late")
            return
        forward.outages.probe(member, now)
        call.tried.add(pick.incarnation_key(member))
        state = yield exchange.one_try(forward, call, member)
        if state == exchange.DONE or call.left:
            return
        if state == exchange.NOT_RUN and not (yield outlasts(forward, call)):
            return
        if not may_try_again(forward, call, state):
            give_up(forward, call, state, free_again_ms(forward, call))
            return
        forward.counters.retried(state)


def next_member(forward, call, by_group, now):
    """Return the endpoint to try next, or ``None``.

    Endpoints in the call's current group are preferred.
    """
    own = [call.group] if call.group in by_group else []
    for group in own + [group for group in by_group if group != call.group]:
        near = (call.service, group) not in forward.uneven_groups
        member = forward.picker.pick(by_group[group], now, call.tried, near)
        if member is not None:
            capacity.join(forward, call, group)
            return member
    return None


def free_again_ms(forward, call):
    """Return the ``Retry-After`` (ms) until an endpoint accepts requests again.

    If all endpoints have a backoff or a rate limit, jitter is added, so that callers
    do not all retry at the same moment.
    """
    now = forward.clock.now()
    available_ms = forward.picker.available_ms(forward.members(call.service), now)
    if available_ms is None or available_ms <= now:
        return answers.RETRY_AFTER_MS
    wanted_ms = max(answers.RETRY_AFTER_MS, available_ms - now) * forward.rng.uniform(
        1, 2
    )
    return min(wanted_ms, outage.max_retry_after_ms(call.deadline_ms - now))


@defer.inlineCallbacks
def outlasts(forward, call):
    """Wait while all groups of *call* are stalled.

    Fires with ``False`` if the wait timed out and the final response was sent. A call
    waits only once, until shortly before its caller would disconnect.
    """
    if not is_standing(forward, call):
        return True
    if call.streaming and not call.waited:
        call.waited = True
        limit_ms = capacity.leaves_ms(call) - forward.clock.now()
        yield forward.waiting.until(
            lambda: call.over or not is_standing(forward, call), limit_ms
        )
        if not call.over and not is_standing(forward, call):
            return True
    give_up(forward, call, "group_stands", outage_retry_after_ms(forward, call))
    return False


def may_try_again(forward, call, state):
    """Whether another attempt may follow one with the outcome *state*."""
    if call.over:
        return False
    if state != exchange.NOT_RUN and not routes.repeatable(call.route):
        return False
    if call.tries >= call.route.max_attempts:
        return False
    if quarantine.suspect_status(forward, call) is not registry.SuspectStatus.CLEAR:
        # A retry could crash one more endpoint within the same attempt of the caller.
        return False
    return call.tries == 0 or forward.budget.spend(call.service)


def is_standing(forward, call):
    """Whether there are endpoints for *call* and all their groups are stalled."""
    now = forward.clock.now()
    return bool(forward.members(call.service)) and not forward.open_groups(
        call.service, now
    )


def outage_retry_after_ms(forward, call):
    """Return the ``Retry-After`` (ms) of *call* while all its groups are stalled."""
    now = forward.clock.now()
    since = forward.outages.outage_start_ms(forward.members(call.service), now)
    return outage.outage_retry_after_ms(since, now, call.deadline_ms - now, forward.rng)


def give_up(forward, call, reason, retry_ms=answers.RETRY_AFTER_MS):
    """Send the final response of a request that no endpoint answered."""
    request = call.request
    if call.left:
        return
    if call.started:
        # Without the last chunk, the caller detects that the response is incomplete.
        forward.counters.incr("gave_up.stream_broken")
        log.warning(
            "stream_broken",
            request=exchange.text(call.request_id),
            reason=reason,
            events=call.events.count,
            **exchange.told(forward, call),
        )
        request.channel.loseConnection()
    elif call.last_failure is not None:
        head, body = call.last_failure
        forward.counters.incr("answered.endpoint_failure")
        answers.copy_head(request, head, len(body))
        answers.finish(forward, request, body)
    elif not call.may_have_run:
        answers.answer(
            forward, request, 503, reason, retry_ms, **exchange.told(forward, call)
        )
    else:
        status = 504 if call.expired else 502
        answers.answer(forward, request, status, reason, **exchange.told(forward, call))
