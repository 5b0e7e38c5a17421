"""Callers that are late already, and which of them gets the next slot.

After an outage everyone who waited for the group is late. Sent on all at once they
take every slot, and whoever asks next waits behind them and is late as well, for as
long as it takes to work off all of them. So for a while a late caller begins only if
this entry has fewer streams in flight than its part of the slots; who asks for the
first time is not kept waiting by it. Of those who wait here, who has no other try is
next, and of these the one that would leave first.
"""

import bisect

import attrs

from dunlinpoint.routing import pick

# The part of this entry's slots up to which late callers may begin.
SLOTS_SHARE = 1.1


def is_past_latency_target(left_ms, timeout_ms, aim_ms):
    """Whether a caller with *left_ms* of a route's *timeout_ms* is past its aim.

    A route without an aim (0) has no late callers.
    """
    return aim_ms > 0 and timeout_ms - left_ms > aim_ms


def entry_slots(members, zone, places):
    """The part of *members*' slots that falls to one of *places* entries of *zone*."""
    near = [m for m in members if m.zone == zone]
    zones = 1 if near else len({m.zone for m in members})
    slots = sum(m.slots or pick.DEFAULT_SLOTS for m in near or members)
    return slots / (max(1, places) * max(1, zones))


@attrs.define
class Queue:
    """Late callers that wait for a slot, by their turn.

    A turn is whether the caller could come back once more, when (ms) it would leave,
    and a number that no other has.
    """

    turns: list = attrs.field(factory=list)

    def enter(self, turn):
        """A caller waits for its *turn*."""
        bisect.insort(self.turns, turn)

    def leave(self, turn):
        """The caller does not wait any more."""
        place = self.ahead_of(turn)
        if self.turns[place : place + 1] == [turn]:
            del self.turns[place]

    def ahead_of(self, turn):
        """How many of those who wait are to go before the caller with *turn*."""
        return bisect.bisect_left(self.turns, turn)
