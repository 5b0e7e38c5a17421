"""Bodies of endpoints' answers: plain ones are read whole, streams passed on by event.

Each has a bound in bytes, and reading pauses while too much is held for callers.
"""

import collections

import attrs
from twisted.internet import defer
from twisted.web import iweb

from dunlinpoint.answers import completeness, continuation
from dunlinpoint.forward import pool, quarantine, responses
from dunlinpoint.routing import backpressure, pick

# How much of the body of a refusal is read, and for how long, to reuse its connection.
MAX_DRAINED_BYTES = 64 * 1024
DRAIN_TIMEOUT_MS = 1000


def close_as_broken(connection, why):
    """Close *connection*; return the ``Broken`` to raise."""
    connection.close()
    return pool.Broken(why)


@attrs.define
class Guard:
    """Closes *connection* when more than *limit_bytes* of it would be held."""

    forwarder: object
    connection: object
    limit_bytes: int
    is_exceeded: bool = False

    def check(self, count):
        """Check *count* bytes of an answer or event; whether too many came so far."""
        if count > self.limit_bytes and not self.is_exceeded:
            self.is_exceeded = True
            self.forwarder.counters.incr("dropped.answer_too_long")
            self.connection.close()
        return self.is_exceeded


def end_reading(forwarder, call):
    """End the reading of an answer and count it if it was paused.

    An end that is due to the deadline of *call* may be read before the timer of that.
    """
    call.end_left_ms = call.deadline_ms - forwarder.clock.now()
    if completeness.is_end_due_to_deadline(call.end_left_ms, call.framing):
        forwarder.counters.incr("dropped.ended_at_deadline")
        call.expire()
    if call.source.was_paused:
        forwarder.counters.incr("slow_reader.paused")
    call.source.end()
    call.caller.source = None


@defer.inlineCallbacks
def read_plain(forwarder, call, connection, head):
    """Read a plain answer whole; return the ``PlainAnswer``, which counts as held."""
    pieces = collections.deque()
    buffers, source = forwarder.buffers, call.source
    limit_bytes = buffers.max_answer_bytes
    if head.code >= 500:
        limit_bytes = min(limit_bytes, backpressure.MAX_FAILURE_BYTES)
    guard = Guard(forwarder, connection, limit_bytes)
    guard.check(0 if head.length is iweb.UNKNOWN_LENGTH else head.length)
    source.begin(connection)
    buffers.began_plain(source)
    length = 0

    def on_data(data):
        nonlocal length
        now = forwarder.clock.now()
        length += len(data)
        if guard.check(length):
            return
        pieces.append(data)
        call.caller.hold(len(data), now)
        if not buffers.may_read_plain(source):
            source.pause(now)

    try:
        call.has_marked_end = yield pool.read(connection, head, on_data)
    except pool.Broken:
        call.caller.hold(-sum(map(len, pieces)), forwarder.clock.now())
        # The failure's traceback keeps the pieces until the next garbage collection.
        pieces.clear()
        raise
    finally:
        end_reading(forwarder, call)
        buffers.ended_plain(source, forwarder.clock.now())
    if guard.is_exceeded:
        # The rest of the answer came with the bytes that were too many.
        call.caller.hold(-sum(map(len, pieces)), forwarder.clock.now())
        raise close_as_broken(connection, "response is too long")
    if call.expired:
        call.caller.hold(-sum(map(len, pieces)), forwarder.clock.now())
        raise close_as_broken(connection, "response ended at its deadline")
    if not call.has_marked_end:
        forwarder.counters.incr("endpoint.unmarked_end.plain")
    return responses.PlainAnswer(head, pieces, length, call.has_marked_end)


def passed_on(caller, pieces):
    """Yield and remove the *pieces* of an answer, which no longer count as held."""
    while pieces:
        piece = pieces.popleft()
        caller.pass_on(len(piece))
        yield piece


def release(forwarder, call, answer):
    """Discard *answer*, a ``PlainAnswer``, whose body no longer counts as held."""
    call.caller.hold(-answer.length, forwarder.clock.now())
    answer.pieces.clear()


