"""The digest that identifies a request: the same for each attempt of its caller."""

import hashlib

DIGEST_BYTES = 16
LENGTH_BYTES = 4


def of_request(method, uri, caller, body):
    """The digest of what an endpoint would run, from ``bytes`` arguments.

    It includes *caller*, so that no caller can have another's requests refused. It
    excludes the id of the attempt, deadlines and the position from which a stream
    continues, as they differ between attempts.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, uri, caller):
        # Without the lengths, requests whose joined parts are the same would collide.
        hasher.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        hasher.update(part)
    hasher.update(body)
    return hasher.digest()
