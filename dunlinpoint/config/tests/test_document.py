"""The operators' document: validation and the text of its errors."""

import json
import time

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

# On a busy machine the processor time of one call varies up to five times.
CALLS = 15


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


def large_document(routes):
    """A document with *routes* routes, half of them to the model, as text."""
    return json.dumps(
        {
            "format": config.FORMAT,
            "name": "a",
            "services": [
                {
                    "name": "model",
                    "experts": {"sets": 2, "experts": 8, "places": 3, "spare": 1},
                },
                {"name": "plain"},
            ],
            "routes": [
                {
                    "name": f"r{n}",
                    "host": "h",
                    "prefix": f"/{n}/",
                    "kind": "streaming",
                    "timeout_ms": 8000,
                    "split": [{"service": ("model", "plain")[n % 2], "weight": 1}],
                    "pause_ms": 100 + n,
                }
                for n in range(routes)
            ],
        }
    )


def test_parse_for_ranks_matches_the_full_document():
    text = large_document(10)
    doc = config.parse(text)
    assert config.parse_for_ranks(text, "model") == (doc.services[0].experts, 100)
    assert config.parse_for_ranks(text, "plain") == (None, 101)
    assert config.parse_for_ranks(text, "unknown") == (None, 0)


def test_parse_for_ranks_is_fast_on_a_large_document():
    # With 1,400 routes that change every 0.3 s, a group leader that has a third of a
    # core is overloaded by parsing the whole document, which takes 3.4 times as long.
    text = large_document(1400)
    whole, part = [], []
    for _ in range(CALLS):
        whole.append(seconds(config.parse, text))
        part.append(seconds(config.parse_for_ranks, text, "model"))
    assert min(part) < 0.5 * min(whole)


def seconds(func, *args):
    """The processor time of a call, in seconds."""
    began = time.process_time()
    func(*args)
    return time.process_time() - began


def test_a_document_in_force_of_an_earlier_version_is_still_read():
    # Guards against entries that serve nobody after an upgrade, because the document in
    # force was accepted with a text for a number.
    text = large_document(2).replace('"timeout_ms": 8000', '"timeout_ms": "8000"')
    with pytest.raises(config.DocumentError):
        config.parse(text)
    assert config.parse_accepted(text).routes[0].timeout_ms == 8000


@pytest.mark.parametrize(
    ("fields", "needs_key"),
    [({}, False), ({"workspaces": []}, True), ({"workspaces": [{"name": "w"}]}, True)],
)
def test_a_document_with_a_list_of_workspaces_needs_keys(fields, needs_key):
    # Guards against routes that an empty list opens, like an absent one.
    text = json.dumps({"format": config.FORMAT, "name": "a"} | fields)
    for parse in (config.parse, config.parse_accepted):
        assert parse(text).needs_key is needs_key
        assert parse(config.dump(parse(text))).needs_key is needs_key
