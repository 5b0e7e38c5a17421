"""Signals that must not end a process."""

import signal

import pytest

from tests.integration.conftest import members_seen


@pytest.mark.parametrize("name", ["entry-z1-0", "control-0", "agent-engine-z1-0"])
def test_sighup_does_not_end_a_process(deployment, name):
    # Symptom: answers cut on all machines within seconds of each other,
    # processes gone with code 129. Sequence: the platform writes new
    # settings and sends SIGHUP. Cause: the signal's default action ends a
    # process; nothing handled it.
    process = deployment.by_name[name]
    process.signal(signal.SIGHUP)
    port = deployment.entries_by_zone["z1"][0]
    assert members_seen(port) >= 1
    assert process.wait(0.5) is None
