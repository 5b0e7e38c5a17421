"""Back ends that say for a while what they take, and whether entries heed it.

One back end names a limit, one asks for rest with each refusal, one says that it
leaves, each from its own moment on. An arrival is judged where nothing disturbed its
entry, or the way to the back end, since the entry was told.
"""

import random

import attrs

LIMIT, REST, LEAVING = "limit", "rest", "leaving"
LIMIT_PER_S = 2.0
REST_S = 2.0
HEADERS = {
    LIMIT: {"Server-Limit": str(LIMIT_PER_S)},
    REST: {"Retry-After": str(REST_S)},
    LEAVING: {"Server-Leaving": "1"},
}
BEGINS_S = (0.0, 4.0)
LASTS_S = 8.0
# What is on its way while an entry is told.
SOON_S = 0.5
WINDOW_S = 4.0
DRAIN_S = 2.5
# What may reach a resting back end, and a limited one beyond its limit.
MOST_AT_REST = 2
OVER_LIMIT = 1.5
BEYOND_LIMIT = 5
# How long a fault of a link may hold a request or an answer up.
HELD_S = 4.0


@attrs.frozen
class Spell:
    """What a back end says of itself, from when to when (s)."""

    kind: str
    from_s: float
    to_s: float


@attrs.frozen
class Arrival:
    """A request that reached a back end, and what the back end said then."""

    server_id: str
    request_id: str
    at_s: float
    said: str | None


def spells(seed, backends, now_s):
    """Give each of three back ends of *seed* a spell, beginning after *now_s*."""
    rng = random.Random(f"notices {seed}")
    for kind, backend in zip(
        (LIMIT, REST, LEAVING), rng.sample(backends, 3), strict=True
    ):
        from_s = now_s + rng.uniform(*BEGINS_S)
        backend.spell = Spell(kind, from_s, from_s + LASTS_S)


def broken(world, seen):
    """What was not heeded, as lines of text."""
    entry_by_request = {request.request_id: request.entry for request in seen}
    by_way = {}
    for arrival in sorted(world.arrivals, key=lambda a: a.at_s):
        entry = entry_by_request.get(arrival.request_id)
        if entry is not None:
            by_way.setdefault((arrival.server_id, entry), []).append(arrival)
    found, told = [], {}
    for (server_id, entry), arrivals in by_way.items():
        calm = _calm(world, server_id, entry)
        found += _rested(server_id, entry, arrivals, calm)
        found += _left(server_id, entry, arrivals, calm)
        told.setdefault(server_id, []).extend(_told_of_limit(arrivals, calm))
    for server_id, times_s in told.items():
        found += _limited(server_id, sorted(times_s))
    return found


def _calm(world, server_id, entry):
    node = next(n for n in world.entries if n.name == entry)
    link_faults_s = world.link_faults_s_by_id.get(server_id, [])

    def calm(first_s, last_s):
        """Whether nothing was disturbed between an answer and an arrival."""
        held = any(first_s - HELD_S <= at_s <= last_s for at_s in link_faults_s)
        return not held and not any(
            first_s <= at_s <= last_s for at_s in node.disturbed_s
        )

    return calm


def _said(arrivals, kind):
    return [arrival.at_s for arrival in arrivals if arrival.said == kind]


def _rested(server_id, entry, arrivals, calm):
    for asked_s in _said(arrivals, REST):
        ends_s = asked_s + REST_S
        late = [a for a in arrivals if asked_s + SOON_S < a.at_s < ends_s]
        if len(late) > MOST_AT_REST and calm(asked_s, ends_s):
            return [f"{server_id} rested and got {len(late)} requests from {entry}"]
    return []


def _left(server_id, entry, arrivals, calm):
    said_s = _said(arrivals, LEAVING)
    if not said_s:
        return []
    late = [
        a for a in arrivals if a.at_s > said_s[0] + DRAIN_S and calm(said_s[0], a.at_s)
    ]
    if late:
        return [f"{server_id} left and got {len(late)} requests from {entry}"]
    return []


def _told_of_limit(arrivals, calm):
    """When requests came from an entry that had been told, while the limit held."""
    said_s = _said(arrivals, LIMIT)
    return [
        at_s for at_s in said_s if at_s > said_s[0] + SOON_S and calm(said_s[0], at_s)
    ]


def _limited(server_id, times_s):
    allowed = OVER_LIMIT * LIMIT_PER_S * WINDOW_S + BEYOND_LIMIT
    for first_s in times_s:
        count = sum(first_s <= at_s < first_s + WINDOW_S for at_s in times_s)
        if count > allowed:
            return [f"{server_id} named a limit and got {count} requests in 4 s"]
    return []
