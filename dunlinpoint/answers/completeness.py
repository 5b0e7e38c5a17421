"""Whether an answer whose end its endpoint did not mark is complete.

A length or a last chunk marks the end of a body (RFC 9112, 6.3). Where a head has
neither, the body ends with its connection, and it is complete if that was closed in
order (RFC 9112, 8). But the kernel of a process that ends closes its connections in
order, too, so that the end means nothing unless the process lives on.
"""

import enum

from dunlinpoint import http_heads
from dunlinpoint.answers import life_check

# An endpoint ends a stream right after its last event. One whose rank group lost a rank
# sends nothing for a while, and then cuts its streams.
MAX_SILENCE_MS = 1000
# An endpoint that stops as its time is over may end its answer like a whole one. Times
# are rounded on both sides, so it may do so this much before its request's deadline.
EARLY_STOP_MS = 5


class Completeness(enum.Enum):
    """What is known of an answer whose connection was closed in order.

    - ``COMPLETE``: its endpoint, which lives on, has ended it.
    - ``UNCONFIRMED``: it may be cut. If its request may run again, another endpoint is
      asked first. Otherwise a plain answer is passed on without a mark of its end, and
      a stream counts as complete if its endpoint lives on.
    - ``INCOMPLETE``: it counts as broken off.
    """

    COMPLETE = "complete"
    UNCONFIRMED = "unconfirmed"
    INCOMPLETE = "incomplete"


def was_cut(was_left_unread, silence_ms):
    """Whether an endpoint may have cut its answer itself, as far as this entry saw.

    - *was_left_unread*: whether the endpoint may have given up because its answer was
      not read.
    - *silence_ms*: of a stream, the time from its last byte to the end; else 0.
    """
    return was_left_unread or silence_ms >= MAX_SILENCE_MS


def is_end_due_to_deadline(left_ms, framing):
    """Whether an endpoint may have ended its answer because its time was over.

    *left_ms* is what its request had left then, negative past the deadline, and
    *framing* the ``Framing`` of its head, by which no byte may be missing of some.
    """
    if framing in (http_heads.Framing.LENGTH, http_heads.Framing.EMPTY):
        return False
    return left_ms <= EARLY_STOP_MS


def of_plain(life, is_leaving):
    """The ``Completeness`` of a plain answer, by the ``Life`` of its endpoint.

    *is_leaving* tells whether the endpoint has announced that it leaves. It may then
    stop listening before it has sent its last answers.
    """
    if life is life_check.Life.ALIVE:
        return Completeness.COMPLETE
    if life is life_check.Life.ENDED and is_leaving:
        return Completeness.UNCONFIRMED
    return Completeness.INCOMPLETE


def of_stream(life, may_ask_another):
    """The ``Completeness`` of a stream, by the ``Life`` of its endpoint.

    Its caller has been promised a mark of the end, which is only sent for a whole one.
    An endpoint that lives on may still have cut it between two events, which shows only
    if another one is asked for the rest, where *may_ask_another*.
    """
    if life is not life_check.Life.ALIVE:
        return Completeness.INCOMPLETE
    return Completeness.UNCONFIRMED if may_ask_another else Completeness.COMPLETE
