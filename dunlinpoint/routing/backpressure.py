"""Bytes that an entry holds for its callers, and what follows from their amount.

An entry holds three kinds of bytes for a caller: its request's body, the part of an
answer that is not passed on yet (a plain answer that is being read, an incomplete
event), and the bytes that were written to the caller's connection and wait there
because the caller does not read. Without a bound, callers that read slowly fill the
entry's memory, and the process is killed together with all of its streams.

Four decisions follow, each from plain counts:

- A caller with over ``MAX_UNREAD_BYTES`` unread pauses the endpoint that answers it;
  less is enough while the entry refuses new requests.
- An entry that holds over ``SHED_FRACTION`` of its memory for all callers together
  refuses new requests.
- An entry that holds over ``FULL_FRACTION`` does not read on the plain answers that it
  has admitted. It reads one at a time, the one that began first, if callers have little
  unread: then the plain answers themselves fill the memory, and none would ever end.
- A caller that reads nothing for ``READ_TIMEOUT_MS`` while bytes wait for it is closed.

One answer that is longer than ``max_answer_bytes`` is given up: an endpoint that is in
trouble may send bytes without end.
"""

from __future__ import annotations

import attrs

# Unread bytes of one caller above which its endpoint is paused, and the same while the
# entry refuses new requests. The endpoint is read on at half of this.
MAX_UNREAD_BYTES = 64 * 1024
MAX_SHED_UNREAD_BYTES = 16 * 1024
# Share of the entry's memory above which it refuses new requests, and the share of
# this threshold below which it accepts them again.
SHED_FRACTION = 0.25
ACCEPT_FRACTION = 0.75
# Share of the entry's memory above which plain answers are not read on.
FULL_FRACTION = 0.375
# Share of the threshold up to which callers' unread bytes let one of them be read on.
FULL_UNREAD_FRACTION = 0.25
READ_TIMEOUT_MS = 10_000
# Most bytes of one plain answer or of one event, as a share of the entry's memory, and
# without a bound of it. The share and ``FULL_FRACTION`` leave half of the memory.
ANSWER_FRACTION = 0.125
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Most bytes of an answer that tells a failure: it is kept while other endpoints are
# tried and does not count as held.
MAX_FAILURE_BYTES = 1024 * 1024
# While the entry refuses new requests, requests that are still being received are
# refused as well if their body is larger, or is not complete after this time.
MAX_SHED_BODY_BYTES = 64 * 1024
MAX_SHED_BODY_MS = 10_000
CHECK_INTERVAL_MS = 500
# A process that stood still for longer than this between two checks does not count
# the rest of the time: its callers could not make progress that it would have seen.
MAX_CHECK_ELAPSED_MS = 2 * CHECK_INTERVAL_MS
# An endpoint closes a connection that is not read for some seconds. A connection that
# breaks after a pause of at least this length was closed because of the pause.
MIN_CUT_PAUSE_MS = 1000
# After a pause, the end of a connection is found only behind the bytes that arrived
# before it. An endpoint is also not taken for unresponsive for this long after a pause.
AFTER_PAUSE_MS = 1000


@attrs.define(eq=False)
class Source:
    """The endpoint's connection from which an answer is read, and its pauses.

    ``connection`` has the methods ``pause()``, ``resume()`` and ``has_sent_all()`` and
    is ``None`` while no attempt is under way. ``longest_pause_ms`` leaves out pauses by
    whose end the endpoint had sent all. Times are in ms of the local clock.
    """

    connection: object = None
    was_paused: bool = False
    paused_since_ms: int | None = None
    resumed_ms: int | None = None
    longest_pause_ms: int = 0

    def reset(self):
        """Forget the pauses of the attempt before."""
        self.connection = None
        self.was_paused = False
        self.paused_since_ms = self.resumed_ms = None
        self.longest_pause_ms = 0

    def begin(self, connection):
        """Begin to read an answer from *connection*."""
        self.connection = connection

    def end(self):
        """End reading. The connection, which may be in use again, is left alone."""
        self.connection = None

    @property
    def is_paused(self):
        return self.paused_since_ms is not None

    def pause(self, now):
        """Stop reading. Called again, it repeats the call to the connection.

        The HTTP library resumes a connection by itself when it hands over the body.
        """
        if self.connection is None:
            return
        self.connection.pause()
        if not self.is_paused:
            self.paused_since_ms = now
            self.was_paused = True

    def resume(self, now):
        """Go on reading."""
        if self.connection is None or not self.is_paused:
            return
        pause_ms = now - self.paused_since_ms
        if pause_ms > self.longest_pause_ms and not self.connection.has_sent_all():
            self.longest_pause_ms = pause_ms
        self.paused_since_ms, self.resumed_ms = None, now
        self.connection.resume()

    def explains_silence(self, now):
        """Whether a pause explains that nothing was read from the endpoint."""
        if self.is_paused:
            return True
        return self.resumed_ms is not None and now - self.resumed_ms < AFTER_PAUSE_MS

    def explains_cut(self, now):
        """Whether a pause explains that the endpoint closed the connection.

        The bytes that arrived before the end may be read with many short pauses, so it
        is the longest one that counts. An endpoint that could send all did not close it
        because of a pause.
        """
        longest_ms = self.longest_pause_ms
        if self.is_paused:
            longest_ms = max(longest_ms, now - self.paused_since_ms)
        return self.explains_silence(now) and longest_ms >= MIN_CUT_PAUSE_MS


