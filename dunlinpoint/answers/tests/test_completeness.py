"""What the end of an answer tells that nothing marked."""

import itertools

import pytest

from dunlinpoint.answers import completeness

COMPLETE = completeness.Completeness.COMPLETE
UNCONFIRMED = completeness.Completeness.UNCONFIRMED
INCOMPLETE = completeness.Completeness.INCOMPLETE


@pytest.mark.parametrize("is_leaving", [False, True])
def test_an_answer_of_an_endpoint_that_goes_on_is_complete(is_leaving):
    # Guards against whole answers that their callers get as broken ones.
    known = completeness.of_unmarked(False, 0, has_crashed=False, is_leaving=is_leaving)
    assert known is COMPLETE


def test_an_answer_of_a_crashed_endpoint_is_incomplete():
    # Guards against the beginning of an answer that its caller takes for the whole.
    known = completeness.of_unmarked(False, 0, has_crashed=True, is_leaving=False)
    assert known is INCOMPLETE


def test_an_endpoint_that_leaves_may_have_sent_its_whole_answer():
    # Guards against the last answers of a planned leave that count as broken because
    # the endpoint listened no more.
    known = completeness.of_unmarked(False, 0, has_crashed=True, is_leaving=True)
    assert known is UNCONFIRMED


@pytest.mark.parametrize(
    "has_crashed, is_leaving", list(itertools.product([False, True], repeat=2))
)
def test_an_answer_that_was_left_unread_is_incomplete(has_crashed, is_leaving):
    # Guards against the beginning of an answer that looks whole, because its endpoint
    # gave it up while its caller read nothing.
    known = completeness.of_unmarked(True, 0, has_crashed, is_leaving)
    assert known is INCOMPLETE


@pytest.mark.parametrize("is_leaving", [False, True])
def test_a_stream_that_was_silent_before_its_end_is_incomplete(is_leaving):
    # Guards against the beginning of a stream that looks whole, because a rank of the
    # endpoint's group crashed, and the endpoint cut its streams after a while.
    silence_ms = completeness.MAX_SILENCE_MS
    known = completeness.of_unmarked(False, silence_ms, False, is_leaving)
    assert known is INCOMPLETE
    known = completeness.of_unmarked(False, silence_ms - 1, False, is_leaving)
    assert known is COMPLETE
