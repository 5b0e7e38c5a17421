"""Admission of competing callers: the most urgent first, each with a kept part."""

from dunlinpoint.admission import competition, decision, urgency
from dunlinpoint.routing import outage

JoinResult = decision.JoinResult


def find_group(seen, call, gives_up_ms):
    """Return the ``JoinResult`` of *call*, and the group that it may join or ``None``.

    The arguments are as in :func:`uniform.find_group`.
    """
    competing, now = seen.groups.competition, seen.now
    if call.competitor is None:
        call.competitor = _arrive(seen, call)
    caller = call.competitor
    if caller.group in seen.usable:
        return JoinResult.JOINED, caller.group
    # The group that it was given has stalled in the meantime.
    caller.group = None
    usable = [group for group in seen.stable if not _is_shed(seen, caller, group)]
    usable += [group for group in seen.usable if group in seen.opened]
    if not usable:
        return JoinResult.OVERLOADED, None
    is_past_target = decision.is_past_latency_target(call, now)
    if is_past_target and seen.opened.issuperset(usable):
        return _after_outage(seen, call, usable, gives_up_ms)
    drawn = seen.groups.choose(usable, now, caller.is_retry, seen.rng)
    group = competing.take(caller, drawn, now)
    return (JoinResult.FULL if group is None else JoinResult.JOINED), group


def joined(competing, call, now):
    """Record that *call* joined a group."""
    if call.competitor is None:
        # It began before its service's callers competed.
        return
    competing.joined(call.competitor, now)


def _arrive(seen, call):
    timeout_ms = call.route.timeout_ms
    elapsed_ms = timeout_ms - (call.deadline_ms - call.arrived_ms)
    caller = competition.Caller(
        urgency.of(call.route, call.workspace),
        call.workspace.name if call.workspace is not None else "",
        decision.is_retry(call, call.arrived_ms),
        seen.rng.random(),
    )
    seen.groups.competition.arrive(caller, elapsed_ms, seen.now)
    return caller


def _is_shed(seen, caller, group):
    share = seen.groups.controller(group).long_window_admitted_share(seen.now)
    return seen.groups.competition.is_shed(caller, group, share, seen.now)


def _after_outage(seen, call, usable, gives_up_ms):
    """Queue *call* for a slot of the groups of *usable*, which opened recently."""
    groups, caller = seen.groups, call.competitor
    spare = groups.free_slots(usable)
    is_next = groups.competition.is_next_after_outage(
        caller, gives_up_ms, sum(spare.values()), seen.now
    )
    call.queue_key = caller.key
    if call.deadline_ms - seen.now < outage.TYPICAL_ANSWER_MS or not is_next:
        return JoinResult.FULL, None
    group = groups.choose(list(spare), seen.now, caller.is_retry, seen.rng)
    return (JoinResult.FULL if group is None else JoinResult.JOINED), group
