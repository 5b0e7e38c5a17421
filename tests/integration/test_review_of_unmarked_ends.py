"""Unmarked ends whose check is late, or tells nothing of the answer."""

import concurrent.futures
import contextlib
import signal
import socket
import time

import pytest

from tests.integration import endpoint_process, platform_lab
from tests.integration import test_close_delimited_ends as ends

# The fixtures of the endpoints that may crash.
endpoints, three_endpoints = ends.endpoints, ends.three_endpoints

# Longer than the share of a request's remaining time that the check may take.
FROZEN_S = 1.5
# More events than the buffers on their way hold, and how long none is read.
FLOOD_COUNT = 800
UNREAD_S = 2.0
LAST_CHUNK = b"\r\n0\r\n\r\n"
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


def call_and_leave(endpoints, path):
    """What the caller of *path* gets whose endpoint leaves while it answers."""
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        calling = pool.submit(ends.call, endpoints.platform, path)
        time.sleep(DURING_STREAM_S)
        endpoints.state_by_id[runner_of_last_run(endpoints)] = "draining"
        return calling.result()


@pytest.mark.parametrize("framing", endpoint_process.UNMARKED)
def test_a_part_of_a_leaving_endpoint_that_crashes_never_looks_whole(
    endpoints, framing
):
    # Failure: the caller gets what an endpoint sent before it crashed as the whole
    # stream, because the endpoint had announced that it leaves.
    path = ends.faulty(ends.ONCE_STREAM, framing, "crash")
    received = call_and_leave(endpoints, path)
    assert received.status == 200 and not ends.looks_complete(received), received


@pytest.mark.parametrize("framing", endpoint_process.UNMARKED)
def test_a_rest_that_does_not_come_confirms_no_part(endpoints, framing):
    # Failure: the caller gets the part of a leaving endpoint that crashed as the whole
    # stream, though the endpoint that was asked for the rest broke off.
    path = ends.faulty(ends.RESUMABLE, framing, "crash-reset")
    received = call_and_leave(endpoints, path)
    assert len(set(endpoints.runs(received.attempt))) == 2
    assert received.status == 200 and not ends.looks_complete(received), received


def call_and_read_slowly(platform, path):
    """The bytes that the caller of *path* gets who reads none for ``UNREAD_S``."""
    head = [
        f"POST {path} HTTP/1.1",
        f"Host: {platform_lab.HOST}",
        f"{platform_lab.ATTEMPT}: slow-{time.monotonic_ns()}",
        "X-Dunlinpoint-Deadline-Ms: 4500",
        "Authorization: Bearer key-1",
        "Content-Length: 2",
    ]
    received = bytearray()
    address = ("127.0.0.1", platform.entry_port)
    with socket.create_connection(address, timeout=ends.TIMEOUT_S) as caller:
        caller.sendall("\r\n".join(head).encode() + b"\r\n\r\n{}")
        time.sleep(UNREAD_S)
        while not received.endswith(LAST_CHUNK) and (data := caller.recv(1 << 20)):
            received += data
    return bytes(received)


@pytest.mark.parametrize("framing", ("chunks", *endpoint_process.UNMARKED))
def test_a_caller_that_reads_slowly_gets_the_whole_stream(endpoints, framing):
    # Failure: a whole stream whose end nobody marked counts as broken, because its
    # caller did not read for a while.
    path = f"{ends.ONCE_STREAM}flood_{framing}_{FLOOD_COUNT}_whole"
    received = call_and_read_slowly(endpoints.platform, path)
    assert received.count(b"data: ") == FLOOD_COUNT
    assert received.endswith(LAST_CHUNK), received[-40:]
