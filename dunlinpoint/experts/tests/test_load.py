"""The streams in flight in a group, from its ranks' reports, and their log line."""

import pytest

from dunlinpoint.experts import load
from dunlinpoint.wire.gen.dunlin import ttypes


def states(*counts):
    return [ttypes.RankState(group="g", streams=count) for count in counts]


@pytest.fixture
def lines(monkeypatch):
    """The ``group_load`` lines, as dicts of their fields."""
    written = []
    monkeypatch.setattr(
        load.log, "info", lambda event, **fields: written.append(fields)
    )
    return written


def test_the_load_counts_the_streams_of_all_ranks():
    found = load.GroupLoad.from_states(states(2, 0, 7, 3))
    assert found == load.GroupLoad(streams=12, busiest=7, ranks=4)
    assert found.imbalance == pytest.approx(7 / 3)


@pytest.mark.parametrize("counts", [(), (2, None), (None,)])
def test_the_load_is_unknown_if_a_rank_does_not_report_it(counts):
    # Guards against a sum without some ranks, which looks like free capacity.
    assert load.GroupLoad.from_states(states(*counts)) is None


def test_an_idle_group_is_balanced():
    assert load.GroupLoad.from_states(states(0, 0)).imbalance == 1.0


def test_lines_are_limited_to_one_in_an_interval(lines):
    # Guards against a line for each of the leader's ten readings a second.
    found = load.LoadLog()
    for now in range(0, 1000, 100):
        found.update("g", load.GroupLoad(20, 5, 10), 61.4, now)
    assert len(lines) == 1000 // load.LOG_INTERVAL_MS
    assert lines[0] == {
        "group": "g",
        "group_streams": 20,
        "busiest": 5,
        "imbalance": 2.5,
        "pass_ms": 61,
    }


def test_nothing_is_logged_while_the_load_is_unknown_or_the_group_idle(lines):
    found = load.LoadLog()
    found.update("g", None, 60, 0)
    found.update("g", load.GroupLoad(0, 0, 10), 60, 100)
    assert lines == []
