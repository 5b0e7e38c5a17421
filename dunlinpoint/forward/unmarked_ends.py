"""Answers that ended with their connection: whole, broken, or asked for once more.

It is checked whether the endpoint lives on. Meanwhile the request no longer counts as
running there.
"""

import functools

import attrs
from twisted.internet import defer

from dunlinpoint import http_heads, logs
from dunlinpoint.answers import completeness, continuation, end_checks, life_check
from dunlinpoint.forward import bodies, responses, routes
from dunlinpoint.routing import pick

log = logs.logger("entry")


@attrs.define
class UnmarkedAnswer:
    """An answer of *member* that ended with its connection.

    - ``plain``: the ``PlainAnswer``, ``None`` for a stream.
    - ``framing``: the ``Framing`` of its head.
    - ``at_endpoint``: this entry's requests that were in flight there.
    - ``was_left_unread``: whether it may have ended because it was not read.
    - ``silence_ms``: of a stream, the time from its last byte to its end; 0 of a plain
      answer, or if this entry did not read meanwhile.
    - ``evidence``: what is known by now of its endpoint.
    - ``was_leaving``: whether that had announced that it leaves.
    - ``pending_check``: a Deferred that fires once its endpoint's check has ended.
    - ``check_until_ms``: until when that is waited for if nobody else can be asked.
    """

    member: object
    plain: responses.PlainAnswer | None
    framing: http_heads.Framing
    at_endpoint: int
    was_left_unread: bool
    silence_ms: int
    evidence: life_check.Evidence = life_check.Evidence.NONE
    was_leaving: bool = False
    pending_check: defer.Deferred | None = None
    check_until_ms: int = 0

    @classmethod
    def from_call(cls, call, member, now, plain=None):
        """The answer to *call* that ended at *now* (ms of the local clock)."""
        silence_ms = now - call.last_data_ms
        if plain is not None or call.source.explains_silence(now):
            silence_ms = 0
        return cls(
            member,
            plain,
            call.framing,
            call.in_flight_at_endpoint,
            call.source.explains_cut(now),
            silence_ms,
        )

    def was_cut(self):
        """Whether its endpoint may have cut it itself, as far as this entry saw."""
        return completeness.was_cut(self.was_left_unread, self.silence_ms)

    def completeness(self, may_ask_another):
        """The ``Completeness``, by whether another endpoint may be asked."""
        if self.was_cut():
            return completeness.Completeness.INCOMPLETE
        life = self.evidence.life
        if self.plain is None:
            return completeness.of_stream(life, may_ask_another)
        return completeness.of_plain(life, self.was_leaving)

    def end_check(self):
        """End the check of its endpoint, which else goes on until the deadline."""
        if self.has_pending_check():
            self.pending_check.callback(self.evidence)

    def has_pending_check(self):
        """Whether its endpoint is still being checked."""
        return self.pending_check is not None and not self.pending_check.called

    def may_be_passed_on(self, call):
        """Whether it is passed on if *call* gets no better answer."""
        if call.started and self.plain is not None:
            return False
        known = self.completeness(may_ask_another=False)
        return known is not completeness.Completeness.INCOMPLETE


def may_ask_another(forwarder, call):
    """Whether another endpoint may be asked for the answer to *call*, or its rest."""
    return (
        routes.is_repeatable(call.route)
        and call.attempts < call.route.max_attempts
        and call.events.is_resumable
        and not forwarder.lifecycle.is_draining()
    )


def check_limit_ms(forwarder, call):
    """How long the check of an endpoint may take before the answer is decided."""
    left_ms = max(0, call.deadline_ms - forwarder.clock.now())
    if may_ask_another(forwarder, call):
        return end_checks.first_limit_ms(left_ms)
    return end_checks.limit_ms(left_ms, call.streaming)


