"""The fault-injecting proxy behaves as a TCP connection can."""

import attrs
from twisted.internet import error, task
from twisted.python import failure

from dunlinpoint.faults import proxy


@attrs.define
class End:
    """One end of a connection, with the chunks written to it."""

    written: list = attrs.field(factory=list)
    is_closed: bool = False

    @property
    def transport(self):
        return self

    def write(self, data):
        assert not self.is_closed
        self.written.append(data)

    def loseConnection(self):
        self.is_closed = True


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


def test_the_end_of_a_connection_does_not_overtake_delayed_chunks():
    # Guards against a proxy that drops the last event of a stream: the endpoint closes
    # its connection to end the answer, and the answer looks whole without that event.
    reactor = task.Clock()
    faulty = proxy.Proxy(("h", 1), reactor)
    pipe = proxy.Pipe("down", receiver=End())
    faulty.set_fault(proxy.Fault("delay", delay_ms=100))
    faulty.forward(pipe, b"1")
    faulty.end(pipe, failure.Failure(error.ConnectionDone()))
    assert not pipe.receiver.is_closed
    reactor.advance(0.2)
    assert pipe.receiver.written == [b"1"]
    assert pipe.receiver.is_closed
