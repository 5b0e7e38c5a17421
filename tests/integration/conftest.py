"""Fixtures that start real processes, once per integration test module."""

import pytest

from tests.integration import deployments, platform_lab

SMALL = {
    "zones": ["z1", "z2"],
    "controls": 3,
    "entries": 1,
    "engines": 2,
    "services": 1,
}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """A running deployment of the ``SMALL`` profile."""
    with deployments.running(SMALL, tmp_path_factory.mktemp("deployment")) as found:
        yield found


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """An entry and a control on the platform's HTTP interface, with two servers."""
    yield from platform_lab.run(tmp_path_factory.mktemp("platform"))
