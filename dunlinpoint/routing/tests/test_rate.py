"""Many entries that keep to one endpoint's rate limit without communication."""

import random

import pytest

from dunlinpoint.routing import endpoint_signals, rate

LIFE = "i-1"
WINDOW_MS = 4000
STEP_MS = 50
LENGTH_MS = 90_000


def entries_of(count, seed):
    return [
        endpoint_signals.Signals(
            place=i, places=count, rng=random.Random(f"{seed} {i}")
        )
        for i in range(count)
    ]


def play(entries, per_s, wanted, limit_at=lambda _now: True):
    """When (ms) requests were sent; ``wanted(now, entry)`` is whether there is one."""
    sent = []
    for now in range(0, LENGTH_MS, STEP_MS):
        for entry in entries:
            if not wanted(now, entry) or entry.available_ms(LIFE, now) > now:
                continue
            entry.sent(LIFE, now)
            sent.append(now)
            limit = per_s if limit_at(now) else None
            entry.apply(LIFE, endpoint_signals.Signal(limit), now, now + STEP_MS // 2)
    return sent


def tell(entries, per_s):
    """Give every entry the limit once."""
    for entry in entries:
        entry.apply(LIFE, endpoint_signals.Signal(per_s), 0, 0)


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
        tell(entries, per_s)
        assert most(play(entries, per_s, wanted)) <= 1.5 * per_s * WINDOW_MS / 1000 + 5


@pytest.mark.parametrize("per_s", [1.0, 10.0])
@pytest.mark.parametrize("count", [1, 6, 30])
def test_most_of_what_an_endpoint_takes_is_used(count, per_s):
    # Guards against leaving the endpoint idle while there are requests for it.
    entries = entries_of(count, 1)
    tell(entries, per_s)
    used = len(play(entries, per_s, always)) / (LENGTH_MS / 1000)
    assert 0.75 * per_s <= used <= 1.05 * per_s


def test_an_entry_that_is_not_a_user_learns_that_the_limit_is_over():
    # Guards against entries that never send to the endpoint again.
    entries = entries_of(30, 1)
    tell(entries, 2.0)
    play(entries, 2.0, always, limit_at=lambda _now: False)
    assert all(entry.said_by_life[LIFE].rate is None for entry in entries)


def test_more_entries_make_smaller_parts_at_once():
    # Guards against keeping the previous share while entries are added.
    (alone,) = entries_of(1, 1)
    tell([alone], 2.0)
    before = alone.said_by_life[LIFE].rate.part.pause_ms
    alone.update(0, 4, 10)
    assert alone.said_by_life[LIFE].rate.part.pause_ms >= 4 * before
    assert rate.Part.of(2.0, LIFE, 0, 1).pause_ms == before
