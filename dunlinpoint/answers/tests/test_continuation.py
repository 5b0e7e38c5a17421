"""Answers of further runs of a stream."""

import types

import pytest
from twisted.web import http_headers

from dunlinpoint.answers import continuation


def head(status=200, media_type=b"text/event-stream"):
    fields = {} if media_type is None else {b"content-type": [media_type]}
    return types.SimpleNamespace(code=status, headers=http_headers.Headers(fields))


FIRST = continuation.StreamHead.from_head(head())


@pytest.mark.parametrize(
    "media_type", [b"text/event-stream", b"Text/Event-Stream; charset=utf-8"]
)
def test_an_answer_of_the_same_kind_continues_a_stream(media_type):
    assert FIRST.is_continued_by(head(media_type=media_type))


@pytest.mark.parametrize(
    "other",
    [head(204, None), head(206), head(202), head(200, None), head(200, b"text/html")],
)
def test_an_answer_of_another_kind_does_not_continue_a_stream(other):
    # Guards against a stream that an answer without events, or of something else, ends
    # as complete.
    assert not FIRST.is_continued_by(other)


def test_a_stream_without_a_media_type_is_continued_by_one_without():
    first = continuation.StreamHead.from_head(head(media_type=None))
    assert first.is_continued_by(head(media_type=None))


CUT, IN_ORDER, MARKED = (
    continuation.RunEnd.CUT,
    continuation.RunEnd.IN_ORDER,
    continuation.RunEnd.MARKED,
)


def stream_runs(*runs):
    """The runs of a stream by their events, ends and repeats."""
    return [continuation.StreamRun(*run) for run in runs]


@pytest.mark.parametrize(
    "runs, is_rest",
    [
        # A caller that goes on by itself may have had all events.
        ([(0, MARKED)], True),
        ([(3, CUT), (5, MARKED)], True),
        ([(3, CUT), (0, MARKED)], False),
        ([(3, CUT), (0, IN_ORDER)], False),
        ([(3, CUT), (0, MARKED, 1)], True),
        ([(8, IN_ORDER), (0, MARKED)], False),
        ([(8, IN_ORDER), (0, MARKED, 1)], True),
        ([(8, IN_ORDER), (0, IN_ORDER, 1)], True),
        ([(3, CUT), (0, MARKED), (0, MARKED)], False),
        ([(3, CUT), (0, MARKED), (0, MARKED, 1)], True),
        ([(3, IN_ORDER), (0, CUT, 1), (0, MARKED)], False),
        ([(3, CUT), (0, CUT), (0, MARKED)], False),
        ([(0, CUT), (0, MARKED)], False),
        ([(0, IN_ORDER), (0, MARKED)], False),
    ],
)
def test_a_run_that_adds_nothing_is_the_rest_if_it_repeats_an_event(runs, is_rest):
    # Guards against a part of a stream that looks whole, because the endpoints that
    # were asked for the rest failed right after their heads.
    assert continuation.is_rest(stream_runs(*runs)) is is_rest


@pytest.mark.parametrize(
    "runs, must_repeat",
    [
        ([], False),
        ([(0, CUT)], False),
        ([(0, IN_ORDER)], False),
        ([(3, CUT)], False),
        ([(3, IN_ORDER)], True),
        ([(3, IN_ORDER), (2, CUT)], False),
        ([(3, CUT), (0, MARKED)], True),
        ([(3, CUT), (0, CUT)], True),
        ([(3, IN_ORDER), (0, CUT, 1)], True),
        ([(0, CUT), (0, MARKED)], False),
    ],
)
def test_an_event_is_asked_for_again_where_the_rest_may_be_nothing(runs, must_repeat):
    # Guards against a whole stream that breaks off, as no endpoint can show that it has
    # no more events, and against a pause for an event that need not be sent again.
    assert continuation.must_repeat(stream_runs(*runs)) is must_repeat
