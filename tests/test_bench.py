"""The decision benchmarks run and stay within their bounds.

The result is deterministic: the traces are seeded, and the bounds are on ratios of
counts and loads, not on times.
"""

from bench import placement, rebalance


def test_placement_stays_within_its_bounds():
    placement.main([])


def test_rebalance_stays_within_its_bounds():
    rebalance.main()
