"""Checks for a crash after a connection to an endpoint has ended."""

import pytest
from twisted.internet import defer, task

from dunlinpoint import clock
from dunlinpoint.answers import life_check
from dunlinpoint.wire.gen.dunlin import ttypes

ANSWERED, REFUSED = life_check.Evidence.ANSWERED, life_check.Evidence.REFUSED
HEARTBEAT, NONE = life_check.Evidence.HEARTBEAT, life_check.Evidence.NONE
LIMIT_MS = 1000
DELAY_S = life_check.DELAY_MS / 1000


class Host:
    """Keeps the checks of its ports and answers them when told to."""

    def __init__(self):
        self.reactor = task.Clock()
        self.checked = []
        self.checks = life_check.LifeChecks(clock.Clock(self.reactor), self.probe)
        self.results = []

    def probe(self, member):
        self.checked.append((member.endpoint_id, defer.Deferred()))
        return self.checked[-1][1]

    def connection_ended(self, endpoint_id, limit_ms=LIMIT_MS):
        member = ttypes.Member(endpoint_id=endpoint_id, host="h", port=1)
        self.checks.check(member, limit_ms).addBoth(self.results.append)


def test_an_endpoint_is_checked_a_moment_after_its_connection_ended():
    # Guards against a crash that is not seen because its listening socket is closed
    # after its connections.
    host = Host()
    host.connection_ended("a")
    host.reactor.advance(DELAY_S / 2)
    assert not host.checked
    host.reactor.advance(DELAY_S / 2)
    host.checked[0][1].callback(REFUSED)
    assert host.results == [REFUSED]


def test_connections_that_end_together_share_a_check():
    # Guards against an endpoint that gets as many new connections as it has ended.
    host = Host()
    for endpoint_id in ("a", "a", "b"):
        host.connection_ended(endpoint_id)
    host.reactor.advance(DELAY_S)
    assert [endpoint_id for endpoint_id, _ in host.checked] == ["a", "b"]
    host.checked[0][1].callback(REFUSED)
    assert host.results == [REFUSED, REFUSED]
    host.checked[1][1].callback(ANSWERED)
    assert host.results == [REFUSED, REFUSED, ANSWERED]


def test_a_check_that_began_before_a_connection_ended_tells_nothing_about_it():
    # Guards against a crash that is not seen because the endpoint was last checked
    # before it.
    host = Host()
    host.connection_ended("a")
    host.reactor.advance(DELAY_S)
    host.connection_ended("a")
    host.checked[0][1].callback(ANSWERED)
    assert host.results == [ANSWERED]
    host.reactor.advance(DELAY_S)
    host.checked[1][1].callback(REFUSED)
    assert host.results == [ANSWERED, REFUSED]


def test_nothing_is_known_of_a_host_that_does_not_answer():
    # Guards against a caller who waits for a check past its deadline.
    host = Host()
    host.connection_ended("a", limit_ms=60)
    host.reactor.advance(0.03)
    assert len(host.checked) == 1
    host.reactor.advance(0.028)
    assert not host.results
    host.reactor.advance(0.003)
    assert host.results == [NONE]
    host.checked[0][1].callback(REFUSED)
    assert host.results == [NONE]


@pytest.mark.parametrize("limit_ms, late_s", [(0, 0), (4, 0), (LIMIT_MS, 2)])
def test_a_crash_is_seen_though_little_time_is_left(limit_ms, late_s):
    # Guards against a crash that counts as none because the time for the check ended
    # before the host could refuse: shortly before a deadline, or while this process
    # did not run.
    host = Host()
    host.connection_ended("a", limit_ms)
    host.reactor.advance(max(limit_ms / 2000, late_s))
    host.reactor.advance(0.01)
    host.checked[0][1].callback(REFUSED)
    assert host.results == [REFUSED]


def test_a_check_that_fails_reaches_all_that_wait_for_it():
    # Guards against answers that wait until their deadlines.
    host = Host()
    host.connection_ended("a")
    host.connection_ended("a")
    host.reactor.advance(DELAY_S)
    host.checked[0][1].errback(ValueError())
    assert [result.type for result in host.results] == [ValueError, ValueError]


def test_an_endpoint_that_has_shown_nothing_is_probed_again():
    # Guards against a listener that is closed after its process has ended, and whose
    # first connection is reset only then.
    host = Host()
    host.connection_ended("a")
    host.reactor.advance(DELAY_S)
    host.checked[0][1].callback(NONE)
    host.reactor.advance(life_check.REPEAT_INTERVAL_MS / 1000)
    host.checked[1][1].callback(REFUSED)
    assert host.results == [REFUSED]


def test_a_heartbeat_counts_where_a_probe_shows_nothing():
    # Guards against whole answers of endpoints whose accept queue is full.
    host = Host()
    host.checks.heard = lambda member, since_ms: defer.succeed(HEARTBEAT)
    host.connection_ended("a")
    host.reactor.advance(DELAY_S)
    host.reactor.advance(life_check.HEARD_DELAY_MS / 1000)
    assert host.results == [HEARTBEAT]


@pytest.mark.parametrize("sent_ms, results", [(-1, []), (0, []), (1, [ANSWERED])])
def test_an_answer_counts_whose_request_was_sent_after_the_end(sent_ms, results):
    # Guards against an answer that was on its way when its endpoint crashed.
    host = Host()
    host.connection_ended("a")
    host.reactor.advance(DELAY_S)
    member = ttypes.Member(endpoint_id="a", host="h", port=1)
    host.checks.answered(member, sent_ms)
    assert host.results == results


class PassingClock(task.Clock):
    """A clock that goes on by a millisecond between any two looks at it.

    As a real reactor, it takes no delay below 0.
    """

    looks = 0

    def seconds(self):
        self.looks += 1
        return super().seconds() + self.looks / 1000

    def callLater(self, delay, *args, **kwargs):
        assert delay >= 0, delay
        return super().callLater(delay, *args, **kwargs)


@pytest.mark.parametrize("limit_ms", [0, 1, 3])
def test_a_check_at_the_deadline_of_its_request_ends(limit_ms):
    # Guards against a caller who waits without end, because a millisecond passed
    # between two looks at the clock and the check was to begin before now.
    host = Host()
    host.checks.clock = clock.Clock(PassingClock())
    host.connection_ended("a", limit_ms)
    for _ in range(4):
        host.checks.clock.reactor.advance(life_check.MIN_WAIT_MS / 1000)
    assert host.results == [NONE]
