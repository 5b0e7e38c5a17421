"""Competing callers at one group of 72 ranks, by seeded load without a network.

Streams of priorities 0, 1 and 2 arrive at 35 entries; bursts, long steps, an outage and
two workspaces that take more than their part make capacity short for some seconds.
Every figure is over the callers whose first attempt is in these seconds or in the ten
after them.
"""

import collections
import functools

import attrs
import pytest

from dunlinpoint.routing.tests import overload

PER_S = (46, 61, 20)
LATENCY_TARGET_MS = (406, 407, 807)
WORKSPACES = {"small": 0.5} | {f"w{i}": 1.0 for i in range(7)}
LOUD = "w3"
SHORT_MS, END_MS = 10_000, 24_000
OUTAGE_MS = 10_000, 16_600
SEEDS = range(1, 7)
MAX_BEHIND = 0.03
MIN_PART = 0.5


def during(start_ms, end_ms, factor):
    """A function of the time: *factor* from *start_ms* to *end_ms*, else 1."""
    return lambda now: factor if start_ms <= now < end_ms else 1


def jumps(now):
    """The skew of experts: demand jumps every 3 s, and two maps follow it."""
    since = now % 3000
    return 3.0 if since < 400 else 1.8 if since < 600 else 1.3


def always(_now):
    return 1


@attrs.frozen
class Case:
    """What makes capacity short: factors of the arrivals by priority, and more."""

    factors: tuple = (always, always, always)
    longer_steps: object = always
    outage_ms: tuple | None = None
    loud_factor: object = always
    insistent: frozenset = frozenset()

    def kind(self, priority):
        """The callers of *priority*, and those that the loud workspace adds to them."""

        def workspaces(now):
            return WORKSPACES | {LOUD: self.loud_factor(now)}

        def per_s(now):
            growth = sum(workspaces(now).values()) / sum(WORKSPACES.values())
            return PER_S[priority] * self.factors[priority](now) * growth

        target_ms = LATENCY_TARGET_MS[priority]
        return overload.Kind(priority, per_s, target_ms, workspaces, self.insistent)

    def load(self, seed, is_competing):
        kinds = tuple(self.kind(priority) for priority in range(len(PER_S)))
        return overload.Load(
            lambda now: sum(kind.per_s(now) for kind in kinds),
            lambda now: jumps(now) * self.longer_steps(now),
            ranks=72,
            entries=35,
            seed=seed,
            engine=overload.COMPETING,
            stalled_ms=self.outage_ms,
            kinds=kinds,
            is_competing=is_competing,
        )


LEAST_URGENT = during(10_000, 16_000, 2)
CASES = {
    "least_urgent_burst": Case((always, always, LEAST_URGENT)),
    "most_urgent_burst": Case((during(10_000, 14_000, 1.9), always, always)),
    "both_bursts_after_long_steps": Case(
        (during(11_500, 15_500, 1.9), always, during(11_500, 17_500, 2)),
        during(10_000, 11_500, 2.5),
    ),
    "outage": Case(outage_ms=OUTAGE_MS),
    "loud_workspace": Case(loud_factor=during(10_000, 20_000, 5)),
    "insistent_workspace": Case(
        (during(10_000, 18_000, 1.25),) * 3, insistent=frozenset({LOUD})
    ),
}


@attrs.define
class Figures:
    """Outcomes by priority and by workspace, and refusals by priority.

    ``returning`` counts attempts of returning callers, ``refused`` those that were
    refused, and ``expected`` the refusals if each of them had been refused as often as
    newcomers of its priority in the same second. ``streams`` is the mean number in
    flight.
    """

    by_priority: dict
    by_workspace: dict
    returning: collections.Counter
    refused: collections.Counter
    expected: collections.Counter
    streams: float

    @functools.cached_property
    def all(self):
        """Outcomes of all callers."""
        return sum(self.by_priority.values(), collections.Counter())


def in_time(outcomes):
    return outcomes["in_time"] / outcomes.total()


def served(outcomes):
    return 1 - outcomes["lost"] / outcomes.total()


@functools.cache
def figures(name, is_competing=True):
    """The ``Figures`` of the case *name* over all seeds."""
    results = [
        overload.simulate(CASES[name].load(seed, is_competing)) for seed in SEEDS
    ]
    by_priority = collections.defaultdict(collections.Counter)
    by_workspace = collections.defaultdict(collections.Counter)
    returning, refused, expected = (collections.Counter() for _ in range(3))
    for result in results:
        for caller, outcome in result.callers_ended:
            if SHORT_MS <= caller.first_attempt_ms < END_MS:
                by_priority[caller.kind.priority][outcome] += 1
                by_workspace[caller.workspace][outcome] += 1
        for (priority, _second), counts in result.attempts.items():
            newcomers = counts["newcomer", True] + counts["newcomer", False]
            if newcomers:
                count = counts["returning", True] + counts["returning", False]
                returning[priority] += count
                refused[priority] += counts["returning", False]
                expected[priority] += count * counts["newcomer", False] / newcomers
    streams = sum(result.stream_ms for result in results) / len(results) / 30_000
    return Figures(by_priority, by_workspace, returning, refused, expected, streams)


@pytest.mark.parametrize("name", CASES)
def test_no_priority_is_served_worse_than_a_less_urgent_one(name):
    # Guards against the most urgent callers being served worst when capacity is short.
    shares = [in_time(figures(name).by_priority[priority]) for priority in range(3)]
    assert shares[0] >= max(shares[1:]) - MAX_BEHIND, shares
    assert shares[1] >= shares[2] - MAX_BEHIND, shares


@pytest.mark.parametrize("name", CASES)
def test_no_priority_and_no_workspace_is_starved(name):
    found = figures(name)
    parts = found.by_priority | found.by_workspace
    shares = {key: served(outcomes) for key, outcomes in parts.items()}
    assert min(shares.values()) >= MIN_PART * served(found.all), shares


@pytest.mark.parametrize("name", CASES)
def test_as_many_are_served_in_time_as_if_callers_did_not_compete(name):
    # Guards against a preference that makes more callers late than it helps.
    found, before = figures(name).all, figures(name, is_competing=False).all
    assert in_time(found) >= in_time(before), (in_time(found), in_time(before))


@pytest.mark.parametrize("name", CASES)
def test_the_load_of_the_group_does_not_grow(name):
    # Within the noise of six runs: a twentieth.
    found, before = figures(name), figures(name, is_competing=False)
    assert found.streams <= 1.05 * before.streams, (found.streams, before.streams)


@pytest.mark.parametrize("name", CASES)
def test_returning_callers_are_refused_no_more_often_than_newcomers(name):
    # Guards against callers that obeyed their Retry-After and are refused once more.
    found = figures(name)
    for priority, expected in found.expected.items():
        # Two standard deviations of a count.
        assert found.refused[priority] <= expected + 2 * expected**0.5, priority


def test_callers_that_retry_at_once_do_not_gain_from_it():
    # Guards against callers that obey being served less often than those that do not.
    before = figures("insistent_workspace", is_competing=False).by_workspace
    found = figures("insistent_workspace").by_workspace
    others, others_before = (
        sum((c for n, c in by.items() if n != LOUD), collections.Counter())
        for by in (found, before)
    )
    gain = served(found[LOUD]) - served(others)
    assert gain < served(before[LOUD]) - served(others_before)
