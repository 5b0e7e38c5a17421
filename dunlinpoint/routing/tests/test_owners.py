"""Owners of idempotency keys while a zone is evacuated."""

import itertools

from dunlinpoint.routing import owners
from dunlinpoint.wire.gen.dunlin import ttypes

AGENTS = [
    ttypes.Member(endpoint_id=f"{zone}-{n}", zone=zone)
    for zone in ("z1", "z2", "z3")
    for n in range(3)
]


def holders(key, evacuated_zone=None, lost=()):
    """The owner and the backup of *key*."""
    agents = [a for a in AGENTS if a.endpoint_id not in lost]
    live = [a for a in agents if a.zone != evacuated_zone]
    evacuated = [a for a in agents if a.zone == evacuated_zone]
    return owners.owner_and_backup(live, evacuated, key)


def test_a_retry_reaches_an_agent_that_knows_the_key():
    # Failure: a call runs a second time when its retry comes after the evacuation of
    # the zone of both agents that hold its key, or after the end of the evacuation.
    for number, zone in itertools.product(range(200), ("z1", "z2", "z3")):
        key = f"key-{number}"
        before, during = holders(key), holders(key, zone)
        assert during[0].zone != zone
        assert set(map(id, before)) & set(map(id, during))
        lost = {before[0].endpoint_id}
        after_loss = holders(key, zone, lost)
        assert set(map(id, during)) & set(map(id, after_loss))
        assert holders(key) == before


def test_without_an_evacuation_the_first_two_agents_hold_the_key():
    for number in range(50):
        assert (
            list(holders(f"key-{number}")) == owners.owners(AGENTS, f"key-{number}")[:2]
        )
    assert owners.owner_and_backup([], AGENTS[:1], "key") == (None, AGENTS[0])
    assert owners.owner_and_backup(AGENTS[:1], [], "key") == (AGENTS[0], None)
