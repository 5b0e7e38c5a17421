"""The document's text as it travels and is stored: compressed.

A document of some hundred routes is a hundred kilobytes of JSON that says
the same words again and again, and every change crosses every zone.
"""

import base64
import zlib


def pack(text):
    """*text* compressed (``bytes``)."""
    return zlib.compress(text.encode(), 6)


def unpack(data):
    """The text of compressed *data*."""
    return zlib.decompress(data).decode()


def to_saved(data):
    """Compressed *data* as text for a JSON file."""
    return base64.b64encode(data).decode()


def from_saved(text):
    """The compressed data of a JSON file's *text*."""
    return base64.b64decode(text)


EMPTY = pack("{}")
