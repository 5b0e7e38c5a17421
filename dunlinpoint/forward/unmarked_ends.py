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
    - ``ended_ms``: when it ended, by the local clock.
    - ``had_left``: whether its endpoint had announced its end by then.
    - ``not_asked``: why no other endpoint is asked (``str``), as far as is known.
    - ``asks_another``: whether another endpoint may be asked before it is decided on.
    - ``checks``: the ``Check`` of each that was made.
    - ``evidence``: what is known by now of its endpoint.
    - ``was_leaving``: whether that had announced that it leaves.
    - ``pending_check``: a Deferred that fires once its endpoint's check has ended.
    - ``check_until_ms``: until when its endpoint is checked, if nobody else is asked.
    """

    member: object
    plain: responses.PlainAnswer | None
    framing: http_heads.Framing
    at_endpoint: int
    was_left_unread: bool
    silence_ms: int
    ended_ms: int = 0
    had_left: bool = False
    not_asked: str | None = None
    asks_another: bool = False
    checks: list = attrs.field(factory=list)
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
            now,
        )

    def was_cut(self):
        """Whether its endpoint may have cut it itself, as far as this entry saw."""
        return completeness.was_cut(self.was_left_unread, self.silence_ms)

    def completeness(self, asks_another):
        """The ``Completeness``, by whether another endpoint may still be asked."""
        if self.was_cut():
            return completeness.Completeness.INCOMPLETE
        life = self.evidence.life
        if self.plain is None:
            return completeness.of_stream(life, asks_another)
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
        known = self.completeness(asks_another=False)
        return known is not completeness.Completeness.INCOMPLETE


def why_not_asked(forwarder, call):
    """Why nobody else may be asked for the answer to *call*, ``None`` if one may."""
    return end_checks.why_not_asked(
        routes.is_repeatable(call.route),
        call.route.max_attempts - call.attempts,
        call.events.is_resumable,
        time_left(forwarder, call).allows_asking(call.streaming),
    )


def time_left(forwarder, call):
    """The ``TimeLeft`` for the checks of an answer to *call*."""
    now = forwarder.clock.now()
    return end_checks.TimeLeft.at(now, call.deadline_ms, forwarder.stop_ms)


@defer.inlineCallbacks
def judge(forwarder, call, answer):
    """Check the endpoint of *answer*; a Deferred of the ``Completeness``.

    Where another endpoint may be asked, checks that take long are left for
    :func:`settle_kept`: it may answer sooner.
    """
    member = answer.member
    left = time_left(forwarder, call)
    answer.had_left = forwarder.view.has_left(member.endpoint_id)
    answer.not_asked = why_not_asked(forwarder, call)
    answer.asks_another = answer.not_asked is None and not ends_stream(call, answer)
    limit_ms = left.limit_ms(call.streaming)
    answer.check_until_ms = answer.ended_ms + limit_ms
    if answer.asks_another:
        limit_ms = left.first_limit_ms()
    answer.checks.append(end_checks.Check.FIRST)
    answer.evidence = yield forwarder.life_checks.check(member, limit_ms)
    answer.was_leaving = forwarder.view.is_leaving(member.endpoint_id)
    if not answer.asks_another:
        yield check_again(forwarder, call, answer)
    known = answer.completeness(answer.asks_another)
    forwarder.counters.incr(f"endpoint.unmarked_end.{known.value}")
    forwarder.counters.incr(f"endpoint.evidence.{answer.evidence.value}")
    log_end(forwarder, call, answer, known)
    record(forwarder, answer, known)
    if known is completeness.Completeness.INCOMPLETE:
        record_cut(call, answer)
    return known


def ends_stream(call, answer):
    """Whether *answer*, a run that only repeated an event, ends its stream."""
    if answer.plain is not None:
        return False
    return not call.runs[-1].events and continuation.is_rest(call.runs)


def log_end(forwarder, call, answer, known):
    """Log what is *known* of *answer*, and from what."""
    call.end_checks, call.not_asked = answer.checks, answer.not_asked
    log.info(
        "unmarked_end",
        request=responses.header_text(call.request_id),
        endpoint_id=answer.member.endpoint_id,
        outcome=known.value,
        evidence=answer.evidence.value,
        waited_ms=forwarder.clock.now() - answer.ended_ms,
        announced_leave=answer.was_leaving,
        unread=answer.was_left_unread,
        silence_ms=answer.silence_ms,
        events=call.events.count,
        framing=answer.framing.value,
        checks=[check.value for check in answer.checks],
        not_asked=answer.not_asked,
    )


@defer.inlineCallbacks
def check_again(forwarder, call, answer):
    """Do the checks of *answer* that a stream gets only if nobody else can be asked."""
    if answer.plain is not None or answer.was_cut():
        return
    member, checks = answer.member, forwarder.life_checks
    now = forwarder.clock.now()
    limit_ms = min(answer.check_until_ms - now, time_left(forwarder, call).all_ms())
    if end_checks.is_checked_twice(answer.evidence, limit_ms):
        answer.checks.append(end_checks.Check.SECOND)
        delay_ms = end_checks.second_delay_ms(now - answer.ended_ms)
        later = yield checks.check(member, limit_ms, delay_ms)
        if later.life is life_check.Life.ENDED:
            answer.evidence = later
    answer.was_leaving = forwarder.view.is_leaving(member.endpoint_id)
    if end_checks.waits_for_leave(answer.evidence, answer.was_leaving, answer.had_left):
        answer.checks.append(end_checks.Check.LEAVE)
        limit_ms -= forwarder.clock.now() - now
        if (yield wait_for_leave(forwarder, member, answer.ended_ms, limit_ms)):
            answer.evidence = life_check.Evidence.DEREGISTERED


@defer.inlineCallbacks
def settle_kept(forwarder, call, not_asked):
    """Do the checks that were left out while another endpoint was asked.

    *not_asked* (``str``) tells why no further one is asked. A Deferred that fires once
    it is known whether the answer that was kept, if there is one, is whole.
    """
    answer = call.unconfirmed
    if answer is None:
        return
    answer.not_asked = answer.not_asked or not_asked
    limit_ms = time_left(forwarder, call).last_limit_ms()
    until_ms = forwarder.clock.now() + limit_ms
    answer.check_until_ms = max(answer.check_until_ms, until_ms)
    yield wait_for_check(forwarder, answer)
    if call.unconfirmed is answer and not call.disconnected:
        yield check_again(forwarder, call, answer)
        if answer.plain is None:
            log_end(forwarder, call, answer, answer.completeness(asks_another=False))


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

    One whose endpoint has ended since may have been whole.
    """
    if answer.plain is None and answer.was_cut():
        call.runs[-1] = attrs.evolve(call.runs[-1], end=continuation.RunEnd.CUT)


