"""What a server says of itself in its answers, and an entry that heeds it."""

import time

import pytest

from tests.integration.waits import wait_for

LIMIT_PER_S = 1.0
WINDOW_S = 4.0
CALL_S = 0.05
# What is on its way while an endpoint answers.
SOON_S = 0.2


def calls(platform, name, seconds, kind="plain", prefix="/once/"):
    """Statuses of a call each ``CALL_S`` for so many *seconds*."""
    ends = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < ends:
        attempt = f"{name}-{len(statuses)}"
        statuses.append(platform.call(kind, attempt, prefix=prefix)[0])
        time.sleep(CALL_S)
    return statuses


def most_in_window(arrivals):
    """The most arrivals in any ``WINDOW_S``."""
    return max(
        (sum(begin <= at < begin + WINDOW_S for at in arrivals) for begin in arrivals),
        default=0,
    )


@pytest.fixture
def quiet(platform):
    """The platform, whose servers say nothing of themselves again afterwards."""
    yield platform
    for server in platform.servers:
        server.says.clear()
        server.rest = None


def test_an_endpoint_gets_no_more_than_it_said_that_it_takes(quiet):
    # Guards against a limit that an endpoint names and entries do not keep to.
    limited = quiet.servers[0]
    limited.says["Server-Limit"] = str(LIMIT_PER_S)
    calls(quiet, "told", 0.5)
    limited.arrivals.clear()
    assert set(calls(quiet, "limited", 6)) == {200}
    assert most_in_window(limited.arrivals) <= LIMIT_PER_S * WINDOW_S + 1


def test_an_endpoint_that_asked_for_rest_is_left_alone_for_so_long(quiet):
    # Guards against an endpoint in need that is asked again before its rest is over.
    resting = quiet.servers[0]
    resting.arrivals.clear()
    resting.rest = "3"
    assert set(calls(quiet, "resting", 5)) == {200}
    first = resting.arrivals[0]
    assert [at - first for at in resting.arrivals if SOON_S < at - first < 3] == []
    assert any(at - first > 3 for at in resting.arrivals)


def test_an_endpoint_that_says_it_leaves_gets_nothing_new(quiet):
    # Guards against an endpoint that leaves while control says it is ready.
    leaving = quiet.servers[0]
    leaving.says["Server-Leaving"] = "1"
    leaving.arrivals.clear()
    # An earlier failure may have it avoided for some seconds.
    wait_for(lambda: calls(quiet, "told-leaving", 0.2) and leaving.arrivals)
    leaving.arrivals.clear()
    assert set(calls(quiet, "leaving", 3)) == {200}
    assert leaving.arrivals == []
