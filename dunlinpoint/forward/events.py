"""Framing and deduplication of the server-sent events of one stream.

An endpoint can stop in the middle of an event, and a stream that is resumed at
another endpoint can repeat events that the caller already has. The caller must
receive neither half an event joined to the bytes of the next endpoint nor the same
event twice, so :class:`EventStream` passes on only complete events with ids above the
last one.
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
    - ``count``: the number of events passed on.
    - ``is_resumable``: whether all events passed on had an id, so that a further run
      is told where to go on.
    """

    last_id: int | None = None
    count: int = 0
    partial: bytearray = attrs.field(factory=bytearray)
    is_resumable: bool = True

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
            number = event_id(event)
            if number is not None:
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            elif has_data(event):
                self.is_resumable = False
            self.count += 1
            out.append(event)
        del self.partial[:start]
        return b"".join(out)

    def restart(self):
        """Discard the incomplete event of a stream that is resumed elsewhere."""
        self.partial.clear()
