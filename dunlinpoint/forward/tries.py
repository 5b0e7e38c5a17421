"""A request's tries: which endpoint next, how often, and when to give up."""

from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.forward import answers, exchange, routes
from dunlinpoint.routing import outage, pace, pick

log = logs.logger("entry")

# Less than this left is not worth handing to an endpoint.
LEAST_LEFT_MS = 10
# When a caller should come back whom the pace leaves no room: streams last a
# second or two, and as many end in that time as would have to.
ROOM_MS = (500, 1500)
# How long a request waits for room before that, as a part of the time in which its
# first event is due: reading its prompt takes most of the rest. On the model of a
# group near its limit, half of it is worth 0.02 of a caller's worth over none.
ROOM_WAIT_SHARE = 0.5
ROOM_WAIT_MS = 300
# How often it looks: a few times a pass.
ROOM_LOOK_MS = 25


@defer.inlineCallbacks
def run(forward, call):
    """Try endpoints until one answers or no other may be tried."""
    try:
        yield run_tries(forward, call)
    finally:
        join(forward, call, None)


@defer.inlineCallbacks
def run_tries(forward, call):
    """The tries of *call*, which is at a group of ranks meanwhile."""
    while not call.left:
        now = forward.clock.now()
        members = forward.members(call.service)
        by_group = forward.open_groups(call.service, now)
        if members and not by_group:
            opened = yield group_opens(forward, call, now)
            if opened:
                continue
            give_up(forward, call, "group_stands", outage_ms(forward, call, members))
            return
        if not find_group(forward, call, by_group, now):
            if now < wait_for_room_until(call):
                yield forward.clock.pause(ROOM_LOOK_MS)
                continue
            refuse_for_room(forward, call)
            return
        member = next_member(forward, call, by_group, now)
        if member is None or call.deadline_ms - now < LEAST_LEFT_MS:
            give_up(forward, call, "no_endpoint" if member is None else "too_late")
            return
        forward.outages.probe(member, now)
        call.tried.add(pick.life(member))
        state = yield exchange.one_try(forward, call, member)
        if state == exchange.DONE or call.left:
            return
        if not may_try_again(forward, call, state):
            give_up(forward, call, state)
            return
        forward.counters.retried(state)


def join(forward, call, group):
    """Count *call* at *group* of ranks and no longer at the one before."""
    groups = forward.groups(call)
    if groups is None or call.group == group:
        return
    if call.group is not None:
        groups.left(call.group)
    if group is not None:
        groups.pace(group).began()
    call.group = group


def wait_for_room_until(call):
    """Until when (ms) *call* waits for room: after that it could not be in time.

    A wait of a few passes bridges what a jump of demand takes; sent away, a caller is
    late when it comes back.
    """
    wait_ms = min(ROOM_WAIT_SHARE * call.route.aim_ms, ROOM_WAIT_MS)
    return min(call.arrived_ms + wait_ms, call.deadline_ms)


def find_group(forward, call, by_group, now):
    """Have *call* join a group of *by_group*; ``False`` if none has room.

    A request that was let in once is not refused for room when it must go on
    elsewhere: it is no more of a load there than it was.
    """
    groups = forward.groups(call)
    if groups is None or call.group in by_group:
        return True
    left_ms = call.deadline_ms - now
    returned = pace.has_returned(left_ms, call.route.timeout_ms)
    group = groups.choose(by_group, now, returned, forward.rng)
    if group is None and call.group is not None:
        group = next(iter(by_group), None)
    if group is None:
        return not by_group
    join(forward, call, group)
    return True


def refuse_for_room(forward, call):
    """Refuse *call*: every group has as many streams as its pace allows."""
    groups, now = forward.groups(call), forward.clock.now()
    paces = [groups.pace(group) for group in groups.share_by_group]
    answers.answer(
        forward,
        call.request,
        503,
        "no_room",
        forward.rng.uniform(*ROOM_MS),
        service=call.service,
        pause_ms=[found.pause_ms for found in paces],
        let_in=[round(found.share_let_in(now), 2) for found in paces],
    )


def next_member(forward, call, by_group, now):
    """The endpoint to try next: of the call's group if one is left there."""
    own = [call.group] if call.group in by_group else []
    for group in own + [group for group in by_group if group != call.group]:
        near = (call.service, group) not in forward.uneven_groups
        member = forward.picker.pick(by_group[group], now, call.tried, near)
        if member is not None:
            join(forward, call, group)
            return member
    return None


@defer.inlineCallbacks
def group_opens(forward, call, now):
    """Wait for a standing group if the caller can't come back; whether it opened."""
    left_ms = call.deadline_ms - now
    if call.waited or not call.streaming or outage.may_come_back(left_ms):
        return False
    call.waited = True

    def ready():
        return call.over or forward.open_groups(call.service, forward.clock.now())

    limit_ms = min(outage.WAIT_MS, left_ms)
    opened = yield forward.waiting.until(ready, limit_ms)
    return opened and not call.over


def may_try_again(forward, call, state):
    """Whether another endpoint may get the request after a try's *state*."""
    if call.over:
        return False
    if state != exchange.NOT_RUN and not routes.repeatable(call.route):
        return False
    if call.tries >= call.route.max_attempts:
        return False
    return call.tries == 0 or forward.budget.spend(call.service)


def outage_ms(forward, call, members):
    """When a caller should come back whose endpoints' groups all stand."""
    now = forward.clock.now()
    since = forward.outages.since_ms(members, now)
    return outage.come_back_ms(since, now, call.deadline_ms - now, forward.rng)


def give_up(forward, call, reason, retry_ms=answers.RETRY_AFTER_MS):
    """The final answer of a request that no endpoint answered."""
    request = call.request
    if call.left:
        return
    if call.started:
        # A chunked answer without its last chunk cannot be taken for whole.
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
