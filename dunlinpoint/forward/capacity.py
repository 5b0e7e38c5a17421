"""Capacity of rank groups: which group a stream joins, and who waits or is refused."""

import enum

from dunlinpoint import logs
from dunlinpoint.forward import responses
from dunlinpoint.routing import admission_control, latency, outage

log = logs.logger("entry")

# Range of Retry-After when the wait for capacity timed out. Streams last a second or
# two, so enough of them end in that time.
RETRY_AFTER_RANGE_MS = (500, 1500)
# The same during a lasting overload. Callers that retry sooner find the same overload,
# are refused again and have no attempt left.
OVERLOAD_RETRY_AFTER_RANGE_MS = (1800, 2600)
# Maximum wait for capacity as a share of the latency target of the first event. Prompt
# processing takes most of the rest.
WAIT_SHARE = 0.5
MAX_WAIT_MS = 300
# Interval of the polls for capacity: a few per decode step.
POLL_INTERVAL_MS = 25
# The same for callers that are queued after an outage, which wait longer.
QUEUED_POLL_INTERVAL_MS = 50


class JoinResult(enum.Enum):
    """Result of the search for a group.

    ``JOINED``: the request was assigned to a group. ``FULL``: no group has capacity
    at the moment. ``OVERLOADED``: decode steps are too long over a long window.
    """

    JOINED = "joined"
    FULL = "no_room"
    OVERLOADED = "overloaded"


def assign_group(forwarder, call, group):
    """Assign *call* to the rank group *group* (``None`` for no group).

    Its stream is no longer counted at its previous group.
    """
    groups = forwarder.groups(call)
    if groups is None or call.group == group:
        return
    if call.group is not None:
        groups.stream_ended(call.group)
    if group is not None:
        groups.controller(group).began()
    call.group = group
    if call.queue_key is not None:
        groups.queue.leave(call.queue_key)
        call.queue_key = None


def is_past_latency_target(call, now):
    """Whether *call* is past the latency target of its first event."""
    route = call.route
    return latency.is_past_latency_target(
        call.deadline_ms - now, route.timeout_ms, route.aim_ms
    )


def disconnect_limit_ms(call):
    """Return until when (ms) *call* may wait and still receive a complete response.

    A caller disconnects if it receives no event for a certain time, and its deadline
    must leave enough time for the response.
    """
    event_timeout_ms = outage.event_timeout_ms(call.route.aim_ms, call.route.pause_ms)
    until_ms = call.last_event_ms + event_timeout_ms - outage.FIRST_EVENT_RESERVE_MS
    return min(until_ms, call.deadline_ms - outage.TYPICAL_ANSWER_MS)


def wait_limit_ms(call):
    """Return until when (ms) *call* waits for capacity.

    A wait of a few decode steps covers a jump in demand, whereas a caller that is
    refused is past its latency target when it retries. A caller that is queued after
    an outage waits until shortly before it would disconnect.
    """
    if call.queue_key is not None:
        return disconnect_limit_ms(call)
    wait_ms = min(WAIT_SHARE * call.route.aim_ms, MAX_WAIT_MS)
    return min(call.arrived_ms + wait_ms, call.deadline_ms)


def poll_interval_ms(call):
    """Return the interval (ms) at which *call* polls for capacity."""
    return POLL_INTERVAL_MS if call.queue_key is None else QUEUED_POLL_INTERVAL_MS


