"""Logs and metrics suffice to find the cause of a failed request from its id."""

import json
import subprocess
import sys

import pytest

from tests.integration.platform_lab import ask
from tests.integration.waits import wait_for

FAILURES = [
    # server fault, route, status, outcomes of the attempts, reason in the last line
    pytest.param("full", "/once/", 503, {"not_run"}, "not_run", id="refused"),
    pytest.param("broken", "/stream/", 200, {"broken"}, "broken", id="broken stream"),
    pytest.param("unsigned", "/once/", 502, {"broken"}, "broken", id="unknown"),
]


def explain(platform, request_id):
    """What ``dunlinctl explain`` prints, as dicts."""
    files = [str(p) for p in sorted(platform.folder.glob("*.log"))]
    done = subprocess.run(
        [sys.executable, "-m", "dunlinpoint.cli.ctl", "explain", request_id]
        + files
        + ["--json"],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return [json.loads(line) for line in done.stdout.splitlines()]


def event_count(platform, name):
    text = ask(platform.metrics_port, "GET", "/metrics")[2].decode()
    line = f'dunlinpoint_events_total{{name="{name}"}} '
    found = [row for row in text.splitlines() if row.startswith(line)]
    return float(found[0].split()[-1]) if found else 0.0


@pytest.mark.parametrize("kind, prefix, status, outcomes, reason", FAILURES)
def test_the_cause_of_a_failure_is_found_from_its_id(
    platform, kind, prefix, status, outcomes, reason
):
    request_id = f"why-{kind}"
    try:
        found = platform.call(kind, request_id, prefix=prefix)[0]
    except Exception:  # the client raises on a truncated stream
        found = 200
    assert found == status
    lines = wait_for(lambda: explain(platform, request_id))
    request_lines = [line for line in lines if line.get("request") == request_id]
    attempts = [line for line in request_lines if line["event"] == "try_ended"]
    assert {line["outcome"] for line in attempts} == outcomes
    assert all(line["endpoint_id"].startswith("i-") for line in attempts)
    last = request_lines[-1]
    assert last["event"] in ("answered_ourselves", "stream_broken")
    assert last["reason"] == reason and last["tries"] == len(attempts)
    assert {"in_flight", "version", "vouched_ms"} <= set(last) or prefix == "/stream/"


def test_refusals_are_counted_under_their_reason(platform):
    before = event_count(platform, "refused.not_run")
    platform.call("full", "count-1")
    assert event_count(platform, "refused.not_run") == before + 1


def test_an_unknown_request_id_has_no_lines(platform):
    assert explain(platform, "nobody") == []


def test_a_refusal_is_explained_by_the_endpoints_rate_limits(platform):
    for server in platform.servers:
        server.extra_headers["Server-Limit"] = "0.5"
    try:
        for number in range(12):
            platform.call("plain", f"limit-{number}")
        lines = wait_for(lambda: explain(platform, "limit-11"))
    finally:
        for server in platform.servers:
            server.extra_headers.clear()
    assert lines[-1]["reason"] == "limited"
    limited_endpoints = {
        x["endpoint_id"] for x in lines if x["event"] == "endpoint_limit"
    }
    assert limited_endpoints == {"i-0", "i-1"}
