"""The benchmarks of decisions run, and keep to their bounds.

Their traces are seeded and their bounds are on ratios of counts and loads,
not on times, so the verdict is the same every time.
"""

from bench import placement, rebalance


def test_placement_keeps_to_its_bounds():
    placement.main([])


def test_rebalance_keeps_to_its_bounds():
    rebalance.main()
