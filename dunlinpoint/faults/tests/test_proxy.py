"""The fault-injecting proxy behaves as a TCP connection can."""

import attrs
from twisted.internet import task

from dunlinpoint.faults import proxy


@attrs.define
class End:
    """One end of a connection, with the chunks written to it."""

    written: list = attrs.field(factory=list)

    @property
    def transport(self):
        return self

    def write(self, data):
        self.written.append(data)


def test_a_delay_that_ends_does_not_reorder_chunks():
    # Guards against a proxy that lets a chunk overtake a delayed one: the first event
    # of a stream is delayed, the delay ends, and the second is sent at once. The first
    # then has the lower id and is dropped, so the stream ends normally without it.
    reactor = task.Clock()
    faulty = proxy.Proxy(("h", 1), reactor)
    pipe = proxy.Pipe("down", receiver=End())
    faulty.set_fault(proxy.Fault("delay", delay_ms=100))
    faulty.forward(pipe, b"1")
    faulty.set_fault(proxy.Fault())
    faulty.forward(pipe, b"2")
    reactor.advance(0.2)
    faulty.forward(pipe, b"3")
    assert pipe.receiver.written == [b"1", b"2", b"3"]
