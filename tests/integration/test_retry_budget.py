"""Several entries and a service that refuses every request, with real processes."""

import json
import threading
import time

import pytest

from dunlinpoint.lab import deploy
from tests.integration import platform_lab
from tests.integration.test_one_entry import is_ready
from tests.integration.waits import wait_for

RATIO, WINDOW_S, SLACK = 0.2, 4, 6
BOUNDS = {
    "retry_ratio": RATIO,
    "retry_window_s": WINDOW_S,
    "retry_slack": SLACK,
    "zones": json.dumps({"z1": "region"}),
}
# Entries have their part of the slack a window and 2 s after their first contact.
SETTLE_S = WINDOW_S + 3
OTHER_ENTRIES = 3
REQUESTS_PER_S = 20
# Shorter than the window, so that one window holds all requests.
PHASE_S = WINDOW_S - 1


@pytest.fixture
def bounded(tmp_path):
    """A platform whose entry is told the deployment's bounds."""
    yield from platform_lab.run(tmp_path, **BOUNDS)


def send(port, name):
    headers = {
        platform_lab.ATTEMPT: name,
        "X-Dunlinpoint-Deadline-Ms": "4000",
        "Authorization": "Bearer key-1",
    }
    return platform_lab.ask(port, "POST", "/often/full", b"{}", headers)[0]


def repeats_of_refused_requests(bounded, ports, restart):
    """The requests sent, and the arrivals beyond the first of each.

    *restart* is called in the middle.
    """
    threads = []

    def send_ignoring_errors(port, name):
        try:
            send(port, name)
        except OSError:
            # The entry is being restarted.
            return

    for number in range(PHASE_S * REQUESTS_PER_S):
        if number == PHASE_S * REQUESTS_PER_S // 3:
            restart()
        port = ports[number % len(ports)]
        threads.append(
            threading.Thread(target=send_ignoring_errors, args=(port, f"r-{number}"))
        )
        threads[-1].start()
        time.sleep(1 / REQUESTS_PER_S)
    for thread in threads:
        thread.join()
    arrived = [i for s in bounded.servers for i in s.arrived_ids if i.startswith("r-")]
    return len(threads), len(arrived) - len(set(arrived))


def test_entries_keep_to_the_platforms_retry_budget_while_one_starts_again(bounded):
    # Guards against entries that each have a part of their own of the retries that a
    # deployment allows, and have it again after a start.
    started, ports = {}, [bounded.entry_port]
    try:
        for _ in range(OTHER_ENTRIES):
            port, ready = deploy.free_port(), deploy.free_port()
            started[port, ready] = platform_lab.start_another_entry(
                bounded, port, ready, **BOUNDS
            )
            wait_for(lambda ready=ready: is_ready(ready))
            ports.append(port)
        time.sleep(SETTLE_S)
        port, ready = next(iter(started))

        def restart():
            started[port, ready].kill()
            started[port, ready].wait(10)
            started[port, ready] = platform_lab.start_another_entry(
                bounded, port, ready, **BOUNDS
            )

        requests, repeats = repeats_of_refused_requests(bounded, ports, restart)
    finally:
        for entry in started.values():
            entry.kill()
            entry.wait(10)
    assert repeats <= RATIO * requests + SLACK
    # Most of the budget is used: all requests need it.
    assert repeats > SLACK / 2
