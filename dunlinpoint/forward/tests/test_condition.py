"""Waits for a change notification, and their timeout."""

from twisted.internet import task

from dunlinpoint import clock
from dunlinpoint.forward import condition


def start_wait(known, timeout_ms=1000):
    reactor = task.Clock()
    found = condition.Condition(clock.Clock(reactor))
    results = []
    found.wait_for(lambda: bool(known), timeout_ms).addCallback(results.append)
    return reactor, found, results


def test_a_true_condition_needs_no_wait():
    assert start_wait([1])[2] == [True]


def test_a_notification_ends_the_wait_only_if_the_condition_is_true():
    known = []
    _, found, results = start_wait(known)
    found.notify_all()
    assert results == [] and len(found.waiters) == 1
    known.append(1)
    found.notify_all()
    assert results == [True] and found.waiters == []


def test_a_wait_times_out():
    reactor, found, results = start_wait([])
    for _ in range(12):
        reactor.advance(0.1)
    assert results == [False] and found.waiters == []
