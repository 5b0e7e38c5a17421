"""What an unmarked end tells of the endpoint."""

import types

import pytest
from twisted.internet import defer, task

from dunlinpoint import clock, http_heads
from dunlinpoint.answers import completeness, continuation, end_checks, life_check
from dunlinpoint.config import document as config
from dunlinpoint.forward import responses, unmarked_ends
from dunlinpoint.routing import backpressure, pick
from dunlinpoint.wire.gen.dunlin import ttypes

MEMBER = ttypes.Member(endpoint_id="a", host="h", port=1)
NOW_MS = 1000


def failures_after(status):
    """The failures on record of an endpoint that failed and then answers *status*."""
    picker = pick.Picker("z1")
    picker.failed(pick.incarnation_key(MEMBER), NOW_MS)
    forwarder = types.SimpleNamespace(
        clock=types.SimpleNamespace(now=lambda: NOW_MS),
        stop_ms=None,
        life_checks=types.SimpleNamespace(
            check=lambda member, limit_ms: defer.succeed(life_check.Evidence.ANSWERED)
        ),
        view=types.SimpleNamespace(
            is_leaving=lambda endpoint_id: False, has_left=lambda endpoint_id: False
        ),
        counters=types.SimpleNamespace(incr=lambda name: None),
        outages=types.SimpleNamespace(data_received=lambda member: None),
        picker=picker,
    )
    head = types.SimpleNamespace(code=status)
    plain = responses.PlainAnswer(head, (), 0, False)
    answer = unmarked_ends.UnmarkedAnswer(
        MEMBER, plain, http_heads.Framing.CLOSE, 0, False, 0
    )
    call = types.SimpleNamespace(
        deadline_ms=NOW_MS * 2,
        route=types.SimpleNamespace(kind=config.NON_IDEMPOTENT_KIND, max_attempts=1),
        attempts=1,
        streaming=False,
        request_id=b"r",
        events=types.SimpleNamespace(count=0, is_resumable=False),
    )
    unmarked_ends.judge(forwarder, call, answer)
    return picker.record(pick.incarnation_key(MEMBER)).failures


@pytest.mark.parametrize("status, failures", [(200, 0), (500, 1), (503, 1)])
def test_only_an_answer_without_failure_clears_the_record(status, failures):
    # Guards against an endpoint that is no longer avoided because it marks no ends of
    # its failures.
    assert failures_after(status) == failures


@pytest.mark.parametrize("paused, silence_ms", [(False, 2000), (True, 0)])
def test_the_silence_of_a_stream_leaves_out_pauses_of_this_entry(paused, silence_ms):
    # Guards against a whole stream that counts as cut because its caller read nothing
    # for a while, and so nothing was read from its endpoint.
    source = backpressure.Source()
    source.begin(
        types.SimpleNamespace(
            pause=lambda: None, resume=lambda: None, has_sent_all=lambda: True
        )
    )
    if paused:
        source.pause(NOW_MS)
        source.resume(NOW_MS + 2000)
    call = types.SimpleNamespace(
        last_data_ms=NOW_MS,
        source=source,
        framing=http_heads.Framing.CLOSE,
        in_flight_at_endpoint=0,
    )
    answer = unmarked_ends.UnmarkedAnswer.from_call(call, MEMBER, NOW_MS + 2000)
    assert (answer.silence_ms, answer.was_left_unread) == (silence_ms, False)


def stream_of(evidence):
    """The unmarked stream of an endpoint of which *evidence* is known."""
    return unmarked_ends.UnmarkedAnswer(
        MEMBER,
        None,
        http_heads.Framing.CLOSE,
        at_endpoint=0,
        was_left_unread=False,
        silence_ms=0,
        ended_ms=NOW_MS,
        asks_another=True,
        evidence=evidence,
    )


def resumable_call(**fields):
    """A call whose stream may be asked for at two more endpoints."""
    route = types.SimpleNamespace(kind=config.STREAMING, resumable=True, max_attempts=3)
    runs = [continuation.StreamRun(4, continuation.RunEnd.IN_ORDER)]
    defaults = {"unconfirmed": None, "attempts": 1, "started": True, "runs": runs}
    fields = defaults | {"disconnected": False} | fields
    return types.SimpleNamespace(
        deadline_ms=NOW_MS + 4000,
        route=route,
        streaming=True,
        request_id=b"r",
        events=types.SimpleNamespace(count=0, is_resumable=True),
        **fields,
    )


@pytest.mark.parametrize(
    "kept, is_kept",
    [
        (None, True),
        (life_check.Evidence.NONE, True),
        (life_check.Evidence.ANSWERED, False),
    ],
)
def test_an_answer_that_may_be_passed_on_stays_kept(kept, is_kept):
    # Guards against a whole stream that breaks because the endpoint that was asked for
    # the rest goes without a trace.
    call = resumable_call(unconfirmed=None if kept is None else stream_of(kept))
    answer = stream_of(life_check.Evidence.NONE)
    assert unmarked_ends.may_prove_whole(call, answer) == is_kept


@pytest.mark.parametrize("repeats", [0, 1])
def test_only_a_run_that_may_be_the_rest_is_kept(repeats):
    # Guards against a part of a stream that looks whole because an endpoint that was
    # asked for the rest and sent none is heard of later.
    call = resumable_call()
    call.runs.append(continuation.StreamRun(0, continuation.RunEnd.IN_ORDER, repeats))
    answer = stream_of(life_check.Evidence.NONE)
    assert unmarked_ends.may_prove_whole(call, answer) == (repeats > 0)


