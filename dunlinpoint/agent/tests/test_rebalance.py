"""Expert placement and the decision to rebalance."""

from bench import rebalance as bench
from dunlinpoint.agent import rebalance


def test_plan_evens_a_hot_block():
    loads = [100, 100, 100, 100] + [1] * 12
    blocks = [e // 4 for e in range(16)]
    placed = rebalance.plan(loads, 4, blocks)
    assert rebalance.skew(loads, placed, 4) < rebalance.skew(loads, blocks, 4)
    assert sorted(placed.count(r) for r in range(4)) == [4, 4, 4, 4]


def test_even_load_moves_nothing():
    blocks = [e // 4 for e in range(16)]
    assert rebalance.decide([10] * 16, blocks, 4, 0.9) is None


def test_cost_weighted_group_tolerates_small_skew():
    # Guards against a rebalance at peak load (the morning rush) for a few tokens of
    # skew, decided on the skew alone without the cost of moving experts.
    loads = [12, 10] + [10] * 14
    blocks = [e // 4 for e in range(16)]
    assert rebalance.decide(loads, blocks, 4, 0.3) is None


def test_decisions_stay_within_bench_bounds(capsys):
    bench.main()
    assert '"regressed"' not in capsys.readouterr().out
