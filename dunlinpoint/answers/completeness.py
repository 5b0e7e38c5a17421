"""Whether an answer that has ended is complete, by what marked its end.

A length or a last chunk marks the end of a body (RFC 9112, 6.3). Where a head has
neither, the body ends with its connection, and a service that closes it after the last
byte cannot be told from one that crashed before: the kernel closes the connections of
a process that ends, in order. So an end that the endpoint did not mark is not marked
for the caller, and where the request may run again, another endpoint is asked first.
"""

import enum

from dunlinpoint import http_heads


class Completeness(enum.Enum):
    """What is known of an answer that has ended.

    - ``COMPLETE``: its end was marked.
    - ``UNCONFIRMED``: it may be complete. If its endpoint has not crashed, it can be
      passed on without a mark of its end.
    - ``INCOMPLETE``: it counts as broken off.
    """

    COMPLETE = "complete"
    UNCONFIRMED = "unconfirmed"
    INCOMPLETE = "incomplete"


def of_stream(is_marked):
    """The ``Completeness`` of a stream that ended between two events.

    Its caller already has the head, which promises a mark of the end.
    """
    return Completeness.COMPLETE if is_marked else Completeness.INCOMPLETE


def of_plain(framing, is_marked):
    """The ``Completeness`` of a plain answer that ended by its mark or in order.

    A head that announces neither a length, chunks nor the close (``Framing.NONE``) has
    lost a field.
    """
    if is_marked:
        return Completeness.COMPLETE
    if framing is http_heads.Framing.CLOSE:
        return Completeness.UNCONFIRMED
    return Completeness.INCOMPLETE
