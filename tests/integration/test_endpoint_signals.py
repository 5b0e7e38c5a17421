"""An entry obeys the load signals in the answers of endpoints."""

import time

import pytest

from tests.integration.waits import wait_for

LIMIT_PER_S = 1.0
WINDOW_S = 4.0
CALL_INTERVAL_S = 0.05
# Requests may still arrive for this long after the endpoint's first refusal.
IN_TRANSIT_S = 0.2


def send_calls(platform, name, seconds, kind="plain", prefix="/once/"):
    """Call every ``CALL_INTERVAL_S`` for *seconds*; returns the HTTP statuses."""
    end_s = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < end_s:
        attempt = f"{name}-{len(statuses)}"
        statuses.append(platform.call(kind, attempt, prefix=prefix)[0])
        time.sleep(CALL_INTERVAL_S)
    return statuses


def most_in_window(arrivals):
    """The highest number of arrivals in any window of ``WINDOW_S``."""
    return max(
        (sum(begin <= at < begin + WINDOW_S for at in arrivals) for begin in arrivals),
        default=0,
    )


@pytest.fixture
def restored_platform(platform):
    """The platform, whose servers stop sending signals after the test."""
    yield platform
    for server in platform.servers:
        server.extra_headers.clear()
        server.retry_after = None


def test_an_endpoint_receives_no_more_than_its_rate_limit(restored_platform):
    # Guards against entries that exceed the rate limit an endpoint signals.
    limited = restored_platform.servers[0]
    limited.extra_headers["Server-Limit"] = str(LIMIT_PER_S)
    send_calls(restored_platform, "told", 0.5)
    limited.arrivals.clear()
    assert set(send_calls(restored_platform, "limited", 6)) == {200}
    assert most_in_window(limited.arrivals) <= LIMIT_PER_S * WINDOW_S + 1


def test_an_endpoint_receives_nothing_during_its_backoff(restored_platform):
    # Guards against requests to an overloaded endpoint before its backoff is over.
    backing_off = restored_platform.servers[0]
    backing_off.arrivals.clear()
    backing_off.retry_after = "3"
    assert set(send_calls(restored_platform, "resting", 5)) == {200}
    first = backing_off.arrivals[0]
    assert [
        at - first for at in backing_off.arrivals if IN_TRANSIT_S < at - first < 3
    ] == []
    assert any(at - first > 3 for at in backing_off.arrivals)


def test_a_draining_endpoint_receives_no_new_requests(restored_platform):
    # Guards against new requests to an endpoint that signals that it is draining
    # while control still lists it as ready.
    draining = restored_platform.servers[0]
    draining.extra_headers["Server-Leaving"] = "1"
    draining.arrivals.clear()
    # After a failure in an earlier test, entries may avoid it for some seconds.
    wait_for(
        lambda: send_calls(restored_platform, "told-leaving", 0.2) and draining.arrivals
    )
    draining.arrivals.clear()
    assert set(send_calls(restored_platform, "leaving", 3)) == {200}
    assert draining.arrivals == []
