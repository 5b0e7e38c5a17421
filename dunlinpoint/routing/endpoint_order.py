"""The order in which each entry prefers endpoints of equal load.

An entry knows exactly what it has in flight itself, and the load from other entries
only with a delay. With ties broken at random, several entries sent their odd request
to the same endpoint: with 6 entries in front of 12 ranks, the busiest rank had 1.43
times the mean in flight, and as ranks run in lock-step, it determined the speed of
all streams. Sharing the loads between entries made it worse at any affordable lag
(1.63 times at 250 ms, as all entries choose the same idle endpoint).

Here the endpoints form a ring, and each entry begins its order at a different one,
evenly spaced by its index among the entries. The only message needed is this index,
which controls know, since every entry polls them for changes.
"""

import collections


def rotated(members, index, entry_count):
    """*members* rotated by the fraction *index* / *entry_count* of their number."""
    if not members or entry_count < 1:
        return list(members)
    start = index * len(members) // entry_count % len(members)
    return members[start:] + members[:start]


def preferred_order(members, zone, index, entry_count):
    """*members* (in the same order at all entries) as one entry prefers them.

    *index* is the entry's index among the *entry_count* entries in *zone*. The own
    zone comes first. Each zone's endpoints are rotated separately: rotated all
    together, the entries of a zone began at endpoints close to each other.
    """
    by_zone = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    zones = sorted(by_zone, key=lambda name: (name != zone, name))
    return [m for name in zones for m in rotated(by_zone[name], index, entry_count)]


def entries_between(members, by_zone, entry_count):
    """How many entries begin their orders before each of *members*, in this one's.

    With *by_zone*, the endpoints of each zone form a ring; else all of them form one.
    *entry_count* entries begin at even distances on each ring.
    """
    rings = [member.zone if by_zone else "" for member in members]
    sizes, seen = collections.Counter(rings), collections.Counter()
    counts = []
    for ring in rings:
        counts.append(seen[ring] * entry_count // sizes[ring])
        seen[ring] += 1
    return counts


def is_evenly_distributed(members, zone):
    """Whether *members* are distributed evenly over some zones, including *zone*."""
    sizes = collections.Counter(member.zone for member in members)
    return zone in sizes and len(set(sizes.values())) == 1


def preferred_order_in_group(members, zone, index, entry_count):
    """*members* of one group of ranks as an entry prefers them.

    If the group is distributed evenly over its zones, this is the order of
    :func:`preferred_order`. If not, the entries of all zones begin at endpoints all
    around the group: preferring the own zone, the entries of a zone with six ranks of
    a group of 24 sent all their requests to these six, which rejected some of them,
    and the most loaded rank determines the speed of all.
    """
    if is_evenly_distributed(members, zone):
        return preferred_order(members, zone, index, entry_count)
    zones = sorted({member.zone for member in members} | {zone})
    index = index * len(zones) + zones.index(zone)
    return rotated(members, index, len(zones) * entry_count)
