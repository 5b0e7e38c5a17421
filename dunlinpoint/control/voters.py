"""The voting control instances, and when that set should change.

The voters of a round are part of the previous round's decision, so the set is
changed like a document, and two disjoint majorities can never both be valid: a
round has one set, known from the one decision before it.

:func:`next_set` only proposes. Its rules, in this order:

- An instance with a new disk at a voter's address replaces that voter: the old
  one cannot return.
- An absent voter is replaced by a candidate: one that announces that its process ends,
  or that has been silent for :data:`UNRESPONSIVE_MS`. The latter may only be
  partitioned; it then becomes a candidate itself.
- A voter is replaced by a candidate if another instance joined its zone later: that one
  is probably its successor, and the voter may be removed without any sign. For
  :data:`REPLACEMENT_MS` an instance with a successor replaces and extends nothing if
  another one can.
- Candidates are added two at a time: an even set tolerates no more failures
  than the odd set one smaller.
- Voters that leave or have been silent for :data:`REMOVAL_MS` are removed without a
  replacement, two at a time, as long as at least :data:`MIN_VOTERS` remain.

Which losses a set bears at each moment of a replacement is in ``docs/PLATFORM.md``.

An instance that lost its disk no longer knows its promises. It draws a new
``node_id``, so it never answers as its former voter; if it did, a second
document could be chosen for a round that was already decided.
"""

import hashlib
import uuid

import attrs

from dunlinpoint.wire.gen.dunlin import ttypes

# Seven voters tolerate three simultaneous failures; more only cost messages.
MAX_VOTERS = 7
MIN_VOTERS = 3
# Five announcement intervals. A replacement instance is expected to be available
# 4 s after its start, and by then the next failure must be tolerated.
UNRESPONSIVE_MS = 2500
# Longer than a machine takes to restart, so that a restarted voter is not removed, and
# than a split lasts: with three voters left of five, two disks lost at its end would
# be a majority.
REMOVAL_MS = 15_000
# An instance that still runs so long after a later one joined in its zone is not
# being replaced.
REPLACEMENT_MS = 600_000
# Rounds that a candidate may lag: during a burst of changes several rounds are
# decided between two announcements.
MAX_LAG_ROUNDS = 16


@attrs.frozen
class Voter:
    """A control instance: its id, address and availability zone."""

    node_id: str
    host: str
    port: int
    zone: str = ""

    @classmethod
    def from_message(cls, message):
        """The voter in a ``Voter`` message."""
        return cls(message.node_id, message.host, message.port, message.zone or "")

    @property
    def address(self):
        return self.host, self.port

    def to_message(self):
        """This voter as a ``Voter`` message."""
        return ttypes.Voter(self.node_id, self.host, self.port, self.zone)

    def to_saved(self):
        """This voter as a list for the state file."""
        return [self.node_id, self.host, self.port, self.zone]


def founder(host, port):
    """The founding voter at one of the seed addresses.

    Its id follows from the address, so that all founders agree on it.
    """
    return Voter(f"founder-{host}:{port}", host, port)


def new_id():
    """A random id, for an instance that has an empty disk and is no founder."""
    return uuid.uuid4().hex


