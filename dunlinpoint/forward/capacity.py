"""Capacity of rank groups: which group a stream joins, and who waits or is refused."""

import re

from dunlinpoint import logs
from dunlinpoint.admission import by_urgency, decision, retry_after, uniform, urgency
from dunlinpoint.forward import responses
from dunlinpoint.routing import outage

log = logs.logger("entry")

JoinResult = decision.JoinResult

# Maximum wait for capacity as a share of the latency target of the first event. Prompt
# processing takes most of the rest.
WAIT_SHARE = 0.5
MAX_WAIT_MS = 300
# Interval of the polls for capacity: a few per decode step.
POLL_INTERVAL_MS = 25
# The same for callers that are queued after an outage, which wait longer.
QUEUED_POLL_INTERVAL_MS = 50


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
        if call.group is None and groups.competition is not None:
            by_urgency.joined(groups.competition, call, forwarder.clock.now())
    call.group = group
    if call.queue_key is not None:
        groups.queue.leave(call.queue_key)
        call.queue_key = None


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
    if call.group is not None:
        is_retry = decision.is_retry(call, now)
        group = groups.choose(by_group, now, is_retry, forwarder.rng)
        assign_group(forwarder, call, group or next(iter(by_group)))
        return JoinResult.JOINED
    outages = forwarder.outages
    opened = frozenset(g for g in by_group if outages.opened_recently(g, now))
    seen = decision.Situation(groups, list(by_group), opened, now, forwarder.rng)
    log_overload(forwarder, call.service, groups, seen.stable, now)
    decide = uniform if groups.competition is None else by_urgency
    result, group = decide.find_group(seen, call, disconnect_limit_ms(call))
    if result is JoinResult.JOINED:
        assign_group(forwarder, call, group)
    return result


def leave(forwarder, call):
    """Remove *call*, which has ended, from its group and from all queues."""
    assign_group(forwarder, call, None)
    groups = forwarder.groups(call)
    if groups is None:
        return
    if call.queue_key is not None:
        groups.queue.leave(call.queue_key)
    if groups.competition is not None and call.competitor is not None:
        groups.competition.leave(call.competitor, forwarder.clock.now())


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
    left_ms = call.deadline_ms - now
    is_overload = result is JoinResult.OVERLOADED
    if groups.competition is None:
        cause = result.value
        retry_after_ms = retry_after.draw_ms(is_overload, forwarder.rng)
    else:
        cause = call.competitor.cause(is_overload)
        retry_after_ms = retry_after.after_refusal_ms(
            is_overload, left_ms, call.route.timeout_ms, forwarder.rng
        )
    responses.respond(
        forwarder,
        call.request,
        503,
        result.value,
        min(retry_after_ms, outage.max_retry_after_ms(left_ms)),
        service=call.service,
        pause_ms=[controller.median_gap_ms for controller in controllers],
        lasting_ms=[
            round(controller.long_window.value, 1) for controller in controllers
        ],
        let_in=[round(controller.admitted_share(now), 2) for controller in controllers],
        **record_refused(forwarder, call, cause),
    )


def record_refused(forwarder, call, cause):
    """Count the refusal of a competing caller; return its log fields.

    They tell why this caller was refused rather than another. There are none for a
    service whose callers do not compete.
    """
    groups = forwarder.groups(call)
    if groups is None or groups.competition is None:
        return {}
    caller = call.competitor
    level = urgency.text(urgency.of(call.route, call.workspace))
    workspace = "" if call.workspace is None else call.workspace.name
    forwarder.counters.incr(f"refused_by_urgency.{level}.{cause}")
    fields = {"urgency": level, "workspace": workspace, "cause": cause}
    if caller is not None:
        if caller.is_reduced():
            name = re.sub(r"\W", "_", workspace)
            forwarder.counters.incr(f"refused_by_workspace.{name}.{cause}")
        fields["returned"] = caller.is_retry
        fields["share"], fields["draw"] = round(caller.share, 3), round(caller.draw, 3)
    return fields
