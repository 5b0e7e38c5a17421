"""Which control instances vote, and when that set should change.

The voters of a round are part of what the round before it decided, so the
set is changed like a document, and no two disjoint majorities can both be
believed in: a round has one set, known from the one decision before it.

:func:`next_set` only proposes. Its rules, in this order:

- An instance with a new disk at a voter's address takes that voter's place:
  the old one cannot come back.
- A voter unheard for :data:`UNHEARD_MS` gives its place to an instance that
  waits. It may only be cut off; it then waits in its turn.
- Two that wait are added at once: an even set bears no more losses than the
  odd one below it.
- Voters unheard for :data:`SHRINK_MS`, with nobody to take their place, leave
  a set of more than :data:`MIN_VOTERS`.

An instance that lost its disk has forgotten what it promised. It draws a new
``node_id`` and so never answers for the voter it was: what goes wrong
otherwise is a second document chosen for a round that was decided already.
"""

import hashlib
import uuid

import attrs

from dunlinpoint.wire.gen.dunlin import ttypes

# Three losses at once are borne by seven; more voters only cost messages.
MAX_VOTERS = 7
MIN_VOTERS = 3
# Five announcements in a row. A successor counts as being there 4 s after its
# start, and by then the next loss must be borne.
UNHEARD_MS = 2500
# Longer than a machine takes to come back, so that it keeps its place.
SHRINK_MS = 15_000
# Rounds that one who waits may be behind: a storm of changes decides some in
# the time of one announcement.
LAG_ROUNDS = 16


@attrs.frozen
class Voter:
    """One control instance: its id, address and availability zone."""

    node_id: str
    host: str
    port: int
    zone: str = ""

    @classmethod
    def from_message(cls, message):
        """The voter of a ``Voter`` message."""
        return cls(message.node_id, message.host, message.port, message.zone or "")

    @property
    def address(self):
        return self.host, self.port

    def to_message(self):
        """This voter as a ``Voter`` message."""
        return ttypes.Voter(self.node_id, self.host, self.port, self.zone)

    def to_saved(self):
        """This voter as a list for a JSON file."""
        return [self.node_id, self.host, self.port, self.zone]


def founder(host, port):
    """The founding voter at an address that every first instance is told."""
    return Voter(f"founder-{host}:{port}", host, port)


def new_id():
    """The id of an instance whose disk is empty and which founds nothing."""
    return uuid.uuid4().hex


def tag(node_id):
    """The part of a ballot that belongs to *node_id* alone (``int``, 32 bits)."""
    digest = hashlib.blake2b(node_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def majority(voters):
    """How many of *voters* are more than half."""
    return len(voters) // 2 + 1


def _zones(voters):
    counts = {}
    for voter in voters:
        counts[voter.zone] = counts.get(voter.zone, 0) + 1
    return counts


def _choose(waiting, voters):
    """The one of *waiting* whose zone has the fewest of *voters*."""
    counts = _zones(voters)
    return min(waiting, key=lambda w: (counts.get(w.zone, 0), w.node_id))


def _replaced(voters, old, new):
    return [new if voter == old else voter for voter in voters]


def _grown(voters, waiting):
    """*voters* and as many of *waiting* as make an odd set, or ``None``."""
    wanted = 2 if len(voters) % 2 else 1
    if len(waiting) < wanted or len(voters) + wanted > MAX_VOTERS:
        return None
    grown, left = list(voters), list(waiting)
    for _ in range(wanted):
        chosen = _choose(left, grown)
        left.remove(chosen)
        grown.append(chosen)
    return grown


def _shrunk(voters, silent_ms):
    """*voters* without those that are gone for good, or ``None``."""
    lost = [v for v in voters if silent_ms(v.node_id) > SHRINK_MS]
    leaving = 2 if len(voters) % 2 else 1
    if len(lost) < leaving or len(voters) - leaving < MIN_VOTERS:
        return None
    return [v for v in voters if v not in lost[:leaving]]


def next_set(voters, waiting, silent_ms):
    """The voters that should follow *voters*, or ``None`` to leave them.

    *waiting* are live instances that do not vote and hold the newest
    decisions; ``silent_ms(node_id)`` tells for how long a voter is unheard.
    """
    for voter in voters:
        for heir in waiting:
            if heir.address == voter.address:
                return _replaced(voters, voter, heir)
    unheard = [v for v in voters if silent_ms(v.node_id) > UNHEARD_MS]
    if unheard and waiting:
        kept = [v for v in voters if v != unheard[0]]
        return _replaced(voters, unheard[0], _choose(waiting, kept))
    return _grown(voters, waiting) or _shrunk(voters, silent_ms)


def is_turn(own_id, voters, silent_ms):
    """Whether *own_id* is the one to propose a change of *voters*.

    Several proposing at once would only take each other's ballots.
    """
    heard = [v.node_id for v in voters if silent_ms(v.node_id) <= UNHEARD_MS]
    return bool(heard) and min(heard) == own_id
