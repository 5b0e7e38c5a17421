"""A core whose instances stand still while they save, for tests of slow disks.

A process that waits for its disk reads no message and runs no timer, so what arrives
meanwhile queues, and what it has written before leaves only afterwards. A call that
times out without any answer on its link since closes the connection: the other calls
on it fail, and those that the peer has not read yet are lost.
"""

import random

import attrs
from twisted.internet import defer, error, task

from dunlinpoint.control import server, store
from dunlinpoint.control.tests import core as cores
from dunlinpoint.wire import errors

STEP_MS = 10


@attrs.define(eq=False)
class Reactor(cores.Reactor):
    """The clock of one process that can be blocked."""

    busy_until_s: float = 0

    def seconds(self):
        return max(self.clock.seconds(), self.busy_until_s)

    def block(self, seconds):
        self.busy_until_s = self.seconds() + seconds

    def callLater(self, delay, func, *args, **kwargs):  # noqa: N802, Twisted's name
        return Timer(self, delay, func, args, kwargs)


class Timer:
    """A call of a process, which waits until the process is free."""

    def __init__(self, reactor, delay, func, args, kwargs):
        self.reactor, self.call = reactor, (func, args, kwargs)
        at_s = reactor.seconds() + delay
        wait_s = at_s - reactor.clock.seconds()
        self.timer = reactor.clock.callLater(wait_s, self.run)

    def run(self):
        reactor = self.reactor
        left_s = reactor.busy_until_s - reactor.clock.seconds()
        if reactor.ended:
            return
        if left_s > 1e-9:
            self.timer = reactor.clock.callLater(left_s, self.run)
            return
        func, args, kwargs = self.call
        func(*args, **kwargs)

    def active(self):
        return self.timer.active()

    def cancel(self):
        if not self.timer.active():
            raise error.AlreadyCalled
        self.timer.cancel()


@attrs.define(eq=False)
class Connection:
    """The calls on one connection that have no answer yet."""

    pending: list = attrs.field(factory=list)
    answer_count: int = 0
    is_open: bool = True


@attrs.define(eq=False)
class Link:
    """Calls from the instance at *caller* to the one at *host* on one connection."""

    core: object
    caller: str
    host: str
    timeout_ms: int
    connection: Connection = attrs.field(factory=Connection)

    def call(self, method, *args, timeout_ms=None):
        own = self.core.reactor_by_host[self.caller]
        outer, connection = defer.Deferred(), self.connection
        timeout_s = (timeout_ms or self.timeout_ms) / 1000
        count = connection.answer_count

        def finish(succeeded, value):
            if not outer.called:
                timer.active() and timer.cancel()
                connection.pending.remove(fail)
                (outer.callback if succeeded else outer.errback)(value)

        def fail():
            finish(False, errors.OutcomeUnknown(f"{self.host}: {method}"))

        def answered(value, succeeded):
            if connection.is_open:
                connection.answer_count += 1
                finish(succeeded, value)

        def time_out():
            # Answers that have arrived are read first.
            own.callLater(0, end_time)

        def end_time():
            if outer.called:
                return
            if connection.answer_count == count and connection.is_open:
                self.close()
            elif not outer.called:
                fail()

        timer = own.callLater(timeout_s, time_out)
        connection.pending.append(fail)
        own.callLater(0, self.deliver, connection, method, args, answered)
        return outer

    def deliver(self, connection, method, args, answered):
        """Hand a message to the peer once that is free, and its answer back."""
        if self.host not in self.core.handler_by_host:
            answered(errors.ConnectionRefused(self.host), False)
            return
        if self.core.is_cut(self.caller, self.host):
            return
        peer = self.core.reactor_by_host[self.host]
        own = self.core.reactor_by_host[self.caller]

        def answer(value, succeeded):
            # The answer leaves once the peer is free, and is read once the caller is.
            peer.callLater(0, own.callLater, 0, answered, value, succeeded)

        def handle():
            handler = self.core.handler_by_host.get(self.host)
            if connection.is_open and handler is not None:
                d = defer.maybeDeferred(getattr(handler, method), *args)
                d.addCallbacks(answer, answer, (True,), None, (False,))

        peer.callLater(0, handle)

    def close(self):
        closed, self.connection = self.connection, Connection()
        closed.is_open = False
        for fail in list(closed.pending):
            fail()


@attrs.define(eq=False)
class Links:
    """The links of the instance at *caller*."""

    core: object
    caller: str
    timeout_ms: int = server.PEER_TIMEOUT_MS
    link_by_host: dict = attrs.field(factory=dict)

    def to(self, host, _port):
        link = Link(self.core, self.caller, host, self.timeout_ms)
        return self.link_by_host.setdefault(host, link)


@attrs.define(eq=False)
class Store(store.Store):
    """A state file whose saves block the process for a drawn time."""

    reactor: Reactor
    draw_s: object

    def save(self, state):
        store.Store.save(self, state)
        self.reactor.block(self.draw_s())


@attrs.define(eq=False)
class SlowCore(cores.Core):
    """A core in which each save takes ``save_s``, a (shortest, longest) time."""

    save_s: tuple = (0.0, 0.0)
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))

    def make_reactor(self):
        return Reactor(self.reactor)

    def make_links(self, host):
        return Links(self, host)

    def start(self, host, zone=None, bootstrap=False):
        super().start(host, zone, bootstrap)
        local = self.state_by_host[host].peers.local
        reactor = self.reactor_by_host[host]
        local.store = Store(
            local.store.folder, reactor, lambda: self.rng.uniform(*self.save_s)
        )

    def advance(self, ms):
        for _ in range(ms // STEP_MS):
            self.reactor.advance(STEP_MS / 1000)

    def every(self, interval_ms, func, *args):
        """Run *func* every *interval_ms* from now on."""
        loop = task.LoopingCall(lambda: func(*args) and None)
        loop.clock = self.reactor
        loop.start(interval_ms / 1000)
