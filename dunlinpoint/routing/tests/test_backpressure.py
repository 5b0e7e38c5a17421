"""Accounting of the bytes held for callers, and the decisions that follow."""

import attrs

from dunlinpoint.routing import backpressure

MB = 1024 * 1024


@attrs.define(eq=False)
class Connection:
    """A connection to an endpoint: whether it is read, and the calls to ``pause``."""

    reading: bool = True
    pauses: int = 0
    is_ended: bool = False

    def has_sent_all(self):
        return self.is_ended

    def pause(self):
        self.reading = False
        self.pauses += 1

    def resume(self):
        self.reading = True


def streaming_caller(entry=None):
    """Return a caller's buffer and the connection that its stream is read from."""
    caller = backpressure.CallerBuffer(entry or backpressure.EntryBuffers())
    caller.source = backpressure.Source()
    connection = Connection()
    caller.source.begin(connection)
    return caller, connection


def test_an_endpoint_is_paused_while_its_caller_has_too_much_unread():
    caller, connection = streaming_caller()
    caller.wrote(backpressure.MAX_UNREAD_BYTES, now=0)
    assert connection.reading
    caller.wrote(1, now=5)
    assert not connection.reading
    caller.sent(backpressure.MAX_UNREAD_BYTES // 4, now=10)
    assert not connection.reading
    caller.sent(backpressure.MAX_UNREAD_BYTES // 4 + 1, now=1505)
    assert connection.reading
    assert caller.source.longest_pause_ms == 1500


def test_less_unread_pauses_an_endpoint_while_new_requests_are_refused():
    # Guards against an entry whose memory is exceeded by what it has admitted: a
    # thousand streams of callers that read nothing, each below its own bound.
    entry = backpressure.EntryBuffers(MB)
    caller, connection = streaming_caller(entry)
    other = backpressure.CallerBuffer(entry)
    other.wrote(MB // 2, now=0)
    caller.wrote(backpressure.MAX_SHED_UNREAD_BYTES + 1, now=0)
    assert not connection.reading
    other.close(now=1)
    caller.sent(1, now=2)
    assert connection.reading


def test_a_pause_is_repeated_if_the_library_went_on_reading():
    # Guards against an endpoint that is read without bound: the HTTP library resumes
    # the connection when it hands over the body, after the first bytes have paused it.
    caller, connection = streaming_caller()
    caller.wrote(2 * backpressure.MAX_UNREAD_BYTES, now=0)
    connection.resume()
    caller.wrote(1, now=1)
    assert not connection.reading


def test_a_connection_in_use_by_another_request_is_not_paused():
    # Guards against a pooled connection that is paused by the last bytes of the answer
    # before: the next request on it would never get its answer.
    caller, connection = streaming_caller()
    caller.source.end()
    caller.wrote(2 * backpressure.MAX_UNREAD_BYTES, now=0)
    assert connection.reading


def test_new_requests_are_refused_from_the_threshold_until_three_quarters_of_it():
    changes = []
    entry = backpressure.EntryBuffers(200 * MB, on_shedding=changes.append)
    callers = [backpressure.CallerBuffer(entry) for _ in range(50)]
    for caller in callers:
        caller.wrote(MB, now=0)
    assert not entry.is_shedding
    callers[0].hold(1, now=0)
    assert entry.is_shedding
    for caller in callers[:12]:
        caller.close(now=1)
    assert entry.is_shedding
    callers[12].sent(MB, now=2)
    assert not entry.is_shedding
    assert changes == [True, False]


def test_without_a_memory_setting_nothing_is_refused():
    entry = backpressure.EntryBuffers()
    backpressure.CallerBuffer(entry).wrote(10_000 * MB, now=0)
    assert not entry.is_shedding and not entry.is_full


def test_a_full_entry_reads_one_plain_answer_at_a_time():
    # Guards against a process that is killed for its memory: many large plain answers
    # are admitted at once, before any of them counts.
    entry = backpressure.EntryBuffers(100 * MB)
    callers = [backpressure.CallerBuffer(entry) for _ in range(3)]
    sources, connections = [], []
    for _ in callers:
        connections.append(Connection())
        sources.append(backpressure.Source())
        sources[-1].begin(connections[-1])
        entry.began_plain(sources[-1])
    for caller in callers:
        caller.hold(15 * MB, now=0)
    may_read = [entry.may_read_plain(source) for source in sources]
    assert may_read == [True, False, False]
    sources[1].pause(0)
    sources[2].pause(0)
    entry.ended_plain(sources[0], now=1)
    assert [c.reading for c in connections[1:]] == [True, False]
    callers[0].close(now=2)
    assert [c.reading for c in connections[1:]] == [True, True]


def test_a_full_entry_reads_no_plain_answer_while_others_are_unread():
    # Guards against the same with callers that read nothing: read one after the other,
    # all of the answers would be in memory in the end.
    entry = backpressure.EntryBuffers(100 * MB)
    source, slow = backpressure.Source(), backpressure.CallerBuffer(entry)
    source.begin(Connection())
    entry.began_plain(source)
    slow.wrote(60 * MB, now=0)
    assert not entry.may_read_plain(source)
    source.pause(0)
    slow.close(now=1)
    assert source.connection.reading


def test_bytes_of_a_closed_connection_are_released_once():
    # Guards against a count that drifts: the answer to a caller that disconnects is
    # still being read when its connection is closed.
    entry = backpressure.EntryBuffers(MB)
    caller = backpressure.CallerBuffer(entry)
    caller.hold(500, now=0)
    caller.wrote(700, now=0)
    caller.close(now=1)
    caller.hold(-500, now=2)
    caller.sent(700, now=2)
    caller.close(now=3)
    assert entry.total == 0 and not entry.waiting


def timed_out_after(checks, queued):
    """Check a caller with bytes that wait; the number of the check that closes it."""
    caller = backpressure.CallerBuffer()
    caller.wrote(1000, now=0)
    for number in range(checks):
        if caller.has_timed_out(queued(number), backpressure.CHECK_INTERVAL_MS):
            return number
    return None


def test_a_caller_that_reads_nothing_for_the_timeout_is_closed():
    expected = backpressure.READ_TIMEOUT_MS // backpressure.CHECK_INTERVAL_MS
    assert timed_out_after(100, lambda number: 5000) == expected - 1


def test_a_caller_that_reads_very_slowly_is_not_closed():
    # Guards against a caller that is closed although it reads: the operating system
    # takes more bytes only once a third of its buffer is free, which takes a caller of
    # 2 KB/s more than the timeout.
    assert timed_out_after(100, lambda number: 90_000 - 200 * number) is None


def test_the_time_of_a_frozen_process_does_not_count():
    # Guards against all callers being closed after the process was stopped for longer
    # than the timeout, before it has seen what they have read.
    entry = backpressure.EntryBuffers()
    entry.elapsed_ms(0)
    assert entry.elapsed_ms(60_000) < backpressure.READ_TIMEOUT_MS // 2


def test_a_cut_is_explained_by_a_long_pause_only():
    # Guards against an endpoint that is avoided, and a request that is suspected of
    # crashing endpoints, because the endpoint closed a connection that was not read.
    source = backpressure.Source()
    source.begin(Connection())
    assert not source.explains_cut(10_000)
    source.pause(0)
    assert not source.explains_cut(backpressure.MIN_CUT_PAUSE_MS - 1)
    assert source.explains_cut(backpressure.MIN_CUT_PAUSE_MS)
    source.resume(3000)
    assert source.explains_cut(3100)
    source.pause(3200)
    source.resume(3300)
    assert source.explains_cut(3400)
    assert not source.explains_cut(3300 + backpressure.AFTER_PAUSE_MS)
    source.reset()
    assert not source.explains_cut(3100)


def test_a_pause_does_not_explain_the_end_of_an_endpoint_that_had_sent_all():
    # Failure: a whole answer whose end waited in the entry, because its caller read
    # nothing for a while, counts as given up by its endpoint.
    source, connection = backpressure.Source(), Connection()
    source.begin(connection)
    source.pause(0)
    connection.is_ended = True
    source.resume(3000)
    assert not source.explains_cut(3100)
    connection.is_ended = False
    source.pause(3200)
    source.resume(3200 + backpressure.MIN_CUT_PAUSE_MS)
    connection.is_ended = True
    source.pause(5000)
    source.resume(9000)
    assert source.explains_cut(9100)
