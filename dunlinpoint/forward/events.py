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


def event_id(event):
    """Return the integer id of *event* (``bytes``), or ``None``."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None


@attrs.define
class EventStream:
    """Position in a stream, and the bytes of an incomplete event.

    ``last_id`` is the id of the last event that was passed on, ``count`` the number
    of events passed on.
    """

    last_id: int | None = None
    count: int = 0
    partial: bytes = b""

    def feed(self, data):
        """Add *data*; return the bytes of the new events that it completes."""
        buffer = self.partial + data
        out = []
        start = 0
        while (end := buffer.find(EVENT_END, start)) >= 0:
            event = buffer[start : end + len(EVENT_END)]
            start = end + len(EVENT_END)
            number = event_id(event)
            if number is not None:
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            self.count += 1
            out.append(event)
        self.partial = buffer[start:]
        return b"".join(out)

    def restart(self):
        """Discard the incomplete event of a stream that is resumed elsewhere."""
        self.partial = b""
