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
    known = completeness.of_unmarked(False, has_crashed=False, is_leaving=is_leaving)
    assert known is COMPLETE


def test_an_answer_of_a_crashed_endpoint_is_incomplete():
    # Guards against the beginning of an answer that its caller takes for the whole.
    known = completeness.of_unmarked(False, has_crashed=True, is_leaving=False)
    assert known is INCOMPLETE


def test_an_endpoint_that_leaves_may_have_sent_its_whole_answer():
    # Guards against the last answers of a planned leave that count as broken because
    # the endpoint listened no more.
    known = completeness.of_unmarked(False, has_crashed=True, is_leaving=True)
    assert known is UNCONFIRMED


@pytest.mark.parametrize(
    "has_crashed, is_leaving", itertools.product([False, True], repeat=2)
)
def test_an_answer_that_was_left_unread_is_incomplete(has_crashed, is_leaving):
    # Guards against the beginning of an answer that looks whole, because its endpoint
    # gave it up while its caller read nothing.
    known = completeness.of_unmarked(True, has_crashed, is_leaving)
    assert known is INCOMPLETE
