"""Stalled groups of ranks: which get no requests, and Retry-After."""

import random

from dunlinpoint.routing import outage
from dunlinpoint.wire.gen.dunlin import ttypes

NOW = 50_000


def endpoint(i):
    return ttypes.Member(endpoint_id=f"i-{i}", host=f"h{i}", port=80)


def rank(i, group="g", epoch=1, broken=False):
    return ttypes.Member(
        endpoint_id=f"rank-{i}",
        engine=f"h{i}:80",
        group=group,
        epoch=epoch,
        broken=broken,
    )


ENDPOINTS = [endpoint(i) for i in range(4)]
ADDRESSES = {outage.address_of(m) for m in ENDPOINTS}


def known(ranks=None, now=NOW):
    found = outage.Outages()
    ranks = ranks or [rank(i, "g" if i < 2 else "other") for i in range(4)]
    found.update(ranks, ADDRESSES, now)
    return found


def usable(found, now=NOW):
    return [m.endpoint_id for m in ENDPOINTS if not found.is_stalled(m, now)]


def test_only_the_broken_group_gets_no_requests():
    found = known()
    assert usable(found) == ["i-0", "i-1", "i-2", "i-3"]
    found.update([rank(0, broken=True), rank(1), rank(2, "other")], ADDRESSES, NOW)
    assert usable(found) == ["i-2", "i-3"]


def test_a_group_that_opened_is_used_again():
    # Guards against counting failures of the group against each of its ranks.
    found = known()
    found.update([rank(0, broken=True), rank(1)], ADDRESSES, NOW)
    opened = found.update([rank(0, epoch=2), rank(1, broken=True)], ADDRESSES, NOW + 9)
    assert opened == ["g"]
    assert len(usable(found)) == 4


def test_a_report_of_an_earlier_epoch_does_not_close_an_open_group():
    found = known([rank(0, epoch=2), rank(1, epoch=1, broken=True)])
    assert len(usable(found)) == 4


def test_a_suspected_group_gets_only_probes():
    # Guards against treating ranks as independent servers.
    found = known()
    found.suspect(ENDPOINTS[0], NOW)
    assert usable(found, NOW + 1) == ["i-2", "i-3"]
    later = NOW + outage.PROBE_INTERVAL_MS
    assert len(usable(found, later)) == 4
    found.probe(ENDPOINTS[1], later)
    assert usable(found, later) == ["i-2", "i-3"]
    found.data_received(ENDPOINTS[1])
    assert len(usable(found, later)) == 4


def test_unknown_groups_are_removed():
    found = known()
    found.suspect(ENDPOINTS[0], NOW)
    found.update([], set(), NOW)
    assert found.suspicion_by_group == {} and found.group_by_address == {}
    assert found.epoch_by_group == {}


def test_retry_after_is_past_the_outage_and_has_jitter():
    # Guards against callers that return during the outage, or all at the same moment.
    rng = random.Random(1)
    times = [outage.outage_retry_after_ms(NOW, NOW + 100, 8000, rng) for _ in range(50)]
    assert min(times) >= outage.MIN_OUTAGE_MS * (1 - outage.RETRY_AFTER_JITTER)
    assert max(times) <= 8000 / 3
    assert max(times) - min(times) > 100
    late = [outage.outage_retry_after_ms(NOW, NOW + 100, 900, rng) for _ in range(50)]
    assert max(late) <= 300


def test_event_timeout_is_the_longest_of_three_bounds():
    assert outage.event_timeout_ms(400, 120) == 2000
    assert outage.event_timeout_ms(800, 120) == 3200
    assert outage.event_timeout_ms(400, 300) == 2400


def test_an_endpoint_without_a_known_group_is_not_suspected_as_one():
    # Guards against blaming an unknown group, so that no endpoint is avoided.
    found = outage.Outages()
    assert not found.suspect(ENDPOINTS[0], NOW)
    assert known().suspect(ENDPOINTS[0], NOW)
