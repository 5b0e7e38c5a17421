"""Many entries that keep to one endpoint's rate limit without communication."""

import random

import pytest

from dunlinpoint.routing import endpoint_signals, rate

INCARNATION = "i-1"
WINDOW_MS = 4000
STEP_MS = 50
LENGTH_MS = 90_000


def entries_of(count, seed):
    return [
        endpoint_signals.Signals(
            index=i, entry_count=count, rng=random.Random(f"{seed} {i}")
        )
        for i in range(count)
    ]


def simulate(entries, per_s, wanted, limit_at=lambda _now: True):
    """When (ms) requests were sent; ``wanted(now, entry)`` is whether there is one."""
    sent = []
    for now in range(0, LENGTH_MS, STEP_MS):
        for entry in entries:
            if not wanted(now, entry) or entry.available_ms(INCARNATION, now) > now:
                continue
            entry.sent(INCARNATION, now)
            sent.append(now)
            limit = per_s if limit_at(now) else None
            entry.apply(
                INCARNATION, endpoint_signals.Signal(limit), now, now + STEP_MS // 2
            )
    return sent


def send_limit(entries, per_s):
    """Give every entry the limit once."""
    for entry in entries:
        entry.apply(INCARNATION, endpoint_signals.Signal(per_s), 0, 0)


def most(sent):
    """The most requests in any window of 4 s."""
    first, found = 0, 0
    for last, at in enumerate(sent):
        while at - sent[first] >= WINDOW_MS:
            first += 1
        found = max(found, last - first + 1)
    return found


def always(_now, _entry):
    return True


def in_bursts(now, _entry):
    """Requests at all entries at once, after none for ten seconds."""
    return now % 12_000 > 10_000


@pytest.mark.parametrize("wanted", [always, in_bursts])
@pytest.mark.parametrize("per_s", [0.0, 0.3, 1.0, 2.5, 10.0])
@pytest.mark.parametrize("count", [1, 6, 30, 99])
def test_all_entries_together_keep_to_the_limit(count, per_s, wanted):
    # Guards against entries that keep to their shares but together exceed the limit.
    for seed in range(2):
        entries = entries_of(count, seed)
        send_limit(entries, per_s)
        assert (
            most(simulate(entries, per_s, wanted)) <= 1.5 * per_s * WINDOW_MS / 1000 + 5
        )


@pytest.mark.parametrize("per_s", [1.0, 10.0])
@pytest.mark.parametrize("count", [1, 6, 30])
def test_most_of_the_limit_is_used(count, per_s):
    # Guards against leaving the endpoint idle while there are requests for it.
    entries = entries_of(count, 1)
    send_limit(entries, per_s)
    used = len(simulate(entries, per_s, always)) / (LENGTH_MS / 1000)
    assert 0.75 * per_s <= used <= 1.05 * per_s


def test_every_entry_learns_that_the_limit_has_ended():
    # Guards against entries that never send to the endpoint again.
    entries = entries_of(30, 1)
    send_limit(entries, 2.0)
    simulate(entries, 2.0, always, limit_at=lambda _now: False)
    assert all(
        entry.state_by_incarnation[INCARNATION].limiter is None for entry in entries
    )


def test_more_entries_reduce_the_shares_at_once():
    # Guards against keeping the previous share while entries are added.
    (alone,) = entries_of(1, 1)
    send_limit([alone], 2.0)
    before = alone.state_by_incarnation[INCARNATION].limiter.share.interval_ms
    alone.update(0, 4, 10)
    assert (
        alone.state_by_incarnation[INCARNATION].limiter.share.interval_ms >= 4 * before
    )
    assert rate.Share.of(2.0, INCARNATION, 0, 1).interval_ms == before
