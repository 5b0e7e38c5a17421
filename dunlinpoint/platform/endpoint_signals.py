"""Decoding of endpoint signals from the headers of the servers' responses."""

import math

from dunlinpoint import clock, logs
from dunlinpoint.routing import endpoint_signals

log = logs.logger("entry")

LIMIT_HEADER = b"Server-Limit"
RETRY_AFTER_HEADER = b"Retry-After"
DRAINING_HEADER = b"Server-Leaving"
SERVICE_UNAVAILABLE = 503
# Misdirected Request: the response of a server other than the one addressed.
MISDIRECTED_REQUEST = 421


def _parse_number(value):
    """A finite, non-negative ``float`` from a header's *value*, or ``ValueError``."""
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(value)
    return number


def _read_number(headers, name):
    """``(number, readable)`` of header *name*; *number* is ``None`` if there is none.

    *readable* is ``False`` if the header is present but not a valid number.
    """
    value = headers.getRawHeaders(name, [None])[-1]
    if value is None:
        return None, True
    try:
        return _parse_number(value), True
    except ValueError:
        log.warning("notice_unreadable", field=name.decode(), error=repr(value[:40]))
        return None, False


def from_response(status, headers):
    """The ``Signal`` in a response with *status* and *headers*."""
    if status == MISDIRECTED_REQUEST:
        return endpoint_signals.NO_SIGNAL
    limit_per_s, is_complete = _read_number(headers, LIMIT_HEADER)
    backoff_ms = None
    if status == SERVICE_UNAVAILABLE:
        backoff_s, _ = _read_number(headers, RETRY_AFTER_HEADER)
        backoff_ms = (
            None if backoff_s is None else math.ceil(backoff_s * clock.MS_PER_SECOND)
        )
    is_draining = headers.getRawHeaders(DRAINING_HEADER, [b""])[-1].strip() == b"1"
    return endpoint_signals.Signal(limit_per_s, backoff_ms, is_draining, is_complete)
