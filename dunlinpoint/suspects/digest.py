"""The name of a request: the same each time that a caller brings it."""

import hashlib

DIGEST_BYTES = 16
LENGTH_BYTES = 4


def of_request(method, uri, caller, body):
    """The digest of what an endpoint would run (all bytes).

    *caller* is in it so that nobody can have another caller's requests refused. The id
    of an attempt, deadlines and the place where a stream goes on are not: they differ
    each time.
    """
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, uri, caller):
        # Without lengths, two requests whose parts join to the same bytes are one.
        found.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        found.update(part)
    found.update(body)
    return found.digest()
