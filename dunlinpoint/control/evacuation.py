"""Evacuations of zones: endpoints of an evacuated zone get no requests.

The agreed decision holds one record for each zone that was ever evacuated, so that
the end of an evacuation is ordered against its beginning. An operator's order has no
id, so copies of it are told apart from new orders by rounds (:func:`standing`): a
copy does nothing once a later round than the one that was committed at its arrival
has changed the zone.
"""

import enum

import attrs

from dunlinpoint.wire.gen.dunlin import ttypes

# The bit of a control instance's announced features. An instance without it would drop
# the evacuations from what it proposes.
FEATURE = 1


@attrs.frozen
class Evacuation:
    """Whether *zone* is evacuated, and the round that last changed this."""

    zone: str
    active: bool
    round: int

    @classmethod
    def from_message(cls, message):
        """The record in an ``Evacuation`` message."""
        return cls(message.zone, bool(message.active), message.round or 0)

    def to_message(self):
        """This record as an ``Evacuation`` message."""
        return ttypes.Evacuation(self.zone, self.active, self.round)

    def to_saved(self):
        """This record as a list for the state file."""
        return [self.zone, self.active, self.round]


def from_messages(messages, known):
    """The records in a list of messages and those *known*, the later one of each zone.

    Records are never removed. An instance that learned a round from a process of an
    earlier version, which drops the list (``None``), would otherwise propose its next
    decision without records that the others hold.
    """
    record_by_zone = {record.zone: record for record in known}
    for record in map(Evacuation.from_message, messages or ()):
        held = record_by_zone.get(record.zone)
        if held is None or record.round >= held.round:
            record_by_zone[record.zone] = record
    return tuple(sorted(record_by_zone.values(), key=lambda e: e.zone))


def record_of(evacuations, zone):
    """The record of *zone* among *evacuations*, or ``None``."""
    return next((e for e in evacuations if e.zone == zone), None)


def with_record(evacuations, record):
    """*evacuations* with *record* in place of the earlier one of its zone."""
    others = [e for e in evacuations if e.zone != record.zone]
    return tuple(sorted([*others, record], key=lambda e: e.zone))


def active_zones(evacuations):
    """The evacuated zones (``frozenset``)."""
    return frozenset(e.zone for e in evacuations if e.active)


class Standing(enum.Enum):
    """What a decision means for an order.

    ``OPEN``: the order is to be proposed. ``HELD``: the zone was in the wanted state
    when the order arrived. ``DONE``: a round decided since then put it in that state.
    ``SUPERSEDED``: a round decided since then put it in the other state.
    """

    OPEN = "open"
    HELD = "held"
    DONE = "done"
    SUPERSEDED = "superseded"


def standing(evacuations, zone, active, arrived_round):
    """The ``Standing`` of the order that *zone* be evacuated (*active*) or not.

    *arrived_round* is the round that was committed here when the order arrived.
    """
    record = record_of(evacuations, zone)
    is_wanted = (record is not None and record.active) == active
    if record is not None and record.round > arrived_round:
        return Standing.DONE if is_wanted else Standing.SUPERSEDED
    return Standing.HELD if is_wanted else Standing.OPEN
