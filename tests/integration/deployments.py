"""Starting a deployment of real processes for a test module."""

import contextlib
import signal

from dunlinpoint.lab import client, deploy
from tests.integration.waits import wait_for


def members_seen(port):
    """How many members the entry at *port* knows."""
    return client.get(port, "/v1/status")["members"]


@contextlib.contextmanager
def running(profile, folder):
    """A started deployment of *profile*; every entry sees all agents.

    Whatever was started is ended, also where the start itself fails: 18 processes
    were left on a machine that had run out of memory. All are let go on first, as
    one that a test left paused would never see its signal to stop.
    """
    deployment = deploy.Deployment.from_profile(profile, str(folder))
    agents = sum(name.startswith("agent-") for name in deployment.by_name)
    try:
        deployment.start()
        for ports in deployment.entries_by_zone.values():
            for port in ports:
                wait_for(lambda port=port: members_seen(port) >= agents)
        yield deployment
    finally:
        for process in deployment.by_name.values():
            process.signal(signal.SIGCONT)
        deployment.stop_all()
