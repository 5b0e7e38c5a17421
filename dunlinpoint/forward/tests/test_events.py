"""Streams interrupted at any byte and resumed: complete events, in order, once each."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinpoint.forward import events

NUMBERS = st.lists(st.integers(1, 30), min_size=1, max_size=12, unique=True).map(sorted)


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def pieces(data, cuts):
    """Split *data* into pieces that end at *cuts*."""
    edges = sorted({0, len(data), *(c % (len(data) + 1) for c in cuts)})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@settings(derandomize=True, database=None)
@given(NUMBERS, st.lists(st.integers(0, 4000), max_size=9))
def test_chunks_of_any_size_yield_complete_events(numbers, cuts):
    stream = events.EventStream()
    data = b"".join(event(n) for n in numbers)
    out = [stream.feed(piece) for piece in pieces(data, cuts)]
    assert b"".join(out) == data
    assert all(o == b"" or o.endswith(b"\n\n") for o in out)
    assert (stream.count, stream.partial) == (len(numbers), b"")


@settings(derandomize=True, database=None)
@given(NUMBERS, st.integers(0, 4000), st.integers(0, 12))
def test_a_resumed_stream_has_no_duplicate_or_joined_events(numbers, cut, back):
    # Guards against half an event joined to the bytes of another endpoint, and against
    # duplicate events. A stream is interrupted at any byte; the resumed stream begins
    # some events before the last one that was passed on.
    data = b"".join(event(n) for n in numbers)
    stream = events.EventStream()
    out = stream.feed(data[: cut % (len(data) + 1)])
    passed = stream.count
    stream.begin_run(must_repeat=False)
    out += stream.feed(b"".join(event(n) for n in numbers[max(0, passed - back) :]))
    assert out == data


@settings(derandomize=True, database=None)
@given(NUMBERS, st.integers(0, 4000))
def test_a_run_repeats_the_last_event_and_goes_on(numbers, cut):
    # Guards against the same where a run is told to send the last event again, and
    # against one that counts as empty though it has sent that.
    data = b"".join(event(n) for n in numbers)
    stream = events.EventStream()
    out = stream.feed(data[: cut % (len(data) + 1)])
    passed, after = stream.count, stream.resume_id(must_repeat=True)
    stream.begin_run(must_repeat=passed > 0)
    out += stream.feed(b"".join(event(n) for n in numbers if n > (after or 0)))
    assert out == data
    assert (stream.repeats, stream.is_out_of_step) == (min(1, passed), False)
    assert stream.has_more == (passed < len(numbers))


@pytest.mark.parametrize(
    "run",
    [
        event(5) + event(6),
        event(3) + event(5),
        event(5) + event(4) + event(6),
        b"data: piece\n\n" + event(4) + event(5),
    ],
)
def test_a_run_that_leaves_out_the_last_event_adds_nothing(run):
    # Guards against events of two runs that are joined though they have other borders.
    stream = events.EventStream()
    stream.feed(event(2) + event(4))
    stream.begin_run(must_repeat=True)
    assert stream.feed(run) == b""
    assert stream.is_out_of_step and stream.has_more and stream.is_resumable
    assert (stream.last_id, stream.count) == (4, 2)


@pytest.mark.parametrize("own_id", [None, 2])
def test_a_run_does_not_begin_before_the_id_that_the_caller_has_sent(own_id):
    # Guards against events that a caller gets though it already has them.
    stream = events.EventStream(own_id)
    stream.feed(event(3))
    assert (stream.resume_id(True), stream.resume_id(False)) == (own_id, 3)


def test_a_comment_is_passed_on_but_is_no_event():
    # Guards against an endpoint that sends a comment and fails, and so seems to have
    # sent the rest of a stream.
    stream = events.EventStream()
    stream.feed(event(1))
    stream.begin_run(must_repeat=True)
    assert stream.feed(b": comment\n\n") == b": comment\n\n"
    assert (stream.count, stream.has_more) == (1, False)


@settings(derandomize=True, database=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_accepted(data):
    stream = events.EventStream()
    out = stream.feed(data)
    assert stream.last_id is None or out


def test_a_stream_resumed_after_an_id_starts_with_the_next_event():
    stream = events.EventStream(last_id=2)
    assert stream.feed(event(1) + event(2) + event(3)) == event(3)
