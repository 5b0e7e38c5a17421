"""The order in which each entry prefers endpoints of equal load.

An entry knows exactly what it has in flight itself, and of the other entries
nothing that is not late. Where all of them broke ties at random, some
endpoint got the odd request of several at once: with 6 entries in front of 12
ranks the busiest had 1.43 times the mean in flight, and as ranks advance in
lock-step, it alone set the pace of all streams. Loads shared between entries
made it worse at any lag that is affordable (1.63 at 250 ms: everyone runs to
the same idle endpoint).

Here every entry begins its order at another endpoint, a fixed part of the way
round. No message is needed but the entry's place among the entries, which
controls know, since every entry asks them for changes.
"""

import collections


def rotated(members, place, places):
    """*members* from the one on that is *place* of *places* of the way round."""
    if not members or places < 1:
        return list(members)
    start = place * len(members) // places % len(members)
    return members[start:] + members[:start]


def preferred_order(members, zone, place, places):
    """*members* (in the same order everywhere) as one entry prefers them.

    The entry is number *place* of the *places* entries in *zone*. Each zone's
    endpoints are gone round for themselves: in one round over all of them,
    the entries of a zone began at endpoints close to each other.
    """
    by_zone = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    zones = sorted(by_zone, key=lambda name: (name != zone, name))
    return [m for name in zones for m in rotated(by_zone[name], place, places)]


def is_evenly_distributed(members, zone):
    """Whether *members* lie evenly over some zones, *zone* among them."""
    sizes = collections.Counter(member.zone for member in members)
    return zone in sizes and len(set(sizes.values())) == 1


def preferred_order_in_group(members, zone, place, places):
    """*members* of one group of ranks as an entry prefers them.

    Where the group lies evenly over its zones, as :func:`preferred_order`. Where it
    does not, each zone's entries begin all round it: the six ranks that a zone had of a
    group of 24 got all that its entries sent to the group and rejected a part of
    it, and the most loaded of them sets the pace of all.
    """
    if is_evenly_distributed(members, zone):
        return preferred_order(members, zone, place, places)
    zones = sorted({member.zone for member in members} | {zone})
    place = place * len(zones) + zones.index(zone)
    return rotated(members, place, len(zones) * places)
