"""The fault-injecting proxy does nothing that a connection can't do."""

import attrs
from twisted.internet import task

from dunlinpoint.faults import proxy


@attrs.define
class End:
    """One end of a connection, and what it was sent."""

    written: list = attrs.field(factory=list)

    @property
    def transport(self):
        return self

    def write(self, data):
        self.written.append(data)


def test_a_delay_that_ends_does_not_swap_pieces():
    # Symptom: a stream ends as whole with an event missing. Sequence: its
    # first event is delayed, the delay ends, the second event is sent at
    # once and the first comes after it; an event with a lower id is dropped.
    # Cause: the proxy let a piece overtake a delayed one.
    reactor = task.Clock()
    faulty = proxy.Proxy(("h", 1), reactor)
    pipe = proxy.Pipe("down", to=End())
    faulty.steer(proxy.Fault("delay", delay_ms=100))
    faulty.carry(pipe, b"1")
    faulty.steer(proxy.Fault())
    faulty.carry(pipe, b"2")
    reactor.advance(0.2)
    faulty.carry(pipe, b"3")
    assert pipe.to.written == [b"1", b"2", b"3"]
