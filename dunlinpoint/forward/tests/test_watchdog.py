"""When an attempt at an unresponsive endpoint is aborted."""

import attrs
from twisted.internet import defer, task

from dunlinpoint import clock, metrics
from dunlinpoint.forward import watchdog
from dunlinpoint.routing import backpressure, pick
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
    accepts_connections: bool

    def can_connect(self, member):
        return defer.succeed(self.accepts_connections)


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


@attrs.define
class Readable:
    """A connection that can be paused."""

    def pause(self):
        pass

    def resume(self):
        pass


def unresponsive_for(
    ms, accepts_connections, used_before=False, other_responds=True, paused=False
):
    """Return the connection to an unresponsive endpoint after *ms*.

    If *paused*, the entry itself does not read from it.
    """
    reactor = task.Clock()
    reactor.advance(100)
    forwarder = Forwarder(
        clock.Clock(reactor),
        pick.Picker("z"),
        Pool(accepts_connections),
        metrics.Counters(None),
    )
    connection = Connection(used_before)
    forwarder.picker.data_received("a", forwarder.clock.now())
    source = backpressure.Source()
    source.begin(Readable())
    if paused:
        source.pause(forwarder.clock.now())
    watching = watchdog.Watchdog(forwarder, Call(), MEMBERS[0], connection, source)
    watching.schedule_check(pick.UNRESPONSIVE_MS)
    for _ in range(ms // 50):
        reactor.advance(0.05)
        if other_responds:
            forwarder.picker.data_received("b", forwarder.clock.now())
    return connection


def test_a_busy_endpoint_keeps_its_request():
    # Guards against 502 responses while all endpoints are up. A request waits in the
    # long queue of one rank for over a second while the other ranks send events. If the
    # queue is mistaken for an unreachable machine, the attempt is aborted there, and
    # again at the next rank.
    assert not unresponsive_for(3000, accepts_connections=True).closed


def test_an_attempt_at_an_unreachable_endpoint_is_aborted():
    assert unresponsive_for(1500, accepts_connections=False).closed


def test_an_attempt_on_a_dead_idle_connection_is_aborted():
    assert unresponsive_for(1500, accepts_connections=True, used_before=True).closed


def test_no_attempt_is_aborted_if_all_endpoints_are_unresponsive():
    assert not unresponsive_for(
        3000, accepts_connections=False, other_responds=False
    ).closed


def test_a_paused_endpoint_is_not_unresponsive():
    # Guards against a stream that is broken off because its caller reads slowly: the
    # entry does not read from the endpoint meanwhile, and other endpoints send events.
    assert not unresponsive_for(
        3000, accepts_connections=False, used_before=True, paused=True
    ).closed
