"""Most new callers come to one of many entries, for some seconds.

Guards against an entry that refuses callers although endpoints have room, because it
keeps to a portion that assumes as many callers at each entry. The bound is the users'
rule: requests are served at the first attempt at least three quarters as often as
before.
"""

import random

import pytest

from dunlinpoint.routing import endpoint_signals

ENDPOINTS = [f"i-{n}" for n in range(4)]
LIMIT_PER_S = 10.0
REQUESTS_PER_S = 20
# The share of requests that come to one entry, and from when on.
SHARE_AT_ONE = 0.9
SPREAD_MS, ONE_ENTRY_MS, SETTLE_MS = 10_000, 10_000, 3000
# How long a request waits for an endpoint at its entry.
WAIT_MS = 200
STEP_MS = 10
MIN_RATIO = 0.75


def served_shares(count, seed):
    """The share served of the requests spread over *count* entries, and of the others.

    The latter come mostly to one entry, and count from ``SETTLE_MS`` on.
    """
    rng = random.Random(seed)
    entries = [
        endpoint_signals.Signals(
            index=index, entry_count=count, rng=random.Random(f"{seed} {index}")
        )
        for index in range(count)
    ]
    signal = endpoint_signals.Signal(LIMIT_PER_S)
    for entry in entries:
        for endpoint in ENDPOINTS:
            entry.apply(endpoint, signal, 0, 0)
    busy = rng.choice(entries)
    spread, at_one = [], []
    for now in range(0, SPREAD_MS + ONE_ENTRY_MS, STEP_MS):
        if rng.random() >= REQUESTS_PER_S * STEP_MS / 1000:
            continue
        is_skewed = now >= SPREAD_MS
        entry = busy if is_skewed and rng.random() < SHARE_AT_ONE else None
        is_served = send(entry or rng.choice(entries), now, signal)
        if not is_skewed:
            spread.append(is_served)
        elif now >= SPREAD_MS + SETTLE_MS:
            at_one.append(is_served)
    return sum(spread) / len(spread), sum(at_one) / len(at_one)


def send(entry, now, signal):
    """Send one request of *entry*; return whether an endpoint gets it in time."""
    endpoint = min(ENDPOINTS, key=lambda name: entry.available_ms(name, now))
    sent_ms = max(now, entry.available_ms(endpoint, now))
    if sent_ms > now + WAIT_MS:
        return False
    entry.sent(endpoint, sent_ms)
    entry.apply(endpoint, signal, sent_ms, sent_ms)
    return True


@pytest.mark.parametrize("count", [6, 30])
def test_a_named_limit_serves_the_callers_of_one_entry_as_often_as_of_all(count):
    for seed in range(1, 7):
        spread, at_one = served_shares(count, seed)
        assert at_one >= MIN_RATIO * spread, seed
