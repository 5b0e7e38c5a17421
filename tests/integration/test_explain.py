"""From a failed request's id to its cause, by logs and metrics alone."""

import json
import subprocess
import sys

import pytest

from tests.integration.platform_lab import ask
from tests.integration.waits import wait_for

FAILURES = [
    # kind of server, route, status, the lines that must tell the cause
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


def counted(platform, name):
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
    except Exception:  # a stream that is cut off is no whole answer
        found = 200
    assert found == status
    lines = wait_for(lambda: explain(platform, request_id))
    own = [line for line in lines if line.get("request") == request_id]
    tries = [line for line in own if line["event"] == "try_ended"]
    assert {line["outcome"] for line in tries} == outcomes
    assert all(line["endpoint_id"].startswith("i-") for line in tries)
    last = own[-1]
    assert last["event"] in ("answered_ourselves", "stream_broken")
    assert last["reason"] == reason and last["tries"] == len(tries)
    assert {"in_flight", "version", "vouched_ms"} <= set(last) or prefix == "/stream/"


def test_refusals_are_counted_under_their_reason(platform):
    before = counted(platform, "refused.not_run")
    platform.call("full", "count-1")
    assert counted(platform, "refused.not_run") == before + 1


def test_an_id_that_no_line_bears_is_said_so(platform):
    assert explain(platform, "nobody") == []


def test_a_refusal_for_want_of_turns_is_explained_by_the_limits(platform):
    for server in platform.servers:
        server.says["Server-Limit"] = "0.5"
    try:
        for number in range(12):
            platform.call("plain", f"limit-{number}")
        lines = wait_for(lambda: explain(platform, "limit-11"))
    finally:
        for server in platform.servers:
            server.says.clear()
    assert lines[-1]["reason"] == "limited"
    told = {x["endpoint_id"] for x in lines if x["event"] == "endpoint_limit"}
    assert told == {"i-0", "i-1"}