@pytest.mark.parametrize(
    "heard, known",
    [
        (life_check.Evidence.NONE, completeness.Completeness.INCOMPLETE),
        (life_check.Evidence.DEREGISTERED, completeness.Completeness.COMPLETE),
    ],
)
def test_an_end_announced_before_a_stream_ended_does_not_make_it_whole(heard, known):
    # Guards against a part of a stream of an endpoint that announces its end and then
    # exits, where the news of that comes after the end of the connection.
    has_left = iter([False, True])
    asked = []

    def ask(member, ended_ms, margin_ms):
        asked.append((ended_ms, margin_ms))
        return defer.succeed(heard)

    forwarder = types.SimpleNamespace(
        clock=types.SimpleNamespace(now=lambda: NOW_MS),
        stop_ms=None,
        life_checks=types.SimpleNamespace(
            check=lambda *args: defer.succeed(life_check.Evidence.REFUSED), heard=ask
        ),
        view=types.SimpleNamespace(
            is_leaving=lambda endpoint_id: True,
            has_left=lambda endpoint_id: next(has_left),
        ),
        changes=types.SimpleNamespace(
            wait_for=lambda condition, limit_ms: defer.succeed(condition())
        ),
        counters=types.SimpleNamespace(incr=lambda name: None),
        outages=types.SimpleNamespace(data_received=lambda member: None),
        picker=pick.Picker("z1"),
    )
    call = resumable_call()
    call.route.resumable = False
    answer = stream_of(life_check.Evidence.NONE)
    results = []
    unmarked_ends.judge(forwarder, call, answer).addBoth(results.append)
    assert results == [known]
    assert asked == [(NOW_MS, 0)]


def test_a_kept_answer_of_an_endpoint_that_has_ended_is_not_checked_again():
    # Guards against the last answer of a planned leave that is not passed on because
    # nothing is heard of its endpoint any more.
    call = resumable_call(confirm_until_ms=None)
    answer = stream_of(life_check.Evidence.REFUSED)
    forwarder = types.SimpleNamespace(
        clock=types.SimpleNamespace(now=lambda: NOW_MS), stop_ms=None
    )
    unmarked_ends.keep(forwarder, call, answer)
    assert call.unconfirmed is answer and answer.pending_check is None


class Kept:
    """A kept stream of an endpoint of which nothing is heard."""

    def __init__(self):
        self.reactor, self.probes = task.Clock(), 0
        ms_clock = clock.Clock(self.reactor)
        self.forwarder = types.SimpleNamespace(
            clock=ms_clock,
            stop_ms=None,
            life_checks=life_check.LifeChecks(ms_clock, self.probe),
            view=types.SimpleNamespace(is_leaving=lambda endpoint_id: False),
        )
        self.call = resumable_call()
        answer = stream_of(life_check.Evidence.NONE)
        answer.ended_ms = ms_clock.now()
        unmarked_ends.keep(self.forwarder, self.call, answer)
        self.advance(1)

    def probe(self, member):
        self.probes += 1
        return defer.succeed(life_check.Evidence.NONE)

    def advance(self, seconds):
        self.reactor.pump([0.05] * round(seconds / 0.05))


def test_the_check_of_an_endpoint_ends_with_the_answer_that_was_kept():
    # Guards against endpoints that are probed until the deadlines of requests that
    # were answered long before.
    kept = Kept()
    unmarked_ends.drop(kept.forwarder, kept.call)
    kept.advance(1)
    probes = kept.probes
    kept.advance(1)
    assert probes and kept.probes == probes
    assert not kept.reactor.getDelayedCalls()
    assert not kept.forwarder.life_checks.running_by_incarnation


def test_an_answer_of_an_endpoint_is_not_waited_for_until_the_deadline():
    # Guards against a caller that abandons a silent stream before it ends.
    kept, ends = Kept(), []
    unmarked_ends.settle_kept(kept.forwarder, kept.call, "attempts").addBoth(
        ends.append
    )
    assert not ends
    kept.advance(end_checks.MAX_MS / 1000)
    assert ends == [None]


def test_a_rest_that_only_repeats_is_checked_twice():
    # Guards against a part that looks whole, because its endpoint, which stops a moment
    # later, was checked once only as if another one were asked after it.
    found = iter([life_check.Evidence.ANSWERED, life_check.Evidence.REFUSED])
    forwarder = types.SimpleNamespace(
        clock=types.SimpleNamespace(now=lambda: NOW_MS),
        stop_ms=None,
        life_checks=types.SimpleNamespace(
            check=lambda *args: defer.succeed(next(found))
        ),
        view=types.SimpleNamespace(
            is_leaving=lambda endpoint_id: False, has_left=lambda endpoint_id: False
        ),
        counters=types.SimpleNamespace(incr=lambda name: None),
        picker=pick.Picker("z1"),
    )
    call = resumable_call(attempts=2)
    call.runs.append(continuation.StreamRun(0, continuation.RunEnd.IN_ORDER, repeats=1))
    results = []
    answer = stream_of(life_check.Evidence.NONE)
    unmarked_ends.judge(forwarder, call, answer).addBoth(results.append)
    assert results == [completeness.Completeness.INCOMPLETE]


def test_the_rest_is_not_asked_for_until_the_deadline():
    # Guards against a part that looks whole, because no time was left for the last
    # check of its endpoint.
    call = resumable_call(confirm_until_ms=None)
    call.deadline_ms = NOW_MS + 1000
    forwarder = types.SimpleNamespace(
        clock=types.SimpleNamespace(now=lambda: NOW_MS), stop_ms=None
    )
    unmarked_ends.keep(forwarder, call, stream_of(life_check.Evidence.ANSWERED))
    assert call.deadline_ms - call.confirm_until_ms == end_checks.MAX_LAST_MS
