"""The operators' document: what is accepted, and how refusals read."""

import json

import pytest

from dunlinpoint.config import document as config

BAD = {
    "not_json": "{",
    "not_object": "[1]",
    "unknown_field": json.dumps({"format": 1, "name": "a", "colour": "red"}),
    "wrong_types": json.dumps({"format": "one", "name": "a", "groups": [{}]}),
    "bad_values": json.dumps(
        {
            "format": 2,
            "name": "",
            "groups": [{"name": "g", "ranks": 0, "experts": 5000, "skew_weight": 2}],
            "workspaces": [{"name": "w", "max_in_flight": 0}, {"name": "w"}],
        }
    ),
}


@pytest.mark.parametrize("case", sorted(BAD))
def test_refusals_read_as_before(case, snapshot):
    with pytest.raises(config.DocumentError) as raised:
        config.parse(BAD[case])
    assert [str(e) for e in raised.value.exceptions] == snapshot


def test_default_round_trips():
    text = config.dump(config.DEFAULT)
    assert config.dump(config.parse(text)) == text


def test_every_problem_is_reported_at_once():
    with pytest.raises(config.DocumentError) as raised:
        config.parse(BAD["bad_values"])
    paths = {e.path for e in raised.value.exceptions}
    assert {"format", "name", "groups[0].ranks", "workspaces"} <= paths
