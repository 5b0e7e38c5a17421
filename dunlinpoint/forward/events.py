"""Framing and deduplication of the server-sent events of one stream.

An endpoint can stop in the middle of an event, and a stream that is resumed at
another endpoint can repeat events that the caller already has. The caller must
receive neither half an event joined to the bytes of the next endpoint nor the same
event twice, so :class:`EventStream` passes on only complete events with ids above the
last one.

Where the next run must send the last event again, it is told to go on after the one
before. It adds nothing until it has sent that event: one whose ids are not those of the
earlier runs would join other events to theirs.
"""

import attrs

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
DATA_FIELD = b"data"


def event_id(event):
    """Return the integer id of *event* (``bytes``), or ``None``."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None


def has_data(event):
    """Whether *event* (``bytes``) is more than a comment."""
    return any(line.startswith(DATA_FIELD) for line in event.split(b"\n"))


@attrs.define
class EventStream:
    """Position in a stream, and the bytes of an incomplete event.

    - ``last_id``: the id of the last event that was passed on.
    - ``previous_id``: that of the one before it. At first, ``last_id`` is the id that
      the caller has sent, or ``None``.
    - ``count``: the number of events passed on, without comments.
    - ``is_resumable``: whether all events passed on had an id, so that a further run
      is told where to go on.
    - ``must_repeat``: whether the current run has to begin with the last event.
    - ``repeats``: how often it has sent that.
    - ``has_more``: whether it has sent an event that is new.
    - ``is_out_of_step``: whether it has done so without the one before it.
    """

    last_id: int | None = None
    previous_id: int | None = None
    count: int = 0
    partial: bytearray = attrs.field(factory=bytearray)
    is_resumable: bool = True
    must_repeat: bool = False
    repeats: int = 0
    has_more: bool = False
    is_out_of_step: bool = False

    def feed(self, data):
        """Add *data*; return the bytes of the new events that it completes."""
        # Only new bytes are searched: searched again at each read, one event of some
        # megabytes would block the process for seconds.
        searched = max(0, len(self.partial) - len(EVENT_END) + 1)
        self.partial += data
        out = []
        start = 0
        while (end := self.partial.find(EVENT_END, searched)) >= 0:
            event = bytes(self.partial[start : end + len(EVENT_END)])
            start = searched = end + len(EVENT_END)
            if self._is_passed_on(event):
                out.append(event)
        del self.partial[:start]
        return b"".join(out)

    def _is_passed_on(self, event):
        number = event_id(event)
        if number is None and not has_data(event):
            return True
        if None not in (number, self.last_id) and number <= self.last_id:
            self.repeats += number == self.last_id
            return False
        self.has_more = True
        if self.must_repeat and not self.repeats:
            self.is_out_of_step = True
        if self.is_out_of_step:
            return False
        if number is None:
            self.is_resumable = False
        else:
            self.previous_id, self.last_id = self.last_id, number
        self.count += 1
        return True

    def resume_id(self, must_repeat):
        """The id after which a run goes on, which *must_repeat* the last event or not.

        ``None`` if it begins with the first event.
        """
        return self.previous_id if must_repeat else self.last_id

    def begin_run(self, must_repeat):
        """Begin a run, which *must_repeat* the last event or not.

        The incomplete event of the run before it is discarded.
        """
        self.partial.clear()
        self.must_repeat, self.repeats = must_repeat, 0
        self.has_more = self.is_out_of_step = False
