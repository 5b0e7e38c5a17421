"""Admission of callers that do not compete: their routes have one priority.

Each caller is admitted at random by the overall share, whoever it is.
"""

from dunlinpoint.admission import decision
from dunlinpoint.routing import outage

JoinResult = decision.JoinResult


def find_group(seen, call, gives_up_ms):
    """Return the ``JoinResult`` of *call*, and the group that it may join or ``None``.

    *seen* is a ``Situation``. *call* has no group yet; its caller would give up at
    *gives_up_ms*.
    """
    groups, now = seen.groups, seen.now
    is_retry = decision.is_retry(call, now)
    if call.admission_draw is None:
        # Drawn only once per request: with a new draw at each poll, an admitted share
        # of a tenth admitted two of three callers.
        call.admission_draw = seen.rng.random()
    usable = groups.not_overloaded(seen.stable, now, is_retry, call.admission_draw)
    usable += [group for group in seen.usable if group in seen.opened]
    if not usable:
        return JoinResult.OVERLOADED, None
    if decision.is_past_latency_target(call, now):
        usable = _groups_past_target(seen, call, usable, gives_up_ms)
        if not usable:
            return JoinResult.FULL, None
    group = groups.choose(usable, now, is_retry, seen.rng)
    return (JoinResult.FULL if group is None else JoinResult.JOINED), group


def _groups_past_target(seen, call, usable, gives_up_ms):
    """Return the groups of *usable* that *call* may join past its latency target.

    For a group that opened recently, the call is queued for a slot.
    """
    stable = [group for group in usable if group not in seen.opened]
    if stable:
        return stable
    groups = seen.groups
    if call.queue_key is None:
        is_retry = decision.is_retry(call, call.arrived_ms)
        call.queue_key = not is_retry, gives_up_ms, id(call)
        groups.queue.enter(call.queue_key)
    if call.deadline_ms - seen.now < outage.TYPICAL_ANSWER_MS:
        return []
    spare = groups.free_slots(usable)
    is_next = groups.queue.ahead_of(call.queue_key) < sum(spare.values())
    return list(spare) if is_next else []
