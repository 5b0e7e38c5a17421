"""The guarantees, checked against callers' and backends' records.

Time bounds are checked only for processes that no fault touched shortly before.
Guarantees that hold always (own answers, at most once, not executed, no version
regression) are checked whatever faults occurred.
"""

from dunlinpoint.soak import servers

DRAIN_GRACE_S = 2.5
IN_FORCE_BOUND_S = 2.0
# Time after a fault during which a process is exempt from time bounds.
FAULT_GRACE_S = 4.0
# A request that took longer may have been ended by its caller's deadline.
SLOW_READ_S = 2.8
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Response modes in which a backend sends part of an answer or none.
TRUNCATING_MODES = {"drop", "break"}


def violations(cluster, results, operator):
    """One line for each violated guarantee."""
    executions = by_request_id(cluster.executions)
    found = []
    for request in results:
        found += _check_own_answer(request)
        found += _check_whole_answer(
            cluster, request, executions.get(request.request_id, [])
        )
        found += _check_at_most_once(request, executions.get(request.request_id, []))
        found += _check_planned_stop(
            cluster, request, executions.get(request.request_id, [])
        )
    found += _check_no_regression(operator)
    found += _check_drained(cluster, operator)
    return found


def by_request_id(executions):
    """The *executions* of each request, in order."""
    found = {}
    for execution in executions:
        found.setdefault(execution.request_id, []).append(execution)
    return found


def _check_own_answer(request):
    if request.status != 200:
        if request.signature and request.status != 500:
            return [
                f"{request.request_id}: {request.status} with a backend's signature"
            ]
        return []
    if request.signature is None:
        return [f"{request.request_id}: status 200 without a backend's signature"]
    if request.path_prefix in ("/stream/", servers.LARGE_STREAM_PREFIX):
        expected = servers.stream_of(request.path_prefix, request.request_id)
        if request.is_complete and request.body != expected:
            return [f"{request.request_id}: a stream ended normally with wrong content"]
        if not expected.startswith(request.body[: request.body.rfind(b"\n\n") + 2]):
            return [f"{request.request_id}: a stream with missing or foreign events"]
        return []
    if request.is_complete and request.body != servers.body_of(request.request_id):
        return [f"{request.request_id}: a complete answer that is not its own"]
    return []


def _check_whole_answer(cluster, request, executions):
    """An answer that a backend sent whole looks complete, marked or not.

    Not checked if a fault touched the link to the backend shortly before or meanwhile,
    if the backend crashed or a fault touched the entry meanwhile (a planned stop is
    none), or if the caller left the answer unread or its deadline was near.
    """
    if request.status == 200 and request.is_complete:
        return []
    span = request.sent_s, request.ended_s
    if request.was_left_unread or span[1] - span[0] > SLOW_READ_S:
        return []
    node = next(n for n in cluster.entries if n.name == request.entry)
    if _any_within(set(node.disturbed_s) - set(node.stopped_s), *span):
        return []
    return [
        f"{request.request_id}: {execution.server_id} sent its answer whole"
        f" (marked: {execution.marks_end}), its caller did not get it"
        for execution in executions
        if execution.is_whole
        and not _has_crashed(cluster, execution, span)
        and not _any_within(
            cluster.link_faults_s_by_id.get(execution.server_id, ()),
            span[0] - FAULT_GRACE_S,
            span[1],
        )
    ]


def _has_crashed(cluster, execution, span):
    """Whether the backend of *execution* crashed during *span*."""
    return any(
        backend.server_id == execution.server_id
        and _any_within(backend.crashed_s, *span)
        for backend in cluster.backends
    )


def _check_at_most_once(request, executions):
    if request.path_prefix != "/once/":
        return []
    if len(executions) > 1:
        return [f"{request.request_id}: executed {len(executions)} times"]
    if executions and request.status in NOT_EXECUTED_STATUSES:
        return [
            f"{request.request_id}: executed despite {request.status} (not executed)"
        ]
    return []


def _check_planned_stop(cluster, request, executions):
    """A request in flight at a planned stop of its entry gets its complete answer.

    Not checked if a backend truncated the answer or crashed, if a link fault occurred
    shortly before or during the request, if an answer that nobody marked was left
    unread (its backend may have given it up), or if the request's deadline was shorter
    than a stream takes.
    """
    node = next(n for n in cluster.entries if n.name == request.entry)
    span = request.sent_s, request.ended_s
    if not _any_within(node.stopped_s, *span):
        return []
    if (request.status and request.is_complete) or not executions:
        return []
    if any(execution.response_mode in TRUNCATING_MODES for execution in executions):
        return []
    if request.path_prefix == servers.LARGE_STREAM_PREFIX and (
        request.ended_s - request.sent_s > SLOW_READ_S
    ):
        # Its caller may have read so slowly that its own deadline ended it.
        return []
    if request.deadline_ms < servers.STREAM_MS:
        return []
    if request.was_left_unread and not all(e.marks_end for e in executions):
        return []
    if _any_within(cluster.link_faults_s, span[0] - FAULT_GRACE_S, span[1]):
        return []
    if any(_has_crashed(cluster, execution, span) for execution in executions):
        return []
    return [f"{request.request_id}: interrupted by a planned stop of {request.entry}"]


def _check_no_regression(operator):
    found = []
    for read in operator.reads:
        newest = max(
            (
                a.version
                for a in operator.acknowledged
                if a.at_s + IN_FORCE_BOUND_S < read.requested_s
            ),
            default=0,
        )
        if read.version < newest:
            found.append(
                f"{read.node} shows document {read.version}, {newest} was acknowledged"
            )
    return found


def _any_within(times_s, first_s, last_s):
    return any(first_s <= at_s <= last_s for at_s in times_s)


def _check_drained(cluster, operator):
    """A draining backend receives no new requests after ``DRAIN_GRACE_S``.

    Checked only if no fault touched an entry or a control in between.
    """
    found = []
    nodes = cluster.entries + cluster.controls
    for drained in operator.drained:
        executions = [e for e in cluster.executions if e.server_id == drained.server_id]
        late = [
            execution
            for execution in executions
            if execution.at_s > drained.at_s + DRAIN_GRACE_S
            and not any(
                _any_within(n.disturbed_s, drained.at_s - FAULT_GRACE_S, execution.at_s)
                for n in nodes
            )
        ]
        if late:
            found.append(f"{drained.server_id} got {len(late)} requests while draining")
    return found
