"""What the end of an answer tells of it."""

import pytest

from dunlinpoint import http_heads
from dunlinpoint.answers import completeness

COMPLETE = completeness.Completeness.COMPLETE
UNCONFIRMED = completeness.Completeness.UNCONFIRMED
INCOMPLETE = completeness.Completeness.INCOMPLETE


@pytest.mark.parametrize("framing", http_heads.Framing)
def test_an_answer_with_a_marked_end_is_complete(framing):
    assert completeness.of_plain(framing, is_marked=True) is COMPLETE


@pytest.mark.parametrize(
    "framing, expected",
    [
        (framing, INCOMPLETE)
        for framing in http_heads.Framing
        if framing.value != "close"
    ]
    + [(http_heads.Framing.CLOSE, UNCONFIRMED)],
)
def test_a_plain_answer_without_a_mark_is_never_known_to_be_complete(framing, expected):
    # Guards against the beginning of an answer that its caller takes for the whole.
    assert completeness.of_plain(framing, is_marked=False) is expected


def test_a_stream_is_complete_only_by_a_mark():
    # Guards against a stream that ends as complete where its endpoint crashed.
    assert completeness.of_stream(is_marked=True) is COMPLETE
    assert completeness.of_stream(is_marked=False) is INCOMPLETE
