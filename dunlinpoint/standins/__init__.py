"""Our stand-ins for what dunlinpoint serves, run as real processes in tests.

============  ===============================================================
module        stands in for
============  ===============================================================
``engine``    a model engine: a group of ranks stepping on one expert map
``service``   a plain service with idempotent and non-idempotent calls
``weights``   the rate-limited weight store experts are loaded from
============  ===============================================================

Each records what it did so the tests' invariant checks can read it back.
"""
