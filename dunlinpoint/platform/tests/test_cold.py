"""Cold starts in the platform's documents, heartbeats and settings."""

import json

import pytest

from dunlinpoint.cli import checks
from dunlinpoint.config import document as config
from dunlinpoint.platform import addresses, documents

SERVICE = {"name": "model"}


def document(**service):
    """The operator's document with *service*'s fields, as the controls store it."""
    body = {"version": 1, "routes": [], "services": [SERVICE | service]}
    return documents.to_document(json.dumps(body).encode())


def stored_services(doc):
    return json.loads(config.dump(doc))["services"]


def test_a_cold_rate_is_translated():
    doc = document(coldPerS=15, coldStartS=3.0)
    assert doc.services[0].cold == config.Cold(15, 3000)
    assert config.parse(config.dump(doc)) == doc


@pytest.mark.parametrize("fields", [{}, {"coldPerS": 0, "coldStartS": 3.0}])
def test_a_document_without_a_cold_rate_is_stored_as_before(fields):
    # Guards against a field that processes of earlier versions refuse.
    assert stored_services(document(**fields)) == [
        {"name": "model", "non_idempotent": [], "experts": None}
    ]


@pytest.mark.parametrize(
    ("field", "fields"),
    [("requests_per_s", {"coldPerS": v}) for v in (-1, "15", True, [], 1e9, 1e400)]
    + [
        ("start_ms", {"coldPerS": 15, "coldStartS": v})
        for v in (-1, "3", True, {}, 1e9, 1e400)
    ],
)
def test_an_invalid_value_is_reported_with_its_path(field, fields):
    with pytest.raises(config.DocumentError) as raised:
        document(**fields)
    assert [e.path for e in raised.value.exceptions] == [f"services[0].cold.{field}"]


@pytest.mark.parametrize(
    ("value", "cold_left_ms"),
    [(0, 0), (2999, 2999), (0.5, 1)]
    + [(v, None) for v in (None, -1, "7", True, [], 1e9, 1e400, 10**400)],
)
def test_a_heartbeat_counts_whatever_it_says_of_a_cold_start(value, cold_left_ms):
    # Guards against an endpoint that is dropped for an invalid field.
    raw = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 5}
    raw |= {"state": "ready", "seqNo": 1, "coldLeftMs": value}
    message = documents.to_heartbeat("i-1", json.dumps(raw).encode())
    assert message.cold_left_ms == cold_left_ms


def test_settings_of_the_bound_may_be_empty():
    assert addresses.number("", "cold-overage", 1.0, 100) == 1.0
    assert addresses.number("1.5", "cold-overage", 1.0, 100) == 1.5
    for value in ("x", "-1", "nan", "inf", "101"):
        with pytest.raises(checks.SettingError, match="cold-overage"):
            addresses.number(value, "cold-overage", 1.0, 100)
