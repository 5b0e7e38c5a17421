"""The promises, judged from what callers and back ends saw.

Bounds in time hold where no fault touched the process in question shortly
before; what holds always (own answers, at most once, not run, no way back) is
judged without any excuse.
"""

from dunlinpoint.soak import servers

DRAIN_S = 2.5
IN_FORCE_S = 2.0
# How long after a fault a process is not held to bounds in time.
CALM_S = 4.0
NOT_RUN = (408, 421, 429, 503)
# Moods of a back end in which it ends an answer before its end.
BROKE_OFF = {"drop", "break"}


def broken(world, seen, operator):
    """Every promise that was broken, as lines of text."""
    runs = {}
    for run in world.runs:
        runs.setdefault(run.request_id, []).append(run)
    found = []
    for request in seen:
        found += _own_answer(request)
        found += _at_most_once(request, runs.get(request.request_id, []))
        found += _planned_stop(world, request, runs.get(request.request_id, []))
    found += _no_way_back(operator)
    found += _drained(world, operator)
    return found


def _own_answer(request):
    if request.status != 200:
        if request.mark and request.status != 500:
            return [f"{request.request_id}: {request.status} with a server's mark"]
        return []
    if request.mark is None:
        return [f"{request.request_id}: a success without a server's mark"]
    if request.kind == "/stream/":
        events = [
            servers.event(request.request_id, n) for n in range(1, servers.EVENTS + 1)
        ]
        whole = b"".join(events)
        if request.whole and request.body != whole:
            return [f"{request.request_id}: a stream ended as whole that is not"]
        if not whole.startswith(request.body[: request.body.rfind(b"\n\n") + 2]):
            return [f"{request.request_id}: a stream with events missing or foreign"]
        return []
    if request.whole and request.body != servers.body_of(request.request_id):
        return [f"{request.request_id}: not its own whole answer"]
    return []


def _at_most_once(request, runs):
    if request.kind != "/once/":
        return []
    if len(runs) > 1:
        return [f"{request.request_id}: ran {len(runs)} times"]
    if runs and request.status in NOT_RUN:
        return [f"{request.request_id}: told {request.status} (not run) and ran"]
    return []


def _planned_stop(world, request, runs):
    """A request that was under way at a planned stop has its whole answer.

    Not judged where a back end broke off or the way to one was disturbed.
    """
    node = next(n for n in world.entries if n.name == request.entry)
    span = request.sent_s, request.ended_s
    if not _any_within(node.stopped_s, *span):
        return []
    if request.status and request.whole or not runs:
        return []
    if any(run.mood in BROKE_OFF for run in runs):
        return []
    if _any_within(world.link_faults_s, span[0] - CALM_S, span[1]):
        return []
    return [f"{request.request_id}: cut by a planned stop of {request.entry}"]


def _no_way_back(operator):
    found = []
    for read in operator.reads:
        newest = max(
            (a.version for a in operator.acked if a.at_s + IN_FORCE_S < read.asked_s),
            default=0,
        )
        if read.version < newest:
            found.append(
                f"{read.node} shows document {read.version}, {newest} was acknowledged"
            )
    return found


def _any_within(times_s, first_s, last_s):
    return any(first_s <= at_s <= last_s for at_s in times_s)


def _drained(world, operator):
    """A back end that is leaving gets nothing new after a while.

    Judged only where no process of ours was disturbed in between.
    """
    found = []
    nodes = world.entries + world.controls
    for drained in operator.drained:
        runs = [r for r in world.runs if r.server_id == drained.server_id]
        late = [
            run
            for run in runs
            if run.at_s > drained.at_s + DRAIN_S
            and not any(
                _any_within(n.disturbed_s, drained.at_s - CALM_S, run.at_s)
                for n in nodes
            )
        ]
        if late:
            found.append(f"{drained.server_id} got {len(late)} requests while leaving")
    return found
