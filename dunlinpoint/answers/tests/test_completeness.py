"""What the end of an answer tells that nothing marked."""

import itertools

import pytest

from dunlinpoint.answers import completeness

COMPLETE = completeness.Completeness.COMPLETE
UNCONFIRMED = completeness.Completeness.UNCONFIRMED
INCOMPLETE = completeness.Completeness.INCOMPLETE


BOTH = [False, True]
TIMELY_MS, SILENCE_MS = completeness.MAX_SILENCE_MS - 1, completeness.MAX_SILENCE_MS


@pytest.mark.parametrize("is_stream, is_leaving", list(itertools.product(BOTH, BOTH)))
def test_an_answer_of_an_endpoint_that_goes_on_is_complete(is_stream, is_leaving):
    # Guards against whole answers that their callers get as broken ones.
    known = completeness.of_unmarked(is_stream, False, TIMELY_MS, False, is_leaving)
    assert known is COMPLETE


@pytest.mark.parametrize("is_stream", BOTH)
def test_an_answer_of_a_crashed_endpoint_is_incomplete(is_stream):
    # Guards against the beginning of an answer that its caller takes for the whole.
    known = completeness.of_unmarked(is_stream, False, 0, True, False)
    assert known is INCOMPLETE


def test_an_endpoint_that_leaves_may_have_sent_its_whole_answer():
    # Guards against the last answers of a planned leave that count as broken because
    # the endpoint listened no more.
    assert completeness.of_unmarked(False, False, 0, True, True) is UNCONFIRMED


def test_a_stream_that_may_be_whole_gets_no_mark_of_its_end():
    # Guards against the beginning of a stream that looks whole, because its endpoint
    # had announced that it leaves when it crashed.
    assert completeness.of_unmarked(True, False, 0, True, True) is INCOMPLETE


CASES = list(itertools.product(BOTH, repeat=3))


@pytest.mark.parametrize("is_stream, has_crashed, is_leaving", CASES)
def test_an_answer_that_was_left_unread_is_incomplete(
    is_stream, has_crashed, is_leaving
):
    # Guards against the beginning of an answer that looks whole, because its endpoint
    # gave it up while its caller read nothing.
    known = completeness.of_unmarked(is_stream, True, 0, has_crashed, is_leaving)
    assert known is INCOMPLETE


@pytest.mark.parametrize("has_crashed, is_leaving", list(itertools.product(BOTH, BOTH)))
def test_a_stream_that_was_silent_before_its_end_is_incomplete(has_crashed, is_leaving):
    # Guards against the beginning of a stream that looks whole, because a rank of the
    # endpoint's group crashed, and the endpoint cut its streams after a while.
    known = completeness.of_unmarked(True, False, SILENCE_MS, has_crashed, is_leaving)
    assert known is INCOMPLETE
