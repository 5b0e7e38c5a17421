"""Which of some ranks has a slot free for one more stream.

An engine runs so many requests at once, and has the others wait. With 42 entries in
front of 72 ranks of 5 slots, or 99 in front of 192 of 3, an entry has a stream or two
at a time, and what it knows of its own says nothing of how full an engine is: streams
waited for a slot, or were sent back, while half of the slots stood free. An agent
reads its engine's report fresh and free, so an entry asks the agents of a few ranks
that it would choose next, and takes the one with the fewest requests.

Where all of them are full, so are nearly all others. A stream that waits at an engine
is late, and so is each that comes after it; those that are in time are as many as get a
slot at once. So it waits at the entry, for as long as it can still be in time.

Who was refused once and came back is late whatever happens, and in the slot it takes
another would be in time. So it takes a slot only where another stays free beside it. On
a model of a group of 72 ranks near and over its limit that is worth 0.016 of a caller's
worth as the mean of ten loads, 0.05 at best and no less than before at worst; with all
slots open to both, asking is worth 0.08 and more over the limit.

Ranks advance together, each with its own part of a pass: so much for each step, and so
much for each request that it has. A rank that is slow takes longer for both, and with
its share of the streams it alone sets the pace of all; with one or none, the others'
parts are as long as its own. So the rank is chosen whose part will be the shortest.
"""

from dunlinpoint.routing import pick

# How many ranks are asked at once, and how often others when those are full. Of ranks
# that are full to nine tenths, one of three has a slot free in 27 of 100 cases at
# worst and one of six in 47; of ranks that are full to half, in 99.
ASKED = 3
ROUNDS = 2
# What a step takes without any request, in requests that it has more: 2.1 to 8.2 with
# the engines known today. Too small a figure keeps more from a slow rank.
BARE_STEP_REQUESTS = 4.0
# The part of a rank's slots that callers who came back may fill. On the model 0.7 was
# worth as much over the limit and 0.04 less near it.
RETURNED_PART = 0.85


def choose(members, load_by_life, returned=False):
    """The one of *members* (best first) to send to, or ``None`` if all are full.

    *load_by_life* has the ``RankLoad`` of each, ``None`` where its agent did not say.
    One that is not known is taken before one that is full. *returned* is whether the
    caller has been refused before.
    """
    part = RETURNED_PART if returned else 1.0
    loads = [load_by_life[pick.life(member)] for member in members]
    free = [
        (part_with_one_more(load), place)
        for place, (member, load) in enumerate(zip(members, loads, strict=True))
        if load is not None and load.requests + 1 <= part * slots_of(member)
    ]
    if free:
        return members[min(free)[1]]
    unknown = [m for m, load in zip(members, loads, strict=True) if load is None]
    return unknown[0] if unknown else None


def part_with_one_more(load):
    """How long a rank's own part of a step is with another request, in requests."""
    return load.pace * (BARE_STEP_REQUESTS + load.requests + 1)


def slots_of(member):
    """How many requests *member* runs at once."""
    return member.slots or pick.DEFAULT_SLOTS
