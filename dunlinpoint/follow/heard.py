"""Whether a control has heard of an endpoint since a connection to it ended.

Controls send no news of heartbeats that change nothing, so they are asked.
"""

from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.answers import life_check
from dunlinpoint.follow import controls
from dunlinpoint.wire import errors

log = logs.logger("follow")

TIMEOUT_MS = 400
# What was on its way to the control when its sender ended arrives within this time.
MARGIN_MS = 250


def evidence_of(reports, member, ended_ms, asked_ms, margin_ms=MARGIN_MS):
    """The ``Evidence`` in *reports*, a control's answer to a question of *asked_ms*.

    Ages are as of some moment after the question, so the message that an age is of was
    received no earlier than that much before the question.
    """

    def is_after(age_ms):
        return age_ms is not None and asked_ms - age_ms > ended_ms + margin_ms

    for report in reports:
        known = report.endpoint_id, report.incarnation or 0
        if known != (member.endpoint_id, member.incarnation or 0):
            continue
        if is_after(report.gone_age_ms):
            return life_check.Evidence.DEREGISTERED
        if is_after(report.heartbeat_age_ms):
            return life_check.Evidence.HEARTBEAT
    return life_check.Evidence.NONE


def ask(view, member, ended_ms, margin_ms=MARGIN_MS):
    """Ask all controls of *view* about *member*, a connection to which has ended.

    A Deferred of the first ``Evidence`` that one of them gives, or ``NONE`` once all
    have answered without any, at the latest after ``TIMEOUT_MS``. *ended_ms* is the
    time of the end by this process's clock. Only what was received more than
    *margin_ms* after it counts.
    """
    nothing = life_check.Evidence.NONE
    asked_ms = view.clock.now()
    found = defer.Deferred()

    def settle(evidence):
        if not found.called:
            found.callback(evidence)

    def answered(reports):
        evidence = evidence_of(reports, member, ended_ms, asked_ms, margin_ms)
        if evidence is not nothing:
            settle(evidence)

    def failed(failure):
        # A control of an earlier version, which does not know the call, among others.
        if not failure.check(errors.WireError):
            log.error("heard_failed", error=failure.getErrorMessage())

    # A call that times out on a silent link closes it. With a shorter time than that of
    # a poll, it would end polls that wait on the link for a change.
    limit_ms = view.wait_ms + controls.CONTROL_TIMEOUT_MS
    calls = [
        followed.link.call("heard", [member.endpoint_id], timeout_ms=limit_ms)
        .addCallback(answered)
        .addErrback(failed)
        for followed in view.controls.all()
    ]
    timer = view.clock.call_later(TIMEOUT_MS, settle, nothing)
    found.addBoth(_cancel, timer)
    defer.DeferredList(calls).addCallback(lambda _: settle(nothing))
    return found


def _cancel(result, timer):
    if timer.active():
        timer.cancel()
    return result
