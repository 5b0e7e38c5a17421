"""Planned replacement of a control, with real processes."""

import os
import shutil
import signal
import time

from dunlinpoint.control import voters
from dunlinpoint.lab import deploy
from tests.integration import deployments
from tests.integration.test_control_faults import churn, current_version
from tests.integration.waits import wait_for

PROFILE = {"zones": ["z1"], "controls": 3, "entries": 1, "engines": 1, "services": 1}
SUCCESSOR = "control-3"


def add_control(cluster):
    """Start one more control, in a zone of its own, which joins the others."""
    port = deploy.free_port()
    peers = ",".join(f"{host}:{port}" for host, port in cluster.controls)
    argv = ["control", "--control-id", "c3", "--zone", "z9", "--port", str(port)]
    argv += ["--joins", "--peers", peers]
    argv += ["--data", os.path.join(cluster.folder, SUCCESSOR)]
    cluster.add(SUCCESSOR, port, argv)
    cluster.restart(SUCCESSOR)
    cluster.controls.append(("127.0.0.1", port))


def test_a_stopped_control_gives_up_its_vote_before_it_ends(tmp_path):
    # Failure: after a planned stop of one control and the loss of another one's disk
    # within 2.5 s, no document is accepted any more, though a successor was up.
    with deployments.running(PROFILE, tmp_path) as cluster:
        assert churn(cluster, 1, current_version(cluster))["accepted"] == 1
        add_control(cluster)
        start = current_version(cluster)
        time.sleep(2)
        began_s = time.monotonic()
        assert cluster.stop("control-1") == 0
        cluster.stop("control-2", signal.SIGKILL)
        assert time.monotonic() - began_s < voters.UNRESPONSIVE_MS / 1000
        shutil.rmtree(os.path.join(cluster.folder, "control-2"))
        cluster.restart("control-2")
        wait_for(lambda: cluster.settled(cluster.controls[2:]))
        assert churn(cluster, 1, start)["accepted"] == 1
