"""Strict checks of a response's head (RFC 9110, RFC 9112).

The HTTP library reads more than the protocol allows: any number as a status, any
version, control bytes, and a line that begins with a blank as a part of the field
before it. Of several fields that say where the body ends, it takes one. Passed on, such
a head reaches a caller as an answer.
"""

import enum
import re

# The first digit of a status is its class, 1 to 5.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t -~\x80-\xff]*)?")
# Obsolete line folding, a line that continues the one before it, does not match.
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*")
# Most bytes of a line that an error shows.
MAX_SHOWN_BYTES = 80


class HeadError(ValueError):
    """A response's head is not one of HTTP/1."""


class Framing(enum.Enum):
    """What tells where the body of a response ends (RFC 9112, 6.3).

    - ``CHUNKS``, ``LENGTH``: the last chunk, or the length in the head.
    - ``EMPTY``: its status or its request's method allows no body.
    - ``CLOSE``: the end of the connection, which the head announces.
    - ``NONE``: the end of the connection, though the head keeps the connection open;
      a head that has lost a field looks like this.
    """

    CHUNKS = "chunks"
    LENGTH = "length"
    EMPTY = "empty"
    CLOSE = "close"
    NONE = "none"


# Framings of bodies that end with their connection alone.
UNMARKED = (Framing.CLOSE, Framing.NONE)


def check_status_line(line):
    """Raise ``HeadError`` if *line* (``bytes``, without its end) is no status line."""
    if not STATUS_LINE.fullmatch(line):
        raise HeadError(f"status line {line[:MAX_SHOWN_BYTES]!r}")


def check_field_line(line):
    """Raise ``HeadError`` if *line* (``bytes``, without its end) is no field line."""
    if not FIELD_LINE.fullmatch(line):
        raise HeadError(f"field line {line[:MAX_SHOWN_BYTES]!r}")


def check_framing(codings, lengths):
    """Raise ``HeadError`` if a head says more than once where its body ends.

    *codings* and *lengths* are the values of its ``Transfer-Encoding`` and
    ``Content-Length`` fields. The library refuses lengths that differ.
    """
    if len(codings) > 1 or (codings and lengths):
        raise HeadError(f"{len(codings)} transfer codings, {len(lengths)} lengths")


def framing(version, codings, lengths, options):
    """The ``Framing`` of a response that may have a body, by its head.

    *version* is that of its status line, ``(major, minor)``; *codings*, *lengths* and
    *options* are the values of its ``Transfer-Encoding``, ``Content-Length`` and
    ``Connection`` fields.
    """
    if codings:
        return Framing.CHUNKS
    if lengths:
        return Framing.LENGTH
    names = {name.strip().lower() for value in options for name in value.split(b",")}
    if b"close" in names or (version < (1, 1) and b"keep-alive" not in names):
        return Framing.CLOSE
    return Framing.NONE
