"""An entry's demand and its part of the demand of all entries."""

from dunlinpoint.control import followers
from dunlinpoint.routing import demand


def test_demand_counts_the_latest_arrivals():
    found = demand.Demand()
    for now in (0, 10, demand.WINDOW_MS):
        found.record(now)
    assert found.count(demand.WINDOW_MS) == 2
    assert found.count(3 * demand.WINDOW_MS) == 0


def test_an_entry_that_stopped_polling_has_no_part_of_the_demand():
    # Guards against a limit that is left unused: the entry that had the callers
    # is gone, and the others go on with their small parts.
    known = followers.Followers()
    known.position_of("z", "gone", 0)
    known.demand_by_entry["z", "gone"] = 30
    now = followers.ENTRY_TIMEOUT_MS + 1
    known.position_of("z", "left", now)
    known.demand_by_entry["z", "left"] = 10
    assert known.demand_share("z", "left") == 1


def test_without_demand_no_part_is_known():
    assert followers.Followers().demand_share("z", "a") is None