@defer.inlineCallbacks
def judge(forwarder, call, answer):
    """Check the endpoint of *answer*; a Deferred of the ``Completeness``."""
    member = answer.member
    began_ms = forwarder.clock.now()
    yield find_evidence(forwarder, call, answer, began_ms)
    known = answer.completeness(may_ask_another(forwarder, call))
    forwarder.counters.incr(f"endpoint.unmarked_end.{known.value}")
    forwarder.counters.incr(f"endpoint.evidence.{answer.evidence.value}")
    log.info(
        "unmarked_end",
        request=responses.header_text(call.request_id),
        endpoint_id=member.endpoint_id,
        outcome=known.value,
        evidence=answer.evidence.value,
        waited_ms=forwarder.clock.now() - began_ms,
        announced_leave=answer.was_leaving,
        unread=answer.was_left_unread,
        silence_ms=answer.silence_ms,
        events=call.events.count,
        framing=answer.framing.value,
    )
    record(forwarder, answer, known)
    if known is completeness.Completeness.INCOMPLETE:
        record_cut(call, answer)
    return known


@defer.inlineCallbacks
def find_evidence(forwarder, call, answer, began_ms):
    """Find what shows whether the endpoint of *answer* lives on; a Deferred."""
    member, checks = answer.member, forwarder.life_checks
    until_ms = began_ms + check_limit_ms(forwarder, call)
    had_left = forwarder.view.has_left(member.endpoint_id)
    answer.evidence = yield checks.check(member, until_ms - began_ms)
    answer.was_leaving = forwarder.view.is_leaving(member.endpoint_id)
    left_ms = until_ms - forwarder.clock.now()
    if is_checked_twice(forwarder, call, answer) and left_ms > 0:
        later = yield checks.check(member, left_ms, end_checks.SETTLE_MS)
        if later.life is life_check.Life.ENDED:
            answer.evidence = later
        answer.was_leaving = forwarder.view.is_leaving(member.endpoint_id)
        left_ms = until_ms - forwarder.clock.now()
    if waits_for_leave(forwarder, call, answer) and not had_left:
        if (yield wait_for_leave(forwarder, member, began_ms, left_ms)):
            answer.evidence = life_check.Evidence.DEREGISTERED


def is_checked_twice(forwarder, call, answer):
    """Whether only the life of its endpoint can show a stream to be whole.

    A stopping entry has no time for a second check.
    """
    asks_for_rest = may_ask_another(forwarder, call) and forwarder.budget.has_spare(
        call.service, forwarder.clock.now()
    )
    return (
        answer.plain is None
        and answer.evidence.life is life_check.Life.ALIVE
        and not asks_for_rest
        and not forwarder.lifecycle.is_draining()
    )


def waits_for_leave(forwarder, call, answer):
    """Whether only the end that its endpoint announces can show a stream to be whole.

    An endpoint that leaves may stop listening before that.
    """
    return (
        answer.plain is None
        and answer.was_leaving
        and answer.evidence.life is life_check.Life.ENDED
        and not may_ask_another(forwarder, call)
    )


@defer.inlineCallbacks
def wait_for_leave(forwarder, member, ended_ms, limit_ms):
    """Wait until *member* has announced its end; a Deferred of whether it has.

    The news may be late, so a control must have received it after *ended_ms*: a process
    that leaves and cuts its answers by its end has announced that before.
    """
    has_left = yield forwarder.changes.wait_for(
        lambda: forwarder.view.has_left(member.endpoint_id), limit_ms
    )
    if not has_left:
        return False
    found = yield forwarder.life_checks.heard(member, ended_ms, margin_ms=0)
    return found is life_check.Evidence.DEREGISTERED


def record(forwarder, answer, known):
    """Record what *answer*, of which *known* is known, tells of its endpoint."""
    incarnation = pick.incarnation_key(answer.member)
    if known is completeness.Completeness.INCOMPLETE:
        if not answer.was_left_unread:
            forwarder.picker.failed(incarnation, forwarder.clock.now())
        return
    forwarder.outages.data_received(answer.member)
    if answer.plain is None or answer.plain.head.code < 500:
        forwarder.picker.succeeded(incarnation)


