"""Streams interrupted at any byte and resumed: complete events, in order, once each."""

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
    stream.restart()
    out += stream.feed(b"".join(event(n) for n in numbers[max(0, passed - back) :]))
    assert out == data


@settings(derandomize=True, database=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_accepted(data):
    stream = events.EventStream()
    out = stream.feed(data)
    assert stream.last_id is None or out


def test_a_stream_resumed_after_an_id_starts_with_the_next_event():
    stream = events.EventStream(last_id=2)
    assert stream.feed(event(1) + event(2) + event(3)) == event(3)
