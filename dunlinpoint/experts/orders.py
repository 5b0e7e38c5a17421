"""Orders as they travel to other ranks' agents: compressed, against the one before.

A map of 72 ranks and 12 sets is 9 KB and 3.4 KB compressed; sent to all ranks it takes
half a second of its sender's link (4 Mbit/s), in which every pass is as long as the old
map makes it. Most of a map is as it was in the one before, which both ends have: with
that as the dictionary of the compression, 1.1 to 1.4 KB travel for 200 to 250 experts
that moved.

Each end keeps the last texts by their checksum. A receiver that lacks the one that a
message needs (it has restarted) says so, and is sent the whole; the compression itself
checks that it is the same to the letter.
"""

import json
import zlib

import attrs

# Operations of the change of map.
PREPARE = "prepare"
ARM = "arm"
DISARM = "disarm"
HOLD = "retention"
GO = "go"

# The base of a message that needs none.
NO_BASE = 0
# A receiver that missed a map or two still has one that the sender has.
KEPT = 3
# Shorter texts (bytes) are no base: orders to arm come between two maps, and a map
# has nothing in common with them.
LEAST_BASE = 400


@attrs.frozen
class Order:
    """One order, and its *text* as an engine takes it."""

    operation: str
    version: int
    epoch: int
    text: str

    @classmethod
    def from_body(cls, body):
        """The order that *body* (a dict of the engine's words) is."""
        text = json.dumps(body, separators=(",", ":"))
        return cls(body["operation"], body.get("version", 0), body["epoch"], text)


def checksum(text):
    """What names *text* (``int``, never :data:`NO_BASE`)."""
    return zlib.crc32(text.encode()) or 1


def pack(text, base=""):
    """*text* compressed, with *base* as what the receiver has already."""
    if not base:
        return zlib.compress(text.encode())
    packer = zlib.compressobj(zdict=base.encode())
    return packer.compress(text.encode()) + packer.flush()


def unpack(packed, base=""):
    """The text of :func:`pack`'s bytes; raises ``zlib.error`` with another *base*."""
    if not base:
        return zlib.decompress(packed).decode()
    unpacker = zlib.decompressobj(zdict=base.encode())
    return (unpacker.decompress(packed) + unpacker.flush()).decode()


@attrs.define
class Texts:
    """The last texts by checksum."""

    text_by_checksum: dict = attrs.field(factory=dict)

    def keep(self, text):
        """*text* is known from now on; its checksum, or ``NO_BASE`` if it is short."""
        if len(text) < LEAST_BASE:
            return NO_BASE
        found = checksum(text)
        self.text_by_checksum.pop(found, None)
        self.text_by_checksum[found] = text
        while len(self.text_by_checksum) > KEPT:
            del self.text_by_checksum[next(iter(self.text_by_checksum))]
        return found

    def get(self, base):
        """The text that *base* names; ``""`` for none, ``None`` if it is not known."""
        return "" if base == NO_BASE else self.text_by_checksum.get(base)


@attrs.define
class Sender:
    """What is known of the texts that other ranks' agents have."""

    texts: Texts = attrs.field(factory=Texts)
    base_by_peer: dict = attrs.field(factory=dict)
    packed_by_base: dict = attrs.field(factory=dict)
    text: str = ""

    def pack(self, peer, text):
        """The base and the bytes of *text* for the agent at *peer*."""
        if text != self.text:
            self.text, self.packed_by_base = text, {}
        base = self.base_by_peer.get(peer, NO_BASE)
        known = self.texts.get(base)
        if known is None:
            base, known = NO_BASE, ""
        if base not in self.packed_by_base:
            self.packed_by_base[base] = pack(text, known)
        return base, self.packed_by_base[base]

    def taken(self, peer, text):
        """The agent at *peer* has *text* now."""
        kept = self.texts.keep(text)
        if kept != NO_BASE:
            self.base_by_peer[peer] = kept

    def forget(self, peer):
        """The agent at *peer* lacks the base that it was thought to have."""
        self.base_by_peer.pop(peer, None)
