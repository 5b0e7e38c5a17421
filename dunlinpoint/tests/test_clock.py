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


def test_a_suspended_machine_wakes_with_its_leases_aged(monkeypatch):
    # Symptom: a key that was taken away works for a moment. Sequence: an entry's
    # machine is suspended for ten seconds, the key is taken away meanwhile, and
    # requests that waited in its sockets are served on waking. Cause: the
    # monotonic clock stood still, and the document looked vouched for.
    monkeypatch.setattr(reactor, "seconds", reactor.seconds)
    clock.steady(reactor)
    before = clock.Clock(reactor).now()
    slept_s, true_time = 10, time.clock_gettime

    def since_wake(which):
        slept = slept_s if which == time.CLOCK_BOOTTIME else 0
        return true_time(which) + slept

    monkeypatch.setattr(time, "clock_gettime", since_wake)
    assert clock.Clock(reactor).now() >= before + slept_s * clock.MS_PER_SECOND
