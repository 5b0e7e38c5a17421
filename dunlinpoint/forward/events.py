"""Server-sent events of one stream: whole ones only, each id once.

An endpoint can stop in the middle of an event, and a stream that is resumed
at another endpoint can repeat what the caller has. Half an event joined to
the next endpoint's bytes, or an event twice, would reach the caller as its
answer; :class:`Events` passes on whole events with ids above the last.
"""

import attrs

END = b"\n\n"
ID = b"id:"


def id_of(event):
    """The integer id of one event's bytes, or ``None``."""
    for line in event.split(b"\n"):
        if line.startswith(ID):
            value = line[len(ID) :].strip()
            return int(value) if value.isdigit() else None
    return None


@attrs.define
class Events:
    """What of a stream has been passed on, and the bytes of a part event."""

    last_id: int | None = None
    count: int = 0
    partial: bytes = b""

    def feed(self, data):
        """Bytes of the whole new events that *data* completes."""
        buffer = self.partial + data
        out = []
        start = 0
        while (end := buffer.find(END, start)) >= 0:
            event = buffer[start : end + len(END)]
            start = end + len(END)
            number = id_of(event)
            if number is not None:
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            self.count += 1
            out.append(event)
        self.partial = buffer[start:]
        return b"".join(out)

    def restart(self):
        """A new run goes on: forget the part event of the broken one."""
        self.partial = b""
