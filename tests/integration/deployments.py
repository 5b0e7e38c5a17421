"""Starts a deployment of real processes for a test module."""

import contextlib
import signal

from dunlinpoint.lab import client, deploy
from tests.integration.waits import wait_for


def member_count(port):
    """The number of members that the entry at *port* knows."""
    return client.get(port, "/v1/status")["members"]


@contextlib.contextmanager
def running(profile, folder):
    """A running deployment of *profile* in which every entry knows all agents.

    All processes are stopped at the end, also when the start fails: a failed start on
    a machine without free memory left 18 processes behind. They are sent SIGCONT
    first, as a process that a test left suspended would not handle its SIGTERM.
    """
    deployment = deploy.Deployment.from_profile(profile, str(folder))
    agents = sum(name.startswith("agent-") for name in deployment.by_name)
    try:
        deployment.start()
        for ports in deployment.entries_by_zone.values():
            for port in ports:
                wait_for(lambda port=port: member_count(port) >= agents)
        yield deployment
    finally:
        for process in deployment.by_name.values():
            process.signal(signal.SIGCONT)
        deployment.stop_all()
