"""Signals that must not end a process."""

import signal
import subprocess
import sys

import pytest

from tests.integration import deployments


@pytest.mark.parametrize("name", ["entry-z1-0", "control-0", "agent-engine-z1-0"])
def test_sighup_does_not_end_a_process(deployment, name):
    # Symptom: answers cut on all machines within seconds of each other,
    # processes gone with code 129. Sequence: the platform writes new
    # settings and sends SIGHUP. Cause: the signal's default action ends a
    # process; nothing handled it.
    process = deployment.by_name[name]
    process.signal(signal.SIGHUP)
    port = deployment.entries_by_zone["z1"][0]
    assert deployments.members_seen(port) >= 1
    assert process.wait(0.5) is None


AT_FIRST_LIBRARY = """
import importlib.abc, runpy, signal, sys

class Look(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name.partition(".")[0] == "twisted":
            print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
            raise SystemExit

sys.meta_path.insert(0, Look())
runpy.run_module("dunlinpoint", run_name="__main__")
"""


def test_sighup_does_not_end_a_process_that_is_just_starting():
    # Symptom: an instance that was just started is gone, without a line.
    # Sequence: it is started; while it loads its libraries, SIGHUP tells of
    # new settings. Cause: the signal was handled only once all was loaded.
    done = subprocess.run(
        [sys.executable, "-c", AT_FIRST_LIBRARY],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.stdout.strip() == "True", done.stderr
