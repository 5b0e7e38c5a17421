"""Owners of idempotency keys, and the engines that a prompt's prefix prefers.

- Model requests go to live engine agents of the entry's own zone (of other zones
  only when it has none); of equally loaded ones, to the first by rendezvous hash of
  the prompt's prefix, so that repeated prefixes hit a warm cache.
- Plain-service calls go to the owner of their idempotency key by rendezvous hash
  over the live service agents of all zones: every entry sends a key to the same
  agent, whose key table ensures that the call runs at most once. The owner is not
  chosen within the entry's zone, because the platform's balancer may send a retry
  to another zone's entry, whose zone-local owner would run the call a second time.
  While a zone is evacuated, an agent of another zone takes over the keys of its
  agents (:func:`owner_and_backup`). While a network partition makes the owner
  unreachable, the call is refused as not run: at-most-once takes precedence over
  availability. Idempotent calls may go on to the next agent in the same order.
"""

import hashlib

PREFIX_CHARS = 32


def score(key, endpoint_id):
    """The rendezvous weight of *key* on *endpoint_id* (``int``, 64 bits)."""
    digest = hashlib.blake2b(f"{key}|{endpoint_id}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def local_first(members, zone):
    """The members of *zone*, or all *members* when the zone has none."""
    own = [m for m in members if m.zone == zone]
    return own or list(members)


def engines(members, zone, prompt):
    """Engine agents in the order of preference of *prompt*."""
    prefix = prompt[:PREFIX_CHARS]
    local = local_first(members, zone)
    return sorted(local, key=lambda m: -score(prefix, m.endpoint_id))


def owners(members, key):
    """Service agents in rendezvous order for *key*: the owner first."""
    return sorted(members, key=lambda m: -score(key, m.endpoint_id))


def owner_and_backup(live, evacuated, key):
    """The agent that runs a call with *key*, and the other one that holds the key.

    Agents of *evacuated* zones run no calls, but they keep the records of earlier ones.
    While the first agent in the key's order is among them, it is the backup: the
    owner claims the key there, so a call that has run is not run again. Either may be
    ``None``.
    """
    owner = next(iter(owners(live, key)), None)
    others = [m for m in owners([*live, *evacuated], key) if m is not owner]
    return owner, next(iter(others), None)
