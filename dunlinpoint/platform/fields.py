"""Checks of single fields of the platform's bodies.

What comes in may be from another writer: not JSON, nested without end, a number
where there should be a name, a name that no encoder takes. A value that passed
unchecked would fail where our own messages are written, and with it every member
list that holds it; so each is checked here and an error names the field.
"""

import ipaddress
import json

LARGEST_I32 = 2**31 - 1
LARGEST_I64 = 2**63 - 1
LARGEST_PORT = 2**16 - 1
# Longer than any name or body that a sound writer sends: a name is a few dozen
# characters, a heartbeat a few hundred bytes, a group of 72 ranks adds nothing.
LONGEST_NAME = 256
LARGEST_BODY = 64 * 1024


class FieldError(ValueError):
    """A body that cannot be read, or the name of a field that is wrong."""


def table(body):
    """The JSON object that *body* (``bytes``) holds."""
    if len(body) > LARGEST_BODY:
        raise FieldError("body too long")
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise FieldError("body unreadable") from exc
    if not isinstance(raw, dict):
        raise FieldError("body unreadable")
    return raw


def name(value, field):
    """*value* as a name: a short text that can be written as UTF-8."""
    if not isinstance(value, str) or not 0 < len(value) <= LONGEST_NAME:
        raise FieldError(field)
    try:
        value.encode()
    except UnicodeEncodeError as exc:
        raise FieldError(field) from exc
    return value


def whole(value, field, least=0, most=LARGEST_I64):
    """*value* as a whole number from *least* to *most*."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError(field)
    if not least <= value <= most:
        raise FieldError(field)
    return value


def address(value, field):
    """The IPv4 host and the port of *value*, ``"host:port"``."""
    host, _, port = name(value, field).rpartition(":")
    if not (port.isascii() and port.isdigit()):
        raise FieldError(field)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise FieldError(field) from exc
    return host, whole(int(port), field, 1, LARGEST_PORT)
