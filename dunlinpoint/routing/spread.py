"""The order in which each entry prefers endpoints of equal load.

An entry knows exactly what it has in flight itself, and of the other entries
nothing that is not late. Where all of them broke ties at random, some
endpoint got the odd request of several at once: with 6 entries in front of 12
ranks the busiest had 1.40 times the mean in flight, and as ranks advance in
lock-step, it alone set the pace of all streams. Loads shared between entries
made it worse at any lag that is affordable (1.63 at 250 ms: everyone runs to
the same idle endpoint).

Here every entry begins its order at another endpoint, a fixed part of the way
round. No message is needed but the entry's place among the entries, which
controls know, since every entry asks them for changes.
"""


def rotated(members, place, places):
    """*members* (in the same order everywhere) as entry *place* of *places* prefers."""
    if not members or places < 1:
        return list(members)
    start = place * len(members) // places % len(members)
    return members[start:] + members[:start]