def record_cut(call, answer):
    """Record that *answer*, an incomplete one, cannot have been a whole stream.

    One whose endpoint has ended since may have been whole, unless it added nothing.
    """
    if answer.plain is None and (answer.was_cut() or not call.runs[-1].events):
        call.runs[-1] = attrs.evolve(call.runs[-1], end=continuation.RunEnd.CUT)


def may_be_asked_again(call, known):
    """Whether another endpoint is asked before an answer is passed on."""
    return known is completeness.Completeness.UNCONFIRMED and routes.is_repeatable(
        call.route
    )


def may_prove_whole(forwarder, call, answer):
    """Whether *answer*, which counts as broken, may still be found to be whole.

    Nothing was heard of its endpoint before another one is asked. It takes the place of
    an answer that is kept, and so not that of one that may be passed on.
    """
    kept = call.unconfirmed
    return (
        answer.evidence is life_check.Evidence.NONE
        and not answer.was_cut()
        and (kept is None or not kept.may_be_passed_on(call))
        and may_ask_another(forwarder, call)
    )


def keep(forwarder, call, answer):
    """Keep *answer* while another endpoint is asked."""
    drop(forwarder, call)
    call.unconfirmed = answer
    now = forwarder.clock.now()
    if answer.evidence.life is life_check.Life.ALIVE:
        call.confirm_until_ms = now + end_checks.CONFIRM_LIMIT_MS
        return
    call.confirm_until_ms = call.deadline_ms
    if answer.evidence is not life_check.Evidence.NONE:
        return
    answer.check_until_ms = now + end_checks.MAX_MS - end_checks.MAX_FIRST_MS
    left_ms = max(0, call.deadline_ms - now)
    answer.pending_check = forwarder.life_checks.check(answer.member, left_ms)
    answer.pending_check.addCallback(functools.partial(setattr, answer, "evidence"))
    answer.pending_check.addErrback(_check_failed)


def _check_failed(failure):
    log.error("look_failed", error=failure.getTraceback())


def wait_for_check(forwarder, call):
    """A Deferred that fires once it is known whether the answer of *call* is whole.

    That is the one that was kept, and it fires at the latest at ``check_until_ms``.
    """
    answer = call.unconfirmed
    if answer is None or not answer.has_pending_check():
        return defer.succeed(None)
    left_ms = max(0, answer.check_until_ms - forwarder.clock.now())
    timer = forwarder.clock.call_later(left_ms, answer.end_check)
    ended = defer.Deferred()

    def end(_result):
        if timer.active():
            timer.cancel()
        ended.callback(None)

    answer.pending_check.addBoth(end)
    return ended


def is_confirmation_over(call, now):
    """Whether the rest of a stream that may be whole is no longer asked for."""
    return call.is_stream_unconfirmed() and now >= call.confirm_until_ms


def limit_confirmation(forwarder, call, connection):
    """Close *connection* once the rest of a stream has been asked for long enough.

    Returns the timer, ``None`` if no stream of *call* waits to be confirmed.
    """
    if not call.is_stream_unconfirmed():
        return None

    def close():
        if call.is_stream_unconfirmed():
            connection.close()

    left_ms = max(0, call.confirm_until_ms - forwarder.clock.now())
    return forwarder.clock.call_later(left_ms, close)


def drop(forwarder, call):
    """Release the answer that was kept, if there is one."""
    if call.unconfirmed is not None:
        release(forwarder, call, call.unconfirmed)
        call.unconfirmed = None


def release(forwarder, call, answer):
    """Discard *answer*, whose body no longer counts as held."""
    answer.end_check()
    if answer.plain is not None:
        bodies.release(forwarder, call, answer.plain)
