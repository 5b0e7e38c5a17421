"""One request that crashes endpoints, sent to many entries that share their reports.

A caller retries it for half a minute, each time at another entry. One attempt reaches
up to two endpoints, and an entry's reports reach the others up to a second later.
"""

import random
import statistics

import pytest

from dunlinpoint.suspects import digest, registry
from dunlinpoint.wire.gen.dunlin import ttypes

GUILTY = b"g" * digest.DIGEST_BYTES
ENTRIES = 42
LENGTH_MS = 30_000
PAUSE_MS = (200, 4000)
# Time until the entry detects a crash, and then until another entry has the report.
SEEN_MS = 55
HEARD_MS = (50, 1000)
SECOND_TRY_MS = 20


def play(seed, remembers, repeatable=True):
    """The number of endpoints that one request crashes."""
    rng = random.Random(seed)
    entries = [registry.Registry() for _ in range(ENTRIES)]
    told, now, ends = [], 0.0, 0
    while now < LENGTH_MS:
        here = rng.randrange(ENTRIES)
        for at_ms, entry, life in [t for t in told if t[0] <= now]:
            entries[entry].apply_report(ttypes.CrashReport(GUILTY, life, 0), int(at_ms))
        told = [t for t in told if t[0] > now]
        found = entries[here].suspect_status(GUILTY, int(now))
        runs = 2 if repeatable and found is registry.SuspectStatus.CLEAR else 1
        if remembers and found is registry.SuspectStatus.CONVICTED:
            runs = 0
        for run in range(runs):
            ends += 1
            at_ms = now + run * SECOND_TRY_MS + SEEN_MS
            for entry in range(ENTRIES):
                later_ms = 0 if entry == here else rng.uniform(*HEARD_MS)
                told.append((at_ms + later_ms, entry, f"life-{ends}"))
        now += rng.uniform(*PAUSE_MS)
    return ends


@pytest.mark.parametrize("repeatable", [True, False])
def test_few_endpoints_end_whichever_entries_it_is_brought_to(repeatable):
    # Three crashes convict. Attempts that run while the third is being reported may
    # crash two more endpoints, for any seed.
    ends = [play(seed, True, repeatable) for seed in range(100)]
    blind = [play(seed, False, repeatable) for seed in range(100)]
    assert max(ends) <= registry.CONVICTED_AT + 2, ends
    assert statistics.mean(ends) < statistics.mean(blind) / 3
