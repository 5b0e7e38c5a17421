"""Crashes at which the entry's check of the endpoint is late, or tells nothing."""

import concurrent.futures
import contextlib
import signal
import time

import pytest

from tests.integration import endpoint_process
from tests.integration import test_close_delimited_ends as ends

# The fixtures of the endpoints that may crash.
endpoints, three_endpoints = ends.endpoints, ends.three_endpoints

# Longer than the share of a request's remaining time that the check may take.
FROZEN_S = 1.5
DURING_STREAM_S = 1.5 * endpoint_process.EVENT_INTERVAL_S


def runner_of_last_run(endpoints):
    """The id of the endpoint that began the last run."""
    return (endpoints.folder / "runs").read_text().splitlines()[-1].split()[0]


@contextlib.contextmanager
def frozen(process):
    """Stop *process* for a while without ending it."""
    process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("framing", endpoint_process.UNMARKED)
def test_a_crash_is_seen_by_an_entry_that_stands_still(endpoints, framing):
    # Failure: the time for the check ends while the entry does not run, and the part
    # of a crashed endpoint goes to the caller as the whole stream.
    path = ends.faulty(ends.ONCE_STREAM, framing, "crash")
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        calling = pool.submit(ends.call, endpoints.platform, path)
        time.sleep(DURING_STREAM_S)
        process = endpoints.process_by_id[runner_of_last_run(endpoints)]
        process.wait(ends.TIMEOUT_S)
        time.sleep(0.01)
        with frozen(endpoints.platform.entry):
            time.sleep(FROZEN_S)
        received = calling.result()
    assert received.status == 200 and not ends.looks_complete(received), received
