"""Digests of what an endpoint's crash may be due to.

These are the request as a whole, the same for each attempt of its caller, its caller,
and the parts of its prompt, which other requests share.
"""

import functools
import hashlib

DIGEST_BYTES = 16
LENGTH_BYTES = 4
SUBJECT_CACHE_SIZE = 10_000


def of_request(method, uri, caller, body):
    """The digest of what an endpoint would run, from ``bytes`` arguments.

    It includes *caller*, so that no caller can have another's requests refused. It
    excludes the id of the attempt, deadlines and the position from which a stream
    continues, as they differ between attempts.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method, uri, caller):
        # Without the lengths, requests whose joined fields are the same would collide.
        hasher.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        hasher.update(field)
    hasher.update(body)
    return hasher.digest()


@functools.lru_cache(maxsize=SUBJECT_CACHE_SIZE)
def of_subject(subject):
    """The digest of what requests share, named by *subject* (``str``)."""
    # A personalised hash differs from that of any request.
    return hashlib.blake2b(
        subject.encode(), digest_size=DIGEST_BYTES, person=b"subject"
    ).digest()


def part_subject(part_id):
    """The name (``str``) of the prompt part *part_id* in reports."""
    return f"part {part_id}"


def caller_subject(name):
    """The name (``str``) of the caller *name* in reports."""
    return f"workspace {name}"
