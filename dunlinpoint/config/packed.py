"""Compression of the document's text for transfer and storage.

A document of some hundred routes is about 100 KB of highly repetitive JSON, and
every change is sent to every zone.
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
    """The compressed data in *text* of a JSON file."""
    return base64.b64decode(text)


EMPTY = pack("{}")
