"""A local deployment of real processes for each integration test module."""

import pytest

from dunlinpoint.lab import client, deploy
from tests.integration import platform_lab
from tests.integration.waits import wait_for

SMALL = {
    "zones": ["z1", "z2"],
    "controls": 3,
    "entries": 1,
    "engines": 2,
    "services": 1,
}


def members_seen(port):
    return client.get(port, "/v1/status")["members"]


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """A started deployment of the SMALL profile; every entry sees all agents."""
    folder = str(tmp_path_factory.mktemp("deployment"))
    running = deploy.Deployment.from_profile(SMALL, folder)
    running.start()
    agents = sum(1 for name in running.by_name if name.startswith("agent-"))
    try:
        for ports in running.entries_by_zone.values():
            for port in ports:
                wait_for(lambda port=port: members_seen(port) >= agents)
        yield running
    finally:
        running.stop_all()


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """An entry and a control on the platform's calls, with two servers."""
    yield from platform_lab.run(tmp_path_factory.mktemp("platform"))
