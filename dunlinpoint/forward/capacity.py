"""Room in groups of ranks: the group a stream joins, and who waits or is refused."""

import enum

from dunlinpoint import logs
from dunlinpoint.forward import answers
from dunlinpoint.routing import admission_control, latency, outage

log = logs.logger("entry")

# When a caller should come back that waited for room in vain: streams last a second or
# two, and as many end in that time as would have to.
RETRY_MS = (500, 1500)
# The same while long passes last. Those who come back sooner meet the same group, are
# refused again, and have no try left.
OVERLOAD_RETRY_MS = (1800, 2600)
# How long a request waits for room, as a part of the time in which its first event is
# due: reading its prompt takes most of the rest.
WAIT_SHARE = 0.5
WAIT_MS = 300
# How often it looks: a few times a pass.
POLL_INTERVAL_MS = 25
# The same for callers that wait their turn after an outage, which takes longer.
TURN_LOOK_MS = 50


class Room(enum.Enum):
    """What a request finds: a group, none for a moment, or long passes that last."""

    JOINED = "joined"
    FULL = "no_room"
    OVERLOADED = "overloaded"


def join(forward, call, group):
    """Count *call* at *group* of ranks and no longer at the one before."""
    groups = forward.groups(call)
    if groups is None or call.group == group:
        return
    if call.group is not None:
        groups.stream_ended(call.group)
    if group is not None:
        groups.controller(group).began()
    call.group = group
    if call.turn is not None:
        groups.queue.leave(call.turn)
        call.turn = None


def is_past_latency_target(call, now):
    """Whether the first event of *call* can't come within its aim any more."""
    route = call.route
    return latency.is_past_latency_target(
        call.deadline_ms - now, route.timeout_ms, route.aim_ms
    )


def leaves_ms(call):
    """Until when (ms) *call* may wait and still be answered whole.

    Its caller leaves without an event for a while, or has no time left for the rest.
    """
    event_timeout_ms = outage.event_timeout_ms(call.route.aim_ms, call.route.pause_ms)
    until_ms = call.heard_ms + event_timeout_ms - outage.FIRST_EVENT_RESERVE_MS
    return min(until_ms, call.deadline_ms - outage.TYPICAL_ANSWER_MS)


def wait_until(call):
    """Until when (ms) *call* waits for room: after that it could not be in time.

    A wait of a few passes bridges what a jump of demand takes; sent away, a caller is
    late when it comes back. One that waits its turn after an outage waits as long as
    it stays.
    """
    if call.turn is not None:
        return leaves_ms(call)
    wait_ms = min(WAIT_SHARE * call.route.aim_ms, WAIT_MS)
    return min(call.arrived_ms + wait_ms, call.deadline_ms)


def look_ms(call):
    """After how long *call* looks for room again."""
    return POLL_INTERVAL_MS if call.turn is None else TURN_LOOK_MS


def find(forward, call, by_group, now):
    """Have *call* join a group of *by_group* that has room; the ``Room`` found.

    A request that was let in once is not refused for room when it must go on
    elsewhere: it is no more of a load there than it was.
    """
    groups = forward.groups(call)
    if groups is None or call.group in by_group or not by_group:
        return Room.JOINED
    left_ms = call.deadline_ms - now
    returned = admission_control.is_caller_retry(left_ms, call.route.timeout_ms)
    if call.group is not None:
        group = groups.choose(by_group, now, returned, forward.rng)
        join(forward, call, group or next(iter(by_group)))
        return Room.JOINED
    if call.draw is None:
        # Drawn anew at each look, a share of a tenth let in two of three callers.
        call.draw = forward.rng.random()
    # The first passes after an outage are long whatever is refused, and late callers
    # wait their turn there.
    settled = [g for g in by_group if not forward.outages.opened_recently(g, now)]
    usable = groups.not_overloaded(settled, now, returned, call.draw)
    usable += [group for group in by_group if group not in settled]
    note_overload(forward, call.service, groups, settled, now)
    if not usable:
        return Room.OVERLOADED
    if is_past_latency_target(call, now):
        usable = open_to_late(forward, call, usable, now)
        if not usable:
            return Room.FULL
    group = groups.choose(usable, now, returned, forward.rng)
    if group is None:
        return Room.FULL
    join(forward, call, group)
    return Room.JOINED


def open_to_late(forward, call, usable, now):
    """Those of *usable* that *call*, which is late, may join now.

    In a group that opened lately it waits its turn for a slot.
    """
    settled = [g for g in usable if not forward.outages.opened_recently(g, now)]
    if settled:
        return settled
    groups = forward.groups(call)
    if call.turn is None:
        left_ms = call.deadline_ms - call.arrived_ms
        returned = admission_control.is_caller_retry(left_ms, call.route.timeout_ms)
        call.turn = not returned, leaves_ms(call), id(call)
        groups.queue.enter(call.turn)
    if call.deadline_ms - now < outage.TYPICAL_ANSWER_MS:
        return []
    spare = groups.free_slots(usable)
    is_next = groups.queue.ahead_of(call.turn) < sum(spare.values())
    return list(spare) if is_next else []


def leave(forward, call):
    """*call* is over: it is at no group and waits for none."""
    join(forward, call, None)
    if call.turn is not None:
        forward.groups(call).queue.leave(call.turn)


def note_overload(forward, service, groups, by_group, now):
    """Log when long passes of a group begin, or cease, to have requests refused."""
    for group in by_group:
        found = groups.controller(group)
        share = found.long_window_admitted_share(now)
        key = service, group
        if (share < 1) == (key in forward.overloaded):
            continue
        forward.overloaded ^= {key}
        if share < 1:
            forward.counters.incr("overload_began")
        log.info(
            "overload",
            service=service,
            group=group,
            on=share < 1,
            lasting_ms=round(found.long_window.value, 1),
            pause_ms=found.median_gap_ms,
            streams=found.in_flight,
        )


def refuse(forward, call, found):
    """Refuse *call* for the want of room *found*, and say when to come back."""
    groups, now = forward.groups(call), forward.clock.now()
    paces = [groups.controller(group) for group in groups.share_by_group]
    lasting = found is Room.OVERLOADED
    retry_ms = forward.rng.uniform(*(OVERLOAD_RETRY_MS if lasting else RETRY_MS))
    answers.answer(
        forward,
        call.request,
        503,
        found.value,
        min(retry_ms, outage.max_retry_after_ms(call.deadline_ms - now)),
        service=call.service,
        pause_ms=[seen.median_gap_ms for seen in paces],
        lasting_ms=[round(seen.long_window.value, 1) for seen in paces],
        let_in=[round(seen.admitted_share(now), 2) for seen in paces],
    )
