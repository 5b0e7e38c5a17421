"""Validation of single fields of the platform's bodies.

A body may come from a foreign client: not JSON, nested too deeply, with a number
in place of a name, or with a name that cannot be encoded. An invalid value that
was accepted would fail when thrift messages are serialised, and with it every
member list that contains it. So each field is validated here, and an error names
the field.
"""

import ipaddress
import json

MAX_I32 = 2**31 - 1
MAX_I64 = 2**63 - 1
MAX_PORT = 2**16 - 1
# Far above valid names and bodies: a name has a few dozen characters and a heartbeat
# a few hundred bytes, also in a group of 72 ranks.
MAX_NAME_LENGTH = 256
MAX_BODY_BYTES = 64 * 1024


class FieldError(ValueError):
    """An invalid body: its text is the problem, or the name of the invalid field."""


def json_object(body):
    """The JSON object in *body* (``bytes``) as a ``dict``."""
    if len(body) > MAX_BODY_BYTES:
        raise FieldError("body too long")
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise FieldError("body unreadable") from exc
    if not isinstance(raw, dict):
        raise FieldError("body unreadable")
    return raw


def name(value, field):
    """*value* if it is a valid name: non-empty, short, encodable as UTF-8."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise FieldError(field)
    try:
        value.encode()
    except UnicodeEncodeError as exc:
        raise FieldError(field) from exc
    return value


def whole_number(value, field, minimum=0, maximum=MAX_I64):
    """*value* if it is an ``int`` from *minimum* to *maximum*."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError(field)
    if not minimum <= value <= maximum:
        raise FieldError(field)
    return value


def address(value, field):
    """``(host, port)`` from *value*, ``"host:port"`` with an IPv4 host."""
    host, _, port = name(value, field).rpartition(":")
    if not (port.isascii() and port.isdigit()):
        raise FieldError(field)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise FieldError(field) from exc
    return host, whole_number(int(port), field, 1, MAX_PORT)
