"""When an attempt at an unresponsive endpoint is aborted."""

import attrs
from twisted.internet import defer, task

from dunlinpoint import clock, metrics
from dunlinpoint.forward import guard
from dunlinpoint.routing import pick
from dunlinpoint.wire.gen.dunlin import ttypes

MEMBERS = [ttypes.Member(endpoint_id=name, zone="z", slots=5) for name in "ab"]


@attrs.define
class Connection:
    used_before: bool = False
    closed: bool = False

    def close(self):
        self.closed = True


@attrs.define
class Pool:
    answers: bool

    def reaches(self, member):
        return defer.succeed(self.answers)


@attrs.define
class Forwarder:
    clock: clock.Clock
    picker: pick.Picker
    pool: Pool
    counters: metrics.Counters

    def members(self, service):
        return MEMBERS


@attrs.define
class Call:
    service: str = "s"


def silent_for(ms, answers, used_before=False, other_heard=True):
    """Return the connection to an unresponsive endpoint after *ms*."""
    reactor = task.Clock()
    reactor.advance(100)
    forward = Forwarder(
        clock.Clock(reactor), pick.Picker("z"), Pool(answers), metrics.Counters(None)
    )
    connection = Connection(used_before)
    forward.picker.data_received("a", forward.clock.now())
    watching = guard.Guard(forward, Call(), MEMBERS[0], connection)
    watching.check_again(pick.UNRESPONSIVE_MS)
    for _ in range(ms // 50):
        reactor.advance(0.05)
        if other_heard:
            forward.picker.data_received("b", forward.clock.now())
    return connection


def test_a_busy_endpoint_keeps_its_request():
    # Guards against 502 responses while all endpoints are up. A request waits in the
    # long queue of one rank for over a second while the other ranks send events. If the
    # queue is mistaken for an unreachable machine, the attempt is aborted there, and
    # again at the next rank.
    assert not silent_for(3000, answers=True).closed


def test_an_endpoint_out_of_reach_is_left():
    assert silent_for(1500, answers=False).closed


def test_a_kept_connection_that_went_silent_is_left():
    assert silent_for(1500, answers=True, used_before=True).closed


def test_all_of_a_group_being_silent_says_nothing_of_one():
    assert not silent_for(3000, answers=False, other_heard=False).closed
