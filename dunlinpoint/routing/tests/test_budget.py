"""The retries of all entries together, and those of a service with few requests."""

import pytest

from dunlinpoint.routing import budget
from dunlinpoint.routing.tests import retry_load

SEEDS = range(3)
FAILING_MS = retry_load.TRAFFIC_MS + 4000
DISRUPTED_MS = FAILING_MS + 5000
# Some seconds after this time, all entries have known each other for a window.
SETTLED_MS = retry_load.TRAFFIC_MS + 2000


def all_fail(_service, now):
    return float(now >= FAILING_MS)


def half_fail(_service, now):
    return 0.5 * (now >= FAILING_MS)


def zone_cut(entry, control_zone, now):
    """The first zone's entries and controls are cut off from all others."""
    return now < DISRUPTED_MS or (entry.zone == "z0") == (control_zone == "z0")


def each_zone_alone(entry, control_zone, now):
    return now < DISRUPTED_MS - 8000 or entry.zone == control_zone


def some_reach_no_control(entry, _control_zone, now):
    is_cut = FAILING_MS <= now < DISRUPTED_MS + 12_000
    return not (is_cut and hash_share(entry) < 0.3)


def hash_share(entry):
    return int(entry.name[1:]) * 37 % 100 / 100


def none_reaches_a_control(_entry, _control_zone, now):
    return not FAILING_MS <= now < DISRUPTED_MS + 6000


