"""Incremental updates of the member list from a control to its followers."""

import random

import pytest
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport
from twisted.internet import task

from dunlinpoint import metrics
from dunlinpoint.control import membership, server
from dunlinpoint.follow import view
from dunlinpoint.wire.gen.dunlin import ttypes

DOCUMENT_KNOWN = 1 << 62
IDS = [f"i-{number}" for number in range(8)]
GROUP_SIZE = 63


class Control:
    """A control without a disk, and its followers, on one clock."""

    def __init__(self):
        self.reactor = task.Clock()
        self.reactor.advance(100)
        settings = server.Settings("c", "z", "h", 1, None, [("h", 1)], bootstrap=True)
        counters = metrics.Counters(None)
        self.state = server.State.from_config(settings, self.reactor, counters)

    @property
    def now(self):
        return self.state.clock.now()

    def follower(self):
        entry_view = view.View.from_config(self.reactor, "z", [("h", 1)])
        (followed,) = entry_view.controls.update([("h", 1)], 0)
        return entry_view, followed

    def poll(self, follower, changes_only=True):
        """Poll once for *follower*; returns the ``View`` it received."""
        entry_view, followed = follower
        query = followed.revision, DOCUMENT_KNOWN, False
        reply = self.state.make_view(*query, changes_only=changes_only)
        entry_view.merge(followed, reply, self.now)
        return reply


def heartbeat(endpoint_id, sequence=1, **fields):
    known = {"zone": "z", "host": "h", "port": 2, "kind": "service", "load": 0}
    known |= {"draining": False, "config_version": 0, "incarnation": 0}
    return ttypes.Heartbeat(
        endpoint_id=endpoint_id, sequence=sequence, **(known | fields)
    )


def known_members(follower):
    """Each live member's fields in the view of *follower*."""
    entry_view, _ = follower
    return {
        m.endpoint_id: (m.epoch, m.broken, m.load, m.draining)
        for m in entry_view.live("service")
    }


def apply_random_event(control, rng, sequence):
    """Apply one random event to the members of *control*."""
    endpoint_id = rng.choice(IDS)
    kind = rng.choice(["beat", "beat", "beat", "leave", "time"])
    if kind == "beat":
        fields = {"epoch": rng.randrange(3), "broken": rng.random() < 0.3}
        fields |= {"load": rng.randrange(3), "draining": rng.random() < 0.1}
        control.state.renew(heartbeat(endpoint_id, sequence, **fields))
    elif kind == "leave":
        control.state.leave(endpoint_id)
    else:
        control.reactor.advance(rng.choice([0.05, 0.6, 1.5]))
        server.expire(control.state)


def actual_members(control):
    """Each live member's fields at *control* itself."""
    return {
        m.endpoint_id: (m.epoch, m.broken, m.load, m.draining)
        for m in control.state.membership.members(control.now)
        if not m.draining and not m.gone
    }


@pytest.mark.parametrize("seed", range(1, 31))
def test_a_follower_of_changes_matches_the_control(seed):
    # Guards against additions, changes and removals of members that reach a follower
    # only with a complete list.
    rng = random.Random(seed)
    control = Control()
    follower = control.follower()
    for sequence in range(1, 120):
        apply_random_event(control, rng, sequence)
        if rng.random() < 0.4:
            control.poll(follower)
            # A member whose lease expired at the follower between polls is listed again
            # by the next poll.
            control.poll(follower)
            control.state.membership.revision += 1
            control.poll(follower)
            assert known_members(follower) == actual_members(control)


def test_a_follower_of_an_earlier_control_process_gets_the_complete_list():
    # Guards against changes sent relative to the list of an earlier process.
    control = Control()
    follower = control.follower()
    control.state.renew(heartbeat("i-1"))
    follower[1].revision = control.state.membership.revision + 1
    reply = control.poll(follower)
    assert not reply.partial and len(reply.members) == 1


def test_a_follower_that_missed_too_many_changes_gets_the_complete_list(monkeypatch):
    # Guards against ids of dropped members that are kept without limit.
    monkeypatch.setattr(membership, "MAX_DROPPED_IDS", 3)
    control = Control()
    follower = control.follower()
    control.poll(follower)
    for name in IDS:
        control.state.renew(heartbeat(name))
    control.poll(follower)
    control.reactor.advance(3)
    server.expire(control.state)
    assert not control.state.membership.dropped_by_id
    reply = control.poll(follower)
    assert not reply.partial
    assert known_members(follower) == {}


def size(reply):
    transport = TTransport.TMemoryBuffer()
    reply.write(TBinaryProtocol.TBinaryProtocol(transport))
    return len(transport.getvalue())


def test_changes_of_a_broken_group_take_a_tenth_of_the_bytes():
    # When a group of 63 ranks breaks, each rank's next heartbeat reports it.
    sent_bytes = {}
    for changes_only in (False, True):
        control = Control()
        follower = control.follower()
        for rank in range(GROUP_SIZE):
            control.state.renew(heartbeat(f"rank-{rank}", epoch=1, broken=False))
        control.poll(follower, changes_only)
        sent_bytes[changes_only] = 0
        for rank in range(GROUP_SIZE):
            control.state.renew(heartbeat(f"rank-{rank}", 2, epoch=1, broken=True))
            sent_bytes[changes_only] += size(control.poll(follower, changes_only))
    assert sent_bytes[True] < sent_bytes[False] / 10
