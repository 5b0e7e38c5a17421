"""Callers past their latency target, and the order in which they get slots.

After an outage, every caller that waited for the group is past its latency target.
Forwarded all at once, these callers would take every slot, and each later caller
would queue behind them and miss its target too, until the whole backlog is drained.
So for a while after an outage, such a caller is admitted only if this entry has
fewer streams in flight than its portion of the slots. Callers within their target
are not delayed by this. In the queue, callers without another attempt go first, and
among them the one that would give up first.
"""

import bisect

import attrs

from dunlinpoint.routing import pick

# The fraction of this entry's slots that callers past their target may fill.
PAST_TARGET_SLOTS_FRACTION = 1.1


def is_past_latency_target(left_ms, timeout_ms, latency_target_ms):
    """Whether a caller with *left_ms* of a route's *timeout_ms* is past its target.

    No caller is past the latency target of a route without one (0).
    """
    return latency_target_ms > 0 and timeout_ms - left_ms > latency_target_ms


def entry_slots(members, zone, entry_count):
    """The portion of *members*' slots for each of the *entry_count* entries of *zone*.

    A zone without endpoints gets its portion of the slots of all zones.
    """
    own_zone = [m for m in members if m.zone == zone]
    zones = 1 if own_zone else len({m.zone for m in members})
    slots = sum(m.slots or pick.DEFAULT_SLOTS for m in own_zone or members)
    return slots / (max(1, entry_count) * max(1, zones))


def even_slots(members, entry_count):
    """The portion of *members*' slots for each of the *entry_count* entries.

    For the time of an evacuation: the entries of an evacuated zone use the slots of
    the other zones, so a portion by zone would count these slots twice.
    """
    slots = sum(m.slots or pick.DEFAULT_SLOTS for m in members)
    return slots / max(1, entry_count)


@attrs.define
class Queue:
    """Queue of callers, ordered by their keys.

    A key is a tuple that is unique among all callers. Of those past their latency
    target, it is whether the caller has another attempt, when (ms) it would give up,
    and a unique number.
    """

    keys: list = attrs.field(factory=list)

    def enter(self, key):
        """Add the caller with *key*."""
        bisect.insort(self.keys, key)

    def leave(self, key):
        """Remove the caller with *key*, if it is queued."""
        index = self.ahead_of(key)
        if self.keys[index : index + 1] == [key]:
            del self.keys[index]

    def ahead_of(self, key):
        """The number of queued callers ahead of the one with *key*."""
        return bisect.bisect_left(self.keys, key)
