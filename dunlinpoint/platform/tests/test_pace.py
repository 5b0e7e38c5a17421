"""The pace and the streams in an engine's report."""

import pytest

from dunlinpoint.platform import documents

GROUP = {"name": "g", "epoch": 1, "rank": 0, "state": "open"}
REPORT = {"group": GROUP, "size": 24, "step": 9, "mapping": 1}
REPORT |= {"preloaded": None, "armed": None, "held": None}


@pytest.mark.parametrize(
    ("value", "pace"),
    [(1, 1000), (1.6, 1600), (0.1, 100), (100, 100_000)]
    + [(v, None) for v in (0.09, 101, "1", True, [], float("nan"), float("inf"))],
)
def test_a_pace_that_is_invalid_is_unknown(value, pace):
    # Guards against a rank that is lost to its group for an invalid field.
    assert documents.to_rank_state(REPORT | {"pace": value}, None).pace == pace


def test_a_report_without_a_pace_is_valid():
    assert documents.to_rank_state(REPORT, None).pace is None


@pytest.mark.parametrize(
    ("active", "queued", "streams"),
    [(4, 1, 5), (0, 0, 0)]
    + [(4, None, None), (-1, 0, None), (True, 0, None), ("4", 1, None), (1e9, 0, None)],
)
def test_streams_are_known_only_from_two_valid_counts(active, queued, streams):
    # Guards against a rank that is lost to its group for an invalid field.
    report = REPORT | {"active": active, "queued": queued}
    assert documents.to_rank_state(report, None).streams == streams
