"""Which checks a stream gets that nobody else can settle."""

import itertools

import pytest

from dunlinpoint.answers import end_checks, life_check

ALIVE = [e for e in life_check.Evidence if e.life is life_check.Life.ALIVE]
ENDED = [e for e in life_check.Evidence if e.life is life_check.Life.ENDED]
LEFT_MS = 1000


@pytest.mark.parametrize("evidence", life_check.Evidence)
def test_an_endpoint_that_lived_and_has_not_left_is_checked_twice(evidence):
    # Guards against a part of a stream of an endpoint that cuts its streams and stops a
    # moment later.
    is_twice = evidence in ALIVE and evidence.value != "deregistered"
    assert end_checks.is_checked_twice(evidence, LEFT_MS) == is_twice
    assert not end_checks.is_checked_twice(evidence, life_check.MIN_WAIT_MS)


@pytest.mark.parametrize(
    "evidence, was_leaving, had_left",
    list(itertools.product(life_check.Evidence, [False, True], [False, True])),
)
def test_only_news_of_an_end_after_the_stream_count(evidence, was_leaving, had_left):
    # Guards against a wait for news that cannot come, or that tell nothing.
    waits = evidence in ENDED and was_leaving and not had_left
    assert end_checks.waits_for_leave(evidence, was_leaving, had_left) == waits


def limits_ms(left):
    return [
        left.first_limit_ms(),
        left.last_limit_ms(),
        left.limit_ms(is_stream=True),
        left.limit_ms(is_stream=False),
    ]


@pytest.mark.parametrize("left_ms", [0, 30, 500, 8000])
def test_checks_end_before_the_deadline(left_ms):
    # Guards against a whole answer that its deadline cuts while it is checked.
    assert max(limits_ms(end_checks.TimeLeft(left_ms))) <= left_ms / 2


@pytest.mark.parametrize("stop_ms", [0, 50, 250, 3000])
def test_checks_end_before_a_stopping_entry_cuts_answers(stop_ms):
    # Guards against a planned stop that cuts whole answers while they are checked.
    left = end_checks.TimeLeft.at(1000, 9000, 1000 + stop_ms)
    most_ms = max(0, stop_ms - end_checks.STOP_RESERVE_MS)
    assert max(*limits_ms(left), left.all_ms()) <= most_ms


@pytest.mark.parametrize("since_ms", [0, 50, end_checks.SETTLE_MS, 1500])
def test_the_second_check_finds_an_endpoint_that_stops(since_ms):
    # Guards against a second check while a process that stops still answers.
    assert since_ms + end_checks.second_delay_ms(since_ms) >= end_checks.SETTLE_MS


def test_a_stopping_entry_asks_for_a_rest_only_if_it_can_settle_the_matter_after_that():
    # Guards against a planned stop that cuts a whole stream, as another endpoint takes
    # long, and against a part that looks whole, as none was asked.
    least_ms = end_checks.MIN_STOP_LEFT_MS
    assert end_checks.TimeLeft(9000).allows_asking(is_stream=False)
    assert end_checks.TimeLeft(9000, least_ms).allows_asking(is_stream=True)
    assert not end_checks.TimeLeft(9000, least_ms - 1).allows_asking(is_stream=True)
    assert not end_checks.TimeLeft(9000, least_ms).allows_asking(is_stream=False)


def test_why_no_other_endpoint_is_asked():
    # Guards against lines that tell a wrong reason.
    reasons = ["route", "attempts", "no_ids", "stopping", None]
    for number, reason in enumerate(reasons):
        facts = [True] * number + [False] * (4 - number)
        assert end_checks.why_not_asked(*facts) == reason
