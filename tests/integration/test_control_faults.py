"""The document stays consistent when controls freeze, restart or lose their disks."""

import json
import shutil
import signal
import subprocess
import sys

import pytest

from dunlinpoint.lab import client
from tests.integration import deployments
from tests.integration.waits import wait_for

PROFILE = {
    "zones": ["z1", "z2"],
    "controls": 3,
    "entries": 1,
    "engines": 1,
    "services": 1,
}
IN_FORCE_BOUND_S = 7


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with deployments.running(PROFILE, tmp_path_factory.mktemp("faults")) as found:
        yield found


def controls_flag(deployment):
    return ",".join(f"{h}:{p}" for h, p in deployment.controls)


def churn(deployment, count, expect):
    done = subprocess.run(
        [sys.executable, "-m", "dunlinpoint.lab.churn", "--count", str(count)]
        + ["--expect", str(expect), "--controls", controls_flag(deployment)],
        capture_output=True,
        text=True,
        timeout=120,
    )
    return json.loads(done.stdout)


def control_versions(deployment):
    """Document version of each control, ``None`` for one that does not answer."""
    done = subprocess.run(
        [sys.executable, "-m", "dunlinpoint.cli.ctl", "show"]
        + ["--controls", controls_flag(deployment)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return [json.loads(line).get("version") for line in done.stdout.splitlines()]


def entry_versions(deployment):
    ports = [p for ps in deployment.entries_by_zone.values() for p in ps]
    return [client.get(p, "/v1/status")["document_version"] for p in ports]


def current_version(deployment):
    return max(v for v in control_versions(deployment) if v is not None)


def test_frozen_control_catches_up_and_nothing_reverts(cluster):
    # Guards against entries and agents that return to an older document after a long
    # isolation of a control, because they accept its document without comparing
    # versions, or because the control never fetches the changes it missed. control-2
    # is suspended (SIGSTOP), the other two accept 50 changes, and control-2 resumes
    # with the old version and answers views with it.
    start = current_version(cluster)
    cluster.by_name["control-2"].signal(signal.SIGSTOP)
    result = churn(cluster, 50, start)
    assert result["accepted"] == 50
    seen_during = entry_versions(cluster)
    cluster.by_name["control-2"].signal(signal.SIGCONT)
    target = result["version"]
    wait_for(lambda: control_versions(cluster) == [target] * 3, IN_FORCE_BOUND_S)
    wait_for(lambda: entry_versions(cluster) == [target] * 2, IN_FORCE_BOUND_S)
    assert min(seen_during) >= start


def test_restart_after_hundreds_of_changes(cluster):
    # Guards against a control that serves an old document or cannot take part after a
    # restart, because it would have to replay a change log that it does not have:
    # documents are transferred whole, and it fetches the newest one. control-1 stops
    # (SIGTERM), 200 changes are accepted, and it restarts from its data folder.
    start = current_version(cluster)
    assert cluster.stop("control-1") is not None
    result = churn(cluster, 200, start)
    assert result["accepted"] == 200
    cluster.restart("control-1")
    wait_for(
        lambda: control_versions(cluster) == [result["version"]] * 3, IN_FORCE_BOUND_S
    )


def test_lost_disk_then_second_failure_never_reverts(cluster):
    # Guards against a document that reverts after a repair, because an acceptor with
    # empty state accepts a proposal based on an old version. control-0 loses its disk
    # (data folder deleted, restarted empty); then control-1 is killed; an operator
    # applies a change based on version 0 at control-0. The proposer must learn the
    # newest committed version from the majority it needs (control-0 and control-2).
    start = current_version(cluster)
    cluster.stop("control-0")
    shutil.rmtree(cluster.by_name["control-0"].argv[-1])
    cluster.restart("control-0")
    # Wait until control-0 votes again. It must not vote before it has read the state
    # of the other controls (see the model test).
    wait_for(lambda: cluster.settled(cluster.controls[:1]))
    cluster.stop("control-1", signal.SIGKILL)
    stale = churn(cluster, 1, 0)
    assert stale["accepted"] == 0
    assert stale["version"] >= start
    fresh = churn(cluster, 1, start)
    assert fresh["accepted"] == 1
    wait_for(
        lambda: [v for v in control_versions(cluster) if v] == [start + 1] * 2,
        IN_FORCE_BOUND_S,
    )
    assert min(entry_versions(cluster)) >= start
    cluster.restart("control-1")
    wait_for(lambda: control_versions(cluster) == [start + 1] * 3, IN_FORCE_BOUND_S)
