"""Decoding of endpoint signals from the headers of the servers' responses."""

import math

from dunlinpoint import clock, logs
from dunlinpoint.routing import endpoint_signals

log = logs.logger("entry")

LIMIT = b"Server-Limit"
REST = b"Retry-After"
LEAVING = b"Server-Leaving"
REFUSED = 503
# Misdirected Request: the response of a server other than the one addressed.
OTHER_SERVER = 421


def _number(value):
    """A finite, non-negative ``float`` from a header's *value*, or ``ValueError``."""
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(value)
    return number


def _read(headers, name):
    """``(number, readable)`` of header *name*; *number* is ``None`` if there is none.

    *readable* is ``False`` if the header is present but is no valid number.
    """
    value = headers.getRawHeaders(name, [None])[-1]
    if value is None:
        return None, True
    try:
        return _number(value), True
    except ValueError:
        log.warning("notice_unreadable", field=name.decode(), error=repr(value[:40]))
        return None, False


def from_answer(status, headers):
    """The ``Signal`` in a response with *status* and *headers*."""
    if status == OTHER_SERVER:
        return endpoint_signals.NO_SIGNAL
    limit_per_s, is_complete = _read(headers, LIMIT)
    backoff_ms = None
    if status == REFUSED:
        rest_s, _ = _read(headers, REST)
        backoff_ms = None if rest_s is None else math.ceil(rest_s * clock.MS_PER_SECOND)
    is_draining = headers.getRawHeaders(LEAVING, [b""])[-1].strip() == b"1"
    return endpoint_signals.Signal(limit_per_s, backoff_ms, is_draining, is_complete)
