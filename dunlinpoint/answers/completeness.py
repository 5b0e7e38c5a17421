"""Whether an answer whose end its endpoint did not mark is complete.

A length or a last chunk marks the end of a body (RFC 9112, 6.3). Where a head has
neither, the body ends with its connection, and it is complete if that was closed in
order (RFC 9112, 8). But the kernel of a process that crashes closes its connections in
order, too. Its listening socket is closed with them, which tells a crash from an end.
"""

import enum

# An endpoint ends a stream right after its last event. One whose rank group lost a rank
# sends nothing for a while, and then cuts its streams.
MAX_SILENCE_MS = 1000


class Completeness(enum.Enum):
    """What is known of an answer whose connection was closed in order.

    - ``COMPLETE``: it is taken for the whole answer.
    - ``UNCONFIRMED``: it is whole or cut. If its request may run again, another
      endpoint is asked first. Otherwise it is passed on without a mark of its end.
    - ``INCOMPLETE``: it counts as broken off.
    """

    COMPLETE = "complete"
    UNCONFIRMED = "unconfirmed"
    INCOMPLETE = "incomplete"


def of_unmarked(is_stream, was_left_unread, silence_ms, has_crashed, is_leaving):
    """The ``Completeness`` of an answer whose connection was closed in order.

    - *is_stream*: whether its caller has been promised a mark of the end, which is only
      sent where the answer is known to be whole.
    - *was_left_unread*: whether the endpoint may have given up because its answer was
      not read.
    - *silence_ms*: of a stream, the time from its last byte to the end; else 0.
    - *has_crashed*: whether it refused connections a moment later.
    - *is_leaving*: whether it has announced that it leaves. It may then stop listening
      before it has sent its last answers.
    """
    if was_left_unread or silence_ms >= MAX_SILENCE_MS:
        return Completeness.INCOMPLETE
    if not has_crashed:
        return Completeness.COMPLETE
    if is_leaving and not is_stream:
        return Completeness.UNCONFIRMED
    return Completeness.INCOMPLETE
