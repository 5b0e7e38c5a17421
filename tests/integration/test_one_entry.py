"""Most new callers come to one of several entries, each on a connection of its own."""

import random
import threading
import time

import pytest

from dunlinpoint.lab import deploy
from tests.integration import platform_lab
from tests.integration.waits import wait_for

OTHER_ENTRIES = 2
REQUESTS_PER_S = 25
PHASE_S = 5
SETTLE_S = 3
SHARE_AT_ONE = 0.9
# The users' rule: requests are served at the first attempt at least this often, as a
# fraction of how often they were before.
MIN_RATIO = 0.75


@pytest.fixture
def ports(platform):
    """Ports of several entries of one deployment."""
    entries, found = [], [platform.entry_port]
    try:
        for _ in range(OTHER_ENTRIES):
            port, ready = deploy.free_port(), deploy.free_port()
            entries.append(platform_lab.start_another_entry(platform, port, ready))
            wait_for(lambda ready=ready: is_ready(ready))
            found.append(port)
        yield found
    finally:
        for entry in entries:
            entry.kill()
            entry.wait(10)


def is_ready(ready_port):
    return (
        deploy.listening(ready_port)
        and platform_lab.ask(ready_port, "GET", "/api/readyz")[0] == 200
    )


def served_share(name, choose_port, length_s, counted_from_s=0):
    """Send requests for *length_s*; return the share served of the counted ones."""
    outcomes, threads = [], []

    def send(number, is_counted):
        headers = {
            platform_lab.ATTEMPT: f"{name}-{number}",
            "X-Dunlinpoint-Deadline-Ms": "4000",
            "Authorization": "Bearer key-1",
        }
        try:
            path = "/once/plain"
            status = platform_lab.ask(choose_port(), "POST", path, b"{}", headers)[0]
        except OSError:
            status = 0
        if is_counted:
            outcomes.append(status == 200)

    for number in range(length_s * REQUESTS_PER_S):
        is_counted = number >= counted_from_s * REQUESTS_PER_S
        threads.append(threading.Thread(target=send, args=(number, is_counted)))
        threads[-1].start()
        time.sleep(1 / REQUESTS_PER_S)
    for thread in threads:
        thread.join()
    return sum(outcomes) / len(outcomes)


def test_one_entry_serves_its_callers_as_often_as_all_did(ports):
    # Guards against an entry that fails its callers when the balancer in front of it
    # hands it most new connections, and callers open new ones for each request.
    rng = random.Random(1)
    before = served_share("spread", lambda: rng.choice(ports), PHASE_S)
    after = served_share(
        "one",
        lambda: ports[0] if rng.random() < SHARE_AT_ONE else rng.choice(ports),
        PHASE_S + SETTLE_S,
        SETTLE_S,
    )
    assert before > 0.9
    assert after >= MIN_RATIO * before
