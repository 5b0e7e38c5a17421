"""The clock does not follow the time of day."""

import time

from twisted.internet import base, reactor

from dunlinpoint import clock


def test_a_step_of_the_time_of_day_moves_no_deadline(monkeypatch):
    # Symptom: an entry answers 503 or nothing for as long as the time of
    # day was set back. Sequence: the time of day jumps by 40 minutes while
    # polls and requests are timed. Cause: the reactor counts by the time of
    # day unless told otherwise.
    monkeypatch.setattr(reactor, "seconds", reactor.seconds)
    clock.steady(reactor)
    before = clock.Clock(reactor).now()
    fired = reactor.callLater(1, lambda: None)
    monkeypatch.setattr(time, "time", lambda: 0.0)
    monkeypatch.setattr(base, "runtimeSeconds", lambda: 0.0)
    assert before <= clock.Clock(reactor).now() < before + 1000
    assert abs(fired.getTime() - time.monotonic() - 1) < 1
    fired.cancel()