def ballot_suffix(node_id):
    """The low 32 bits of ballots of *node_id*, which identify it (``int``)."""
    digest = hashlib.blake2b(node_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def majority(voters):
    """The smallest number of *voters* that is more than half."""
    return len(voters) // 2 + 1


def _count_by_zone(voters):
    counts = {}
    for voter in voters:
        counts[voter.zone] = counts.get(voter.zone, 0) + 1
    return counts


def _choose(candidates, voters):
    """The one of *candidates* whose zone has the fewest *voters*."""
    counts = _count_by_zone(voters)
    return min(candidates, key=lambda c: (counts.get(c.zone, 0), c.node_id))


def _replaced(voters, old, new):
    return [new if voter == old else voter for voter in voters]


def _succeeds(instance, other, joined_round):
    """Whether *instance* joined later than *other*, in the same zone."""
    if not instance.zone or instance.zone != other.zone:
        return False
    return joined_round(instance.node_id) > joined_round(other.node_id)


def _without_succeeded(instances, live, joined_round, known_ms):
    """Those of *instances* that none of *live* has lately joined to succeed."""
    recent = [v for v in live if known_ms(v.node_id) < REPLACEMENT_MS]
    return [
        instance
        for instance in instances
        if not any(_succeeds(other, instance, joined_round) for other in recent)
    ]


def _renewed(voters, remaining, candidates):
    """*voters* with one that is not in *remaining* replaced, or ``None``.

    A candidate of its own zone is preferred.
    """
    for voter in voters:
        if voter in remaining or not candidates:
            continue
        others = [v for v in voters if v != voter]
        same_zone = [c for c in candidates if c.zone == voter.zone]
        return _replaced(voters, voter, _choose(same_zone or candidates, others))
    return None


def _grown(voters, candidates):
    """*voters* plus one or two of *candidates* to an odd number, or ``None``."""
    added = 2 if len(voters) % 2 else 1
    if len(candidates) < added or len(voters) + added > MAX_VOTERS:
        return None
    grown, remaining = list(voters), list(candidates)
    for _ in range(added):
        chosen = _choose(remaining, grown)
        remaining.remove(chosen)
        grown.append(chosen)
    return grown


def _absent(voters, silent_ms, leaving, limit_ms=UNRESPONSIVE_MS):
    """Those of *voters* that leave, then those silent for over *limit_ms*."""
    ending = [v for v in voters if v.node_id in leaving]
    silent = [v for v in voters if silent_ms(v.node_id) > limit_ms]
    return ending + [v for v in silent if v not in ending]


def _shrunk(voters, absent):
    """*voters* without one or two of *absent*, or ``None``.

    The new set is odd: an even one tolerates no more failures than with one voter
    less, and an absent voter may return to the old set.
    """
    removed = 2 if len(voters) % 2 else 1
    if len(absent) < removed or len(voters) - removed < MIN_VOTERS:
        return None
    return [v for v in voters if v not in absent[:removed]]


def next_set(
    voters,
    candidates,
    silent_ms,
    leaving=frozenset(),
    joined_round=lambda node_id: 0,
    known_ms=lambda node_id: 0,
):
    """The list of voters that should replace *voters*, or ``None`` for no change.

    *candidates* are live instances that do not vote, hold recent decisions and do not
    leave. ``silent_ms(node_id)`` is the time since a voter's last announcement, in
    ms; *leaving* holds the ids of instances whose processes are about to end.
    ``joined_round(node_id)`` is the round at which an instance joined the deployment,
    and ``known_ms(node_id)`` the time since its first announcement here, in ms.
    """
    for voter in voters:
        for replacement in candidates:
            if replacement.address == voter.address:
                return _replaced(voters, voter, replacement)
    absent = _absent(voters, silent_ms, leaving)
    live = [v for v in voters if v not in absent] + candidates
    remaining, joining = (
        _without_succeeded(instances, live, joined_round, known_ms)
        for instances in (voters, candidates)
    )
    if absent and candidates:
        others = [v for v in voters if v != absent[0]]
        return _replaced(voters, absent[0], _choose(joining or candidates, others))
    return (
        _renewed(voters, remaining, joining)
        or _grown(voters, joining)
        or _shrunk(voters, _absent(voters, silent_ms, leaving, REMOVAL_MS))
    )


def is_proposer(own_id, voters, silent_ms, leaving=frozenset()):
    """Whether *own_id* is the instance that proposes changes of *voters*.

    Concurrent proposers would only invalidate each other's ballots.
    """
    absent = _absent(voters, silent_ms, leaving)
    live_ids = [v.node_id for v in voters if v not in absent]
    return bool(live_ids) and min(live_ids) == own_id
