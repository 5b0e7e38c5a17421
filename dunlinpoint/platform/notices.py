"""What the platform's servers say of themselves in the headers of their answers."""

import math

from dunlinpoint import clock, logs
from dunlinpoint.routing import notices

log = logs.logger("entry")

LIMIT = b"Server-Limit"
REST = b"Retry-After"
LEAVING = b"Server-Leaving"
REFUSED = 503
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
    rest_ms = None
    if status == REFUSED:
        rest_s, _ = _read(headers, REST)
        rest_ms = None if rest_s is None else math.ceil(rest_s * clock.MS_PER_SECOND)
    is_leaving = headers.getRawHeaders(LEAVING, [b""])[-1].strip() == b"1"
    return notices.Notice(limit_per_s, rest_ms, is_leaving, is_whole)
