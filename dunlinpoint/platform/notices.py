"""What the platform's servers say of themselves in the headers of their answers."""

import math

from dunlinpoint import logs
from dunlinpoint.routing import notices

log = logs.logger("entry")

LIMIT = b"Server-Limit"
# The answer of a server that is not the one a request is meant for.
OTHER_SERVER = 421


def _number(value):
    """A number, 0 or more, from a header's *value*; raises ``ValueError``."""
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(value)
    return number


def _read(headers, name):
    """``(number, readable)``: the number that header *name* holds, or ``None``."""
    value = headers.getRawHeaders(name, [None])[-1]
    if value is None:
        return None, True
    try:
        return _number(value), True
    except ValueError:
        log.warning("notice_unreadable", field=name.decode(), error=repr(value[:40]))
        return None, False


def from_answer(status, headers):
    """The ``Notice`` of an answer with *status* and *headers*."""
    if status == OTHER_SERVER:
        return notices.NOTHING
    limit_per_s, is_whole = _read(headers, LIMIT)
    return notices.Notice(limit_per_s=limit_per_s, is_whole=is_whole)