def may_be_asked_again(call, known):
    """Whether another endpoint is asked before an answer is passed on."""
    return known is completeness.Completeness.UNCONFIRMED and routes.is_repeatable(
        call.route
    )


def may_prove_whole(call, answer):
    """Whether *answer*, which counts as broken, may still be found to be whole.

    It takes the place of an answer that is kept, and so not that of one that may be
    passed on.
    """
    kept = call.unconfirmed
    if not answer.asks_another or answer.was_cut():
        return False
    if kept is not None and kept.may_be_passed_on(call):
        return False
    if answer.plain is None and not continuation.is_rest(call.runs):
        return False
    return answer.evidence is life_check.Evidence.NONE or (
        answer.plain is None
        and end_checks.waits_for_leave(
            answer.evidence, answer.was_leaving, answer.had_left
        )
    )


def keep(forwarder, call, answer):
    """Keep *answer* while another endpoint is asked."""
    drop(forwarder, call)
    call.unconfirmed = answer
    now = forwarder.clock.now()
    if answer.evidence.life is life_check.Life.ALIVE:
        call.confirm_until_ms = min(
            now + end_checks.CONFIRM_LIMIT_MS,
            call.deadline_ms - end_checks.MAX_LAST_MS,
        )
        return
    call.confirm_until_ms = call.deadline_ms
    if answer.evidence is not life_check.Evidence.NONE:
        return
    answer.check_until_ms = answer.ended_ms + end_checks.MAX_MS
    limit_ms = time_left(forwarder, call).all_ms()
    answer.pending_check = forwarder.life_checks.check(answer.member, limit_ms)
    answer.pending_check.addCallback(functools.partial(setattr, answer, "evidence"))
    answer.pending_check.addErrback(_check_failed)


def _check_failed(failure):
    log.error("look_failed", error=failure.getTraceback())


def wait_for_check(forwarder, answer):
    """A Deferred that fires once the pending check of *answer* has ended, if any.

    That is at the latest at its ``check_until_ms``.
    """
    if not answer.has_pending_check():
        return defer.succeed(None)
    limit_ms = max(0, answer.check_until_ms - forwarder.clock.now())
    timer = forwarder.clock.call_later(limit_ms, answer.end_check)
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

    limit_ms = max(0, call.confirm_until_ms - forwarder.clock.now())
    return forwarder.clock.call_later(limit_ms, close)


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