def drain_body(forwarder, connection, head):
    """Read the body of a refusal, so that its connection can be reused.

    Nothing waits for it: it may come slowly or without end.
    """
    guard = Guard(forwarder, connection, MAX_DRAINED_BYTES)
    drained = 0

    def on_data(data):
        nonlocal drained
        drained += len(data)
        guard.check(drained)

    def ended(_result):
        if timer.active():
            timer.cancel()

    timer = forwarder.clock.call_later(DRAIN_TIMEOUT_MS, connection.close)
    reading = pool.read(connection, head, on_data)
    reading.addErrback(lambda failure: failure.trap(pool.Broken))
    reading.addBoth(ended)


@defer.inlineCallbacks
def relay(forwarder, call, member, connection, head):
    """Pass on the complete events of a stream as they arrive; raises ``Broken``."""
    request = call.request
    call.events.begin_run(continuation.must_repeat(call.runs))
    events_before = call.events.count
    groups = forwarder.groups(call)
    last_ms = None
    source, caller = call.source, call.caller
    source.begin(connection)
    caller.source = source
    partial_bytes, has_begun = 0, False
    guard = Guard(forwarder, connection, caller.entry.max_answer_bytes)

    def on_data(data):
        nonlocal last_ms, partial_bytes, has_begun
        now = call.last_data_ms = forwarder.clock.now()
        forwarder.picker.data_received(pick.incarnation_key(member), now)
        forwarder.outages.data_received(member)
        out = call.events.feed(data)
        if out and not has_begun:
            has_begun = True
            quarantine.request_served(forwarder, call)
        caller.hold(len(call.events.partial) - partial_bytes, now)
        partial_bytes = len(call.events.partial)
        guard.check(partial_bytes)
        if call.events.has_more and call.is_stream_unconfirmed():
            # The answer that was taken for the whole stream was a part of it.
            call.unconfirmed.end_check()
            call.unconfirmed = None
        if call.events.is_out_of_step:
            connection.close()
        if not out or call.is_over:
            return
        # After a pause, the gaps depend on the caller and not on the endpoint.
        if last_ms is not None and not source.was_paused:
            forwarder.counters.observe_ms("pause", now - last_ms)
            call.longest_gap_ms = max(call.longest_gap_ms, now - last_ms)
            if groups is not None:
                groups.record_gap(call.group, now - last_ms, now)
        if call.first_ms is None:
            call.first_ms = now - call.arrived_ms
            forwarder.counters.observe_ms("first_event", call.first_ms)
        last_ms = call.last_event_ms = now
        begin_stream(call, head)
        request.write(out)

    end = continuation.RunEnd.CUT
    try:
        call.has_marked_end = yield pool.read(connection, head, on_data)
        if not call.events.partial:
            end = continuation.RunEnd.of(call.has_marked_end)
    finally:
        end_reading(forwarder, call)
        caller.hold(-partial_bytes, forwarder.clock.now())
        count = call.events.count - events_before
        run = continuation.StreamRun(count, end, call.events.repeats)
        call.runs.append(run)
        if call.events.is_out_of_step:
            forwarder.counters.incr("dropped.out_of_step")
    if not call.has_marked_end:
        forwarder.counters.incr("endpoint.unmarked_end.stream")
    if call.is_over:
        why = "caller disconnected" if call.disconnected else "deadline passed"
        raise close_as_broken(connection, why)
    if call.events.partial:
        raise close_as_broken(connection, "stream ended within an event")
    if call.events.is_out_of_step:
        raise close_as_broken(connection, "stream goes on at another event")
    if not call.events.count and not call.has_marked_end:
        raise close_as_broken(connection, "stream ended without an event")
    if continuation.is_rest(call.runs):
        # It may be a whole stream without an event.
        begin_stream(call, head)


def begin_stream(call, head):
    """Begin the answer to *call*, a stream with *head*, if that has not begun."""
    if not call.started:
        call.started = True
        call.stream_head = continuation.StreamHead.from_head(head)
        responses.copy_head(call.request, head, None)