def callers_move(entry, now):
    """All callers come to few entries, and to others every 3 s."""
    return 1.0 if (int(entry.name[1:]) + now // 3000) % 5 == 0 else 0.01


def demand_jumps(now):
    return 1.7 if FAILING_MS <= now < DISRUPTED_MS else 1.0


PLANS = {
    "all_fail": retry_load.Plan(all_fail),
    "half_start_again": retry_load.Plan(half_fail, ((DISRUPTED_MS, 0.55),)),
    "half_start_again_and_more_are_added": retry_load.Plan(
        all_fail, ((DISRUPTED_MS, 0.55),), added_ms=DISRUPTED_MS - 1000
    ),
    "many_start_again_in_series": retry_load.Plan(
        all_fail, tuple((DISRUPTED_MS + 2500 * i, 0.5) for i in range(8))
    ),
    "more_are_added_in_a_zone_that_is_cut_off": retry_load.Plan(
        all_fail,
        ((DISRUPTED_MS + 1000, 0.3),),
        added_ms=DISRUPTED_MS + 2000,
        reaches=zone_cut,
    ),
    "no_zone_sees_another_one": retry_load.Plan(all_fail, reaches=each_zone_alone),
    "some_reach_no_control_for_a_while": retry_load.Plan(
        all_fail, reaches=some_reach_no_control
    ),
    "none_reaches_a_control_for_a_while": retry_load.Plan(
        all_fail, ((DISRUPTED_MS, 0.55),), reaches=none_reaches_a_control
    ),
    "the_callers_move": retry_load.Plan(all_fail, weight=callers_move),
    "demand_jumps_while_half_start_again": retry_load.Plan(
        all_fail, ((DISRUPTED_MS, 0.55),), demand=demand_jumps
    ),
}


@pytest.mark.parametrize("plan", PLANS)
@pytest.mark.parametrize("site", ["6_entries", "42_entries", "99_entries"])
def test_all_entries_together_keep_to_the_retry_budget(site, plan):
    # Guards against retries that pass the deployment's budget because each entry has a
    # part of its own that does not depend on how many there are, or gets it again with
    # each start.
    site = retry_load.SITES[site]
    for seed in SEEDS:
        played = retry_load.play(site, PLANS[plan], seed)
        for service in site.per_s_by_service:
            assert retry_load.highest_use(played, site, service) <= 1.0


def test_hundreds_of_entries_keep_to_the_retry_budget():
    # Guards against a part of each entry that is small, but too large for 570 of them.
    site = retry_load.SITES["570_entries"]
    plan = PLANS["half_start_again_and_more_are_added"]
    played = retry_load.play(site, plan, 0)
    for service in site.per_s_by_service:
        assert retry_load.highest_use(played, site, service) <= 1.0


def one_in_twenty_fails(_service, _now):
    return 0.05


def at_one_entry(entry, _now):
    return 1.0 if entry.name == "e0" else 0.0


FEW_FAILURES = {
    "callers_at_all_entries": retry_load.Plan(one_in_twenty_fails),
    "callers_at_one_entry": retry_load.Plan(one_in_twenty_fails, weight=at_one_entry),
}


@pytest.mark.parametrize("plan", FEW_FAILURES)
@pytest.mark.parametrize("site", ["6_entries", "42_entries", "99_entries"])
def test_few_failures_at_a_service_with_few_requests_are_retried(site, plan):
    # Guards against a budget that keeps to its bound by refusing nearly all retries
    # where each entry gets a request of the service every few seconds only.
    site = retry_load.SITES[site]
    plays = [retry_load.play(site, FEW_FAILURES[plan], seed) for seed in SEEDS]
    failed = sum(played.failed["desk"] for played in plays)
    retried = sum(played.retried["desk"] for played in plays)
    assert retried >= 0.9 * failed


def test_without_a_named_slack_retries_are_a_ratio_and_a_few_more():
    # Guards against an unbounded number of retries where a deployment names no slack
    # and all endpoints of a service fail.
    own = budget.Budget()
    allowed = 0
    for now in range(400):
        own.first_attempt("s", now)
        allowed += own.spend("s", now)
    ratio = budget.RATIO_FRACTION * budget.DEFAULT_RATIO
    assert allowed <= budget.DEFAULT_ENTRY_SLACK + 400 * ratio
    assert allowed > 300 * ratio


def test_an_entry_that_starts_has_no_part_of_the_slack_for_a_window():
    # Guards against a part that a killed entry used and its successor uses again.
    bounds = budget.Bounds(slack=100, zones=1)
    own = budget.Budget(bounds)
    for now in range(0, bounds.window_ms, 500):
        own.learn(2, now, now)
        assert own.slack_part(now) == 0
    for now in range(bounds.window_ms, 2 * bounds.window_ms, 500):
        own.learn(2, now, now)
    assert own.slack_part(now) > 0


def test_a_part_without_contact_is_smaller_and_holds_for_a_window_after_it():
    # Guards against parts that add up to more than the slack: others may have divided
    # the part of an entry that no control had heard of.
    bounds = budget.Bounds(slack=100, zones=1)
    own = budget.Budget(bounds)
    for now in range(0, 20_000, 500):
        own.learn(2, now, now)
    full = own.slack_part(now)
    isolated_ms = now + budget.ISOLATED_MS + 1
    assert 0 < own.slack_part(isolated_ms) < full
    own.learn(2, isolated_ms, isolated_ms)
    assert own.slack_part(isolated_ms) < full


def test_a_lower_number_of_entries_counts_after_a_window():
    # Guards against an entry that takes over the part of one that has just used it.
    bounds = budget.Bounds(slack=100, zones=1)
    own = budget.Budget(bounds)
    for now in range(0, 20_000, 500):
        own.learn(4, now, now)
    before = own.slack_part(now)
    for later in range(now + 500, now + bounds.window_ms, 500):
        own.learn(2, later, later)
        assert own.slack_part(later) == before
    later += 1000
    own.learn(2, later, later)
    assert own.slack_part(later) == 2 * before


def test_retries_that_can_be_left_out_leave_a_part_of_the_slack():
    # Guards against a service whose answers never have a marked end, which uses up the
    # retries of requests that fail without one.
    own = budget.Budget()
    optional = 0
    while own.has_spare("s", 0):
        assert own.spend("s", 0)
        optional += 1
    assert optional == budget.DEFAULT_ENTRY_SLACK * (1 - budget.RESERVED_FRACTION)
    assert own.may_retry("s", 0)
