"""One request that crashes endpoints, sent to many entries that share their reports.

A caller retries it for half a minute, each time at another entry. One attempt reaches
up to two endpoints, and an entry's reports reach the others up to a second later.
"""

import random
import statistics

import pytest

from dunlinpoint.suspects import digest, registry
from dunlinpoint.wire.gen.dunlin import ttypes

CRASHING = b"g" * digest.DIGEST_BYTES
ENTRIES = 42
LENGTH_MS = 30_000
PAUSE_MS = (200, 4000)
# Time until the entry detects a crash, and then until another entry has the report.
DETECTION_MS = 55
PROPAGATION_MS = (50, 1000)
SECOND_ATTEMPT_MS = 20


def simulate(seed, enforces, repeatable=True):
    """The number of endpoints that one request crashes."""
    rng = random.Random(seed)
    entries = [registry.Registry() for _ in range(ENTRIES)]
    deliveries, now, crashes = [], 0.0, 0
    while now < LENGTH_MS:
        here = rng.randrange(ENTRIES)
        for at_ms, entry, incarnation in [t for t in deliveries if t[0] <= now]:
            entries[entry].apply_report(
                ttypes.CrashReport(CRASHING, incarnation, 0), int(at_ms)
            )
        deliveries = [t for t in deliveries if t[0] > now]
        found = entries[here].suspect_status(CRASHING, int(now))
        runs = 2 if repeatable and found is registry.SuspectStatus.CLEAR else 1
        if enforces and found is registry.SuspectStatus.CONVICTED:
            runs = 0
        for run in range(runs):
            crashes += 1
            at_ms = now + run * SECOND_ATTEMPT_MS + DETECTION_MS
            for entry in range(ENTRIES):
                later_ms = 0 if entry == here else rng.uniform(*PROPAGATION_MS)
                deliveries.append((at_ms + later_ms, entry, f"life-{crashes}"))
        now += rng.uniform(*PAUSE_MS)
    return crashes


@pytest.mark.parametrize("repeatable", [True, False])
def test_few_endpoints_crash_whichever_entries_get_the_request(repeatable):
    # Three crashes convict. Attempts that run while the third is being reported may
    # crash two more endpoints, for any seed.
    crashes = [simulate(seed, True, repeatable) for seed in range(100)]
    unprotected = [simulate(seed, False, repeatable) for seed in range(100)]
    assert max(crashes) <= registry.CONVICTED_CRASHES + 2, crashes
    assert statistics.mean(crashes) < statistics.mean(unprotected) / 3
