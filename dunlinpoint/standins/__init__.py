"""Emulators of the services behind dunlinpoint, run as real processes in tests.

============  ===============================================================
module        emulates
============  ===============================================================
``engine``    a model engine: a group of ranks stepping on one expert map
``service``   a plain service with idempotent and non-idempotent calls
``weights``   the rate-limited weight store experts are loaded from
============  ===============================================================

Each records what it did, so that the tests can check invariants against it.
"""