@attrs.define(eq=False)
class EntryBuffers:
    """The bytes held for all callers of an entry.

    - ``memory_bytes``: the entry's memory, 0 for no bound.
    - ``total``: bytes held for all callers; ``unread``: those written for callers.
    - ``waiting``: the buffers of callers for which bytes may wait.
    - ``plain_sources``: sources of plain answers that are being read, as keys in the
      order in which they began.
    - ``on_shedding``: called with the new value when ``is_shedding`` changes.
    """

    memory_bytes: int = 0
    total: int = 0
    unread: int = 0
    is_shedding: bool = False
    waiting: set = attrs.field(factory=set)
    plain_sources: dict = attrs.field(factory=dict)
    on_shedding: object = lambda on: None
    checked_ms: int | None = None

    @property
    def threshold_bytes(self):
        return self.memory_bytes * SHED_FRACTION

    @property
    def is_full(self):
        return 0 < self.memory_bytes * FULL_FRACTION < self.total

    @property
    def max_answer_bytes(self):
        """Most bytes of one plain answer, or of one event of a stream."""
        return self.memory_bytes * ANSWER_FRACTION or MAX_ANSWER_BYTES

    def add(self, count, now, unread=0):
        """Add *count* bytes, *unread* of them written; both may be negative."""
        self.total += count
        self.unread += unread
        if not self.memory_bytes:
            return
        limit = self.threshold_bytes * (ACCEPT_FRACTION if self.is_shedding else 1)
        if (self.total > limit) != self.is_shedding:
            self.is_shedding = not self.is_shedding
            self.on_shedding(self.is_shedding)
        if count < 0:
            self._resume_plain(now)

    def refuses_body(self, size):
        """Whether to refuse a request whose body of *size* bytes is being received."""
        return self.is_shedding and size > MAX_SHED_BODY_BYTES

    def began_plain(self, source):
        """Register the *source* of a plain answer that is being read."""
        self.plain_sources[source] = None

    def ended_plain(self, source, now):
        """Remove the *source* of a plain answer, which is read or given up."""
        del self.plain_sources[source]
        self._resume_plain(now)

    def may_read_plain(self, source):
        """Whether the plain answer from *source* may be read on."""
        if not self.is_full:
            return True
        is_first = next(iter(self.plain_sources)) is source
        most_unread = FULL_UNREAD_FRACTION * self.threshold_bytes
        return is_first and self.unread <= most_unread

    def _resume_plain(self, now):
        for source in self.plain_sources:
            if source.is_paused and self.may_read_plain(source):
                source.resume(now)

    def elapsed_ms(self, now):
        """Return the time (ms) to count since the last check of the callers."""
        elapsed_ms = 0 if self.checked_ms is None else now - self.checked_ms
        self.checked_ms = now
        return min(elapsed_ms, MAX_CHECK_ELAPSED_MS)


@attrs.define(eq=False)
class CallerBuffer:
    """The bytes held for one caller's connection.

    - ``unread``: bytes written for the caller that wait in this process.
    - ``held``: bytes of its request, and of its answer before they are written.
    - ``connection``: the caller's connection, for the code that closes it.
    - ``source``: the ``Source`` of the stream that is passed on, or ``None``.
    - ``queued``: bytes that waited in the operating system at the last check.
    - ``unread_ms``: how long the caller has read nothing while bytes waited.
    """

    entry: EntryBuffers = attrs.field(factory=EntryBuffers)
    connection: object = None
    unread: int = 0
    held: int = 0
    source: Source | None = None
    has_sent: bool = False
    queued: int = 0
    unread_ms: int = 0
    closed: bool = False

    @property
    def max_unread(self):
        return MAX_SHED_UNREAD_BYTES if self.entry.is_shedding else MAX_UNREAD_BYTES

    def hold(self, count, now):
        """Hold *count* more bytes, or fewer if it is negative."""
        if not self.closed and count:
            self.held += count
            self.entry.add(count, now)

    def pass_on(self, count):
        """Take *count* held bytes out of the account, which are written next.

        The write puts them back, so the decisions are left to it.
        """
        if not self.closed:
            self.held -= count
            self.entry.total -= count

    def wrote(self, count, now):
        """Record *count* bytes written for the caller; pause its source if needed."""
        if self.closed:
            return
        self.unread += count
        self.entry.waiting.add(self)
        self.entry.add(count, now, count)
        if self.unread > self.max_unread and self.source is not None:
            self.source.pause(now)

    def sent(self, count, now):
        """Record that the operating system took *count* bytes."""
        if self.closed or not count:
            return
        self.has_sent = True
        self.unread -= count
        self.entry.add(-count, now, -count)
        if self.source is not None and self.unread <= self.max_unread // 2:
            self.source.resume(now)

    def has_timed_out(self, queued, elapsed_ms):
        """Check the caller's progress; whether its connection is to be closed.

        *queued* is the number of bytes that wait in the operating system, *elapsed_ms*
        the time to count since the last check. The caller has read something if either
        amount has fallen: the operating system takes more bytes only in large steps, so
        that a caller of a few kilobytes a second would seem to read nothing.
        """
        has_progressed = self.has_sent or queued < self.queued
        self.has_sent, self.queued = False, queued
        if not self.unread and not queued:
            self.entry.waiting.discard(self)
            has_progressed = True
        self.unread_ms = 0 if has_progressed else self.unread_ms + elapsed_ms
        return self.unread_ms >= READ_TIMEOUT_MS

    def close(self, now):
        """Release everything: the caller's connection is closed."""
        if self.closed:
            return
        self.closed = True
        self.entry.waiting.discard(self)
        self.entry.add(-self.unread - self.held, now, -self.unread)
        self.unread = self.held = 0
