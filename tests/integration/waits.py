"""Waiting for a state of other processes, with a timeout."""

import time


def wait_for(check, timeout_s=15, every_s=0.05):
    """Wait until ``check()`` is true and return its value; fail after *timeout_s*."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = check()
        if value:
            return value
        time.sleep(every_s)
    raise AssertionError(f"not true within {timeout_s} s: {check}")
