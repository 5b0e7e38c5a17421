"""Engine commands as sent between agents: compressed with an earlier one as dictionary.

A map of 72 ranks and 12 sets is 9 KB and 3.4 KB compressed; sent to all ranks it takes
half a second of its sender's link (4 Mbit/s), during which every step is still as long
as the old map makes it. Most of a map equals the one before, which both ends have. With
that one as the compression dictionary, 1.1 to 1.4 KB are sent for 200 to 250 experts
that moved.

Each end keeps the last texts by their checksum. A receiver that lacks the base of a
message (because it has restarted) says so and is sent the full text. The compression
itself verifies that both ends use the same dictionary.
"""

import json
import zlib

import attrs

# Operations of a change of map.
PREPARE = "prepare"
ARM = "arm"
DISARM = "disarm"
HOLD = "retention"
GO = "go"

# Base of a message that is compressed without one.
NO_BASE = 0
# Number of texts kept: a receiver that missed a map or two still shares a base.
MAX_TEXTS = 3
# Minimum length (bytes) of a base. Commands to arm are sent between two maps and are
# shorter; a map has nothing in common with them.
MIN_BASE_LENGTH = 400


@attrs.frozen
class Command:
    """One engine command; *text* is its JSON body."""

    operation: str
    version: int
    epoch: int
    text: str

    @classmethod
    def from_body(cls, body):
        """The command of *body*, a dict of the engine's field names."""
        text = json.dumps(body, separators=(",", ":"))
        return cls(body["operation"], body.get("version", 0), body["epoch"], text)


def checksum(text):
    """Return the identifier of *text* (``int``, never :data:`NO_BASE`)."""
    return zlib.crc32(text.encode()) or 1


def pack(text, base=""):
    """Compress *text* with *base*, a text that the receiver has, as the dictionary."""
    if not base:
        return zlib.compress(text.encode())
    packer = zlib.compressobj(zdict=base.encode())
    return packer.compress(text.encode()) + packer.flush()


def unpack(packed, base=""):
    """Decode the bytes of :func:`pack`; raises ``zlib.error`` for another *base*."""
    if not base:
        return zlib.decompress(packed).decode()
    unpacker = zlib.decompressobj(zdict=base.encode())
    return (unpacker.decompress(packed) + unpacker.flush()).decode()


@attrs.define
class TextCache:
    """The last ``MAX_TEXTS`` texts by checksum."""

    text_by_checksum: dict = attrs.field(factory=dict)

    def add(self, text):
        """Add *text*; return its checksum, or ``NO_BASE`` if it is too short."""
        if len(text) < MIN_BASE_LENGTH:
            return NO_BASE
        identifier = checksum(text)
        self.text_by_checksum.pop(identifier, None)
        self.text_by_checksum[identifier] = text
        while len(self.text_by_checksum) > MAX_TEXTS:
            del self.text_by_checksum[next(iter(self.text_by_checksum))]
        return identifier

    def get(self, base):
        """Return the text of *base*: ``""`` for ``NO_BASE``, ``None`` if unknown."""
        return "" if base == NO_BASE else self.text_by_checksum.get(base)


@attrs.define
class Sender:
    """Compresses texts for other ranks' agents, and tracks which bases they have."""

    texts: TextCache = attrs.field(factory=TextCache)
    base_by_peer: dict = attrs.field(factory=dict)
    packed_by_base: dict = attrs.field(factory=dict)
    text: str = ""

    def pack(self, peer, text):
        """Return the base and the bytes of *text* for the agent at *peer*."""
        if text != self.text:
            self.text, self.packed_by_base = text, {}
        base = self.base_by_peer.get(peer, NO_BASE)
        known = self.texts.get(base)
        if known is None:
            base, known = NO_BASE, ""
        if base not in self.packed_by_base:
            self.packed_by_base[base] = pack(text, known)
        return base, self.packed_by_base[base]

    def acknowledge(self, peer, text):
        """Record that the agent at *peer* has *text*."""
        base = self.texts.add(text)
        if base != NO_BASE:
            self.base_by_peer[peer] = base

    def forget_base(self, peer):
        """Record that the agent at *peer* lacks the base assumed for it."""
        self.base_by_peer.pop(peer, None)
