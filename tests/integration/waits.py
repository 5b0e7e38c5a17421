"""Waiting for what other processes do, with a bound."""

import time


def wait_for(check, timeout_s=15, every_s=0.05):
    """Wait until ``check()`` is true; its value, or fail the test at the bound."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = check()
        if value:
            return value
        time.sleep(every_s)
    raise AssertionError(f"not true within {timeout_s} s: {check}")
