"""Whether the answer of a further run is the rest of a stream that broke off."""

import enum

import attrs


@attrs.frozen
class StreamHead:
    """What the answers of all runs of one stream have in common."""

    status: int
    media_type: bytes

    @classmethod
    def from_head(cls, head):
        """The ``StreamHead`` of the head of a response (``IResponse``)."""
        (value,) = head.headers.getRawHeaders(b"content-type", [b""])[-1:]
        return cls(head.code, value.split(b";")[0].strip().lower())

    def is_continued_by(self, head):
        """Whether *head* can be that of the rest of this stream.

        A 204, or a page of some other type, would end the stream as complete.
        """
        return self == self.from_head(head)


class RunEnd(enum.Enum):
    """How one run of a stream ended.

    - ``MARKED``: by a last chunk, or as long as its head says.
    - ``IN_ORDER``: with its connection, closed in order, which nothing marked. The run
      may be whole, also if its endpoint has ended since.
    - ``CUT``: before its end.
    """

    MARKED = "marked"
    IN_ORDER = "in_order"
    CUT = "cut"

    @classmethod
    def of(cls, is_marked):
        """The ``RunEnd`` of a run that its endpoint ended, *is_marked* or not."""
        return cls.MARKED if is_marked else cls.IN_ORDER


@attrs.frozen
class StreamRun:
    """One run of a stream: the events that it added, and its ``RunEnd``.

    ``repeats`` tells how often it sent the last event again that the caller had.
    """

    events: int
    end: RunEnd
    repeats: int = 0


def must_repeat(runs):
    """Whether the next run after *runs* must send the caller's last event again.

    It is asked for where the rest may be nothing: an endpoint that has no more events
    then shows that by the one that it repeats. One that is asked for the rest of a
    stream which was cut need not send any event twice, as more are likely to follow.
    """
    if not any(run.events for run in runs):
        return False
    last = runs[-1]
    return not last.events or last.end is RunEnd.IN_ORDER


def is_rest(runs):
    """Whether the last of *runs* (``StreamRun``) ends their stream, if it did not fail.

    A further run that sends nothing may have failed right after its head, as may any
    number of such runs. The first one is what its endpoint says it is.
    """
    last = runs[-1]
    return len(runs) == 1 or last.events > 0 or last.repeats > 0
