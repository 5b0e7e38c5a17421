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


@pytest.mark.parametrize("left_ms", [0, 30, 500, 8000])
def test_checks_end_before_the_deadline(left_ms):
    # Guards against a whole answer that its deadline cuts while it is checked.
    limits = [
        end_checks.first_limit_ms(left_ms),
        end_checks.last_limit_ms(left_ms),
        end_checks.limit_ms(left_ms, is_stream=True),
        end_checks.limit_ms(left_ms, is_stream=False),
    ]
    assert max(limits) <= left_ms / 2


@pytest.mark.parametrize("since_ms", [0, 50, end_checks.SETTLE_MS, 1500])
def test_the_second_check_finds_an_endpoint_that_stops(since_ms):
    # Guards against a second check while a process that stops still answers.
    assert since_ms + end_checks.second_delay_ms(since_ms) >= end_checks.SETTLE_MS
