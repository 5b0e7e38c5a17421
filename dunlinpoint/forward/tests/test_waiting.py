"""Waits for a change notification, and their timeout."""

from twisted.internet import task

from dunlinpoint import clock
from dunlinpoint.forward import waiting


def waited(known, limit_ms=1000):
    reactor = task.Clock()
    found = waiting.Waiting(clock.Clock(reactor))
    results = []
    found.until(lambda: bool(known), limit_ms).addCallback(results.append)
    return reactor, found, results


def test_what_is_known_is_not_waited_for():
    assert waited([1])[2] == [True]


def test_news_ends_the_wait_only_when_it_is_the_right_news():
    known = []
    _, found, results = waited(known)
    found.news()
    assert results == [] and len(found.waiters) == 1
    known.append(1)
    found.news()
    assert results == [True] and found.waiters == []


def test_a_wait_ends_by_itself():
    reactor, found, results = waited([])
    for _ in range(12):
        reactor.advance(0.1)
    assert results == [False] and found.waiters == []
