"""The clock is independent of the wall clock and counts time suspended."""

import time

from twisted.internet import base, reactor

from dunlinpoint import clock


def test_a_step_of_the_wall_clock_moves_no_deadline(monkeypatch):
    # Guards against an entry that answers 503 or not at all after the wall clock
    # was set back, for as long as it was set back (here 40 minutes). The reactor
    # uses the wall clock by default, so polls and request timeouts were late.
    monkeypatch.setattr(reactor, "seconds", reactor.seconds)
    clock.use_boot_clock(reactor)
    before = clock.Clock(reactor).now()
    fired = reactor.callLater(1, lambda: None)
    monkeypatch.setattr(time, "time", lambda: 0.0)
    monkeypatch.setattr(base, "runtimeSeconds", lambda: 0.0)
    assert before <= clock.Clock(reactor).now() < before + 1000
    assert abs(fired.getTime() - time.monotonic() - 1) < 1
    fired.cancel()


def test_leases_age_while_the_machine_is_suspended(monkeypatch):
    # Guards against a revoked key that still works for a moment: an entry's machine
    # is suspended for ten seconds, the key is revoked meanwhile, and requests waiting
    # in its sockets are served on resume. The monotonic clock stops during
    # suspension, so the entry's document still looked confirmed.
    monkeypatch.setattr(reactor, "seconds", reactor.seconds)
    clock.use_boot_clock(reactor)
    before = clock.Clock(reactor).now()
    slept_s, true_time = 10, time.clock_gettime

    def since_wake(which):
        slept = slept_s if which == time.CLOCK_BOOTTIME else 0
        return true_time(which) + slept

    monkeypatch.setattr(time, "clock_gettime", since_wake)
    assert clock.Clock(reactor).now() >= before + slept_s * clock.MS_PER_SECOND
