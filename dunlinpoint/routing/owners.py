"""Which agents keep an idempotency key, and which engines a prefix prefers.

- Model requests go to live engine agents of the entry's own zone (other zones
  only when it has none); of equally loaded ones, to the first by rendezvous
  hash of the prompt's prefix, so that repeated prefixes meet a warm cache.
- Plain-service calls go to the owner of their idempotency key by rendezvous
  hash over all live service agents, in every zone: every entry sends one
  key to one agent, whose key table then keeps the call at most once. The
  owner is not chosen within the entry's zone, because the platform's
  balancer may send a retry to another zone's entry, whose zone-local owner
  would run the call a second time. While a cut hides the owner, the call is
  refused as not run: at most once goes before availability. Idempotent
  calls may go on down the same order to the next agent.
"""

import hashlib

PREFIX_CHARS = 32


def score(key, endpoint_id):
    """Rendezvous weight of *key* on *endpoint_id* (``int``, 64 bits)."""
    digest = hashlib.blake2b(f"{key}|{endpoint_id}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def local_first(members, zone):
    """Members of *zone*, or all of them when the zone has none."""
    own = [m for m in members if m.zone == zone]
    return own or list(members)


def engines(members, zone, prompt):
    """Engine agents in the order that *prompt* prefers."""
    prefix = prompt[:PREFIX_CHARS]
    local = local_first(members, zone)
    return sorted(local, key=lambda m: -score(prefix, m.endpoint_id))


def owners(members, key):
    """Service agents in rendezvous order for *key*: the owner first."""
    return sorted(members, key=lambda m: -score(key, m.endpoint_id))