def find_group(forwarder, call, by_group, now):
    """Assign *call* to a group of *by_group* with capacity; return a ``JoinResult``.

    A request that was admitted before is not refused when it moves to another
    group, since it adds no load overall.
    """
    groups = forwarder.groups(call)
    if groups is None or call.group in by_group or not by_group:
        return JoinResult.JOINED
    left_ms = call.deadline_ms - now
    is_retry = admission_control.is_caller_retry(left_ms, call.route.timeout_ms)
    if call.group is not None:
        group = groups.choose(by_group, now, is_retry, forwarder.rng)
        assign_group(forwarder, call, group or next(iter(by_group)))
        return JoinResult.JOINED
    if call.admission_draw is None:
        # Drawn only once per request: with a new draw at each poll, an admitted share
        # of a tenth admitted two of three callers.
        call.admission_draw = forwarder.rng.random()
    # After an outage the first decode steps are long however many requests are refused,
    # and callers past their latency target are queued there, so groups that opened
    # recently are not checked for overload.
    stable = [g for g in by_group if not forwarder.outages.opened_recently(g, now)]
    usable = groups.not_overloaded(stable, now, is_retry, call.admission_draw)
    usable += [group for group in by_group if group not in stable]
    log_overload(forwarder, call.service, groups, stable, now)
    if not usable:
        return JoinResult.OVERLOADED
    if is_past_latency_target(call, now):
        usable = groups_past_target(forwarder, call, usable, now)
        if not usable:
            return JoinResult.FULL
    group = groups.choose(usable, now, is_retry, forwarder.rng)
    if group is None:
        return JoinResult.FULL
    assign_group(forwarder, call, group)
    return JoinResult.JOINED


def groups_past_target(forwarder, call, usable, now):
    """Return the groups of *usable* that *call* may join past its latency target.

    For a group that opened recently, the call is queued for a slot.
    """
    stable = [g for g in usable if not forwarder.outages.opened_recently(g, now)]
    if stable:
        return stable
    groups = forwarder.groups(call)
    if call.queue_key is None:
        left_ms = call.deadline_ms - call.arrived_ms
        is_retry = admission_control.is_caller_retry(left_ms, call.route.timeout_ms)
        call.queue_key = not is_retry, disconnect_limit_ms(call), id(call)
        groups.queue.enter(call.queue_key)
    if call.deadline_ms - now < outage.TYPICAL_ANSWER_MS:
        return []
    spare = groups.free_slots(usable)
    is_next = groups.queue.ahead_of(call.queue_key) < sum(spare.values())
    return list(spare) if is_next else []


def leave(forwarder, call):
    """Remove *call*, which has ended, from its group and from the queue."""
    assign_group(forwarder, call, None)
    if call.queue_key is not None:
        forwarder.groups(call).queue.leave(call.queue_key)


def log_overload(forwarder, service, groups, by_group, now):
    """Log the start and the end of an overload of each group of *by_group*."""
    for group in by_group:
        controller = groups.controller(group)
        share = controller.long_window_admitted_share(now)
        key = service, group
        if (share < 1) == (key in forwarder.overloaded_groups):
            continue
        forwarder.overloaded_groups ^= {key}
        if share < 1:
            forwarder.counters.incr("overload_began")
        log.info(
            "overload",
            service=service,
            group=group,
            on=share < 1,
            lasting_ms=round(controller.long_window.value, 1),
            pause_ms=controller.median_gap_ms,
            streams=controller.in_flight,
        )


def refuse(forwarder, call, result):
    """Refuse *call* because of *result* (``FULL`` or ``OVERLOADED``).

    The response has a ``Retry-After`` that the caller's deadline permits.
    """
    groups, now = forwarder.groups(call), forwarder.clock.now()
    controllers = [groups.controller(group) for group in groups.share_by_group]
    is_overload = result is JoinResult.OVERLOADED
    retry_after_ms = forwarder.rng.uniform(
        *(OVERLOAD_RETRY_AFTER_RANGE_MS if is_overload else RETRY_AFTER_RANGE_MS)
    )
    responses.respond(
        forwarder,
        call.request,
        503,
        result.value,
        min(retry_after_ms, outage.max_retry_after_ms(call.deadline_ms - now)),
        service=call.service,
        pause_ms=[controller.median_gap_ms for controller in controllers],
        lasting_ms=[
            round(controller.long_window.value, 1) for controller in controllers
        ],
        let_in=[round(controller.admitted_share(now), 2) for controller in controllers],
    )
