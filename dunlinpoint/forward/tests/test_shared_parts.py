"""Requests that share one part of their prompts and crash endpoints, at many entries.

Guards against endpoint after endpoint that crashes under requests of which no two are
alike, and against sound requests refused for what they share with these: their caller
and the other parts. The bounds are those of the users' rules.
"""

import pytest

from dunlinpoint.forward import quarantine
from dunlinpoint.forward.tests import shared_parts

SEEDS = range(1, 7)
MAX_SENT_TOO_LATE = 3
MIN_SOUND_SHARE = 0.5


def varying(rng):
    return f"b{rng.randrange(8)}"


def faulty_second(_rng):
    return shared_parts.SHARED, shared_parts.FAULTY


def sound_second(rng):
    return shared_parts.SHARED, varying(rng)


def faulty_first(_rng):
    return shared_parts.FAULTY, shared_parts.SHARED


def sound_first(rng):
    return varying(rng), shared_parts.SHARED


def faulty_beside(rng):
    return varying(rng), shared_parts.FAULTY


def sound_beside(rng):
    return varying(rng), varying(rng)


def second(**changed):
    return shared_parts.Case(faulty_second, sound_second, **changed)


CASES = {
    "faulty_second": second(),
    "faulty_first": shared_parts.Case(faulty_first, sound_first),
    "beside_varying_parts": shared_parts.Case(faulty_beside, sound_beside),
    "few_sound_requests": second(sound_per_s=0.3),
    "many_sound_requests": second(sound_per_s=5),
    "lost_evidence": second(lost=0.3),
    "late_reports": second(late_ms=1000),
    "entries_start": second(restarts_ms=(4000, 6000, 9000, 12_000)),
    "other_crashes": second(other_crash_every_ms=3000),
    "group": second(is_group=True),
    "group_beside_varying_parts": shared_parts.Case(
        faulty_beside, sound_beside, is_group=True
    ),
    "group_and_lost_evidence": second(is_group=True, lost=0.3),
}


@pytest.fixture
def played(request, monkeypatch):
    """The results of one case, a seed each."""
    monkeypatch.setattr(quarantine.responses, "respond", lambda *args, **fields: None)
    return [shared_parts.play(CASES[request.param], seed) for seed in SEEDS]


@pytest.mark.parametrize("played", CASES, indirect=True)
def test_few_requests_with_the_part_are_sent_once_five_endpoints_have_ended(played):
    assert max(result.sends_too_late() for result in played) <= MAX_SENT_TOO_LATE


@pytest.mark.parametrize("played", CASES, indirect=True)
def test_sound_requests_with_the_same_caller_and_other_parts_begin(played):
    assert min(result.sound_share() for result in played) >= MIN_SOUND_SHARE
