"""POSIX signals that must not terminate a process."""

import signal
import subprocess
import sys

import pytest

from tests.integration import deployments


@pytest.mark.parametrize("name", ["entry-z1-0", "control-0", "agent-engine-z1-0"])
def test_sighup_does_not_end_a_process(deployment, name):
    # Guards against SIGHUP without a handler, whose default action terminates the
    # process: the platform sends it after writing new settings, and all machines lost
    # their answers within seconds while processes exited with status 129.
    process = deployment.by_name[name]
    process.signal(signal.SIGHUP)
    port = deployment.entries_by_zone["z1"][0]
    assert deployments.member_count(port) >= 1
    assert process.wait(0.5) is None


SIGHUP_AT_FIRST_IMPORT = """
import importlib.abc, runpy, signal, sys

class ImportHook(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name.partition(".")[0] == "twisted":
            print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
            raise SystemExit

sys.meta_path.insert(0, ImportHook())
runpy.run_module("dunlinpoint", run_name="__main__")
"""


def test_sighup_does_not_end_a_process_that_is_just_starting():
    # Guards against an instance that ends during start-up without a log line, because
    # SIGHUP, sent after a change of settings, arrives while libraries are still being
    # imported and was handled only after the imports.
    done = subprocess.run(
        [sys.executable, "-c", SIGHUP_AT_FIRST_IMPORT],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.stdout.strip() == "True", done.stderr
