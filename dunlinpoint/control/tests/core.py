"""Complete control instances in one process, on one clock, for tests of the core.

Their loops run as in a process. Calls between them are answered at once; calls to an
instance that does not run fail at once, and calls over a cut link with a timeout.
"""

import attrs
from twisted.internet import defer, task

from dunlinpoint import metrics
from dunlinpoint.control import agreement, server, voter_changes
from dunlinpoint.wire import errors

PORT = 7000
STEP_MS = 50
# The time that a new instance has until it is available, ``catchUpS`` of the platform.
CATCH_UP_MS = 4000
START_S = 100


@attrs.define(eq=False)
class Link:
    """Calls from the instance at *caller* to the one at *host*."""

    core: object
    caller: str
    host: str

    def call(self, method, *args, timeout_ms=None):
        handler = self.core.handler_by_host.get(self.host)
        if handler is None:
            return defer.fail(errors.ConnectionRefused(self.host))
        if self.core.is_cut(self.caller, self.host):
            return self._time_out()
        return defer.maybeDeferred(getattr(handler, method), *args)

    def _time_out(self):
        timed_out = defer.Deferred()
        self.core.reactor.callLater(
            server.PEER_TIMEOUT_MS / 1000,
            lambda: timed_out.errback(errors.OutcomeUnknown(self.host)),
        )
        return timed_out


@attrs.define(eq=False)
class Links:
    """The links of the instance at *caller*."""

    core: object
    caller: str

    def to(self, host, _port):
        return Link(self.core, self.caller, host)


@attrs.define(eq=False)
class Reactor:
    """The clock of one process, which does nothing any more once it has ended."""

    clock: task.Clock
    ended: bool = False

    def seconds(self):
        return self.clock.seconds()

    def callLater(self, delay, func, *args, **kwargs):  # noqa: N802, Twisted's name
        def run():
            if not self.ended:
                func(*args, **kwargs)

        return self.clock.callLater(delay, run)


@attrs.define(eq=False)
class Core:
    """Control instances by host name; *folder* holds their disks."""

    folder: object
    founders: list
    reactor: task.Clock = attrs.field(factory=task.Clock)
    handler_by_host: dict = attrs.field(factory=dict)
    state_by_host: dict = attrs.field(factory=dict)
    reactor_by_host: dict = attrs.field(factory=dict)
    disk_by_host: dict = attrs.field(factory=dict)
    zone_by_host: dict = attrs.field(factory=dict)
    halves: tuple = ()

    @classmethod
    def from_zones(cls, folder, zones, founders=None):
        """A core of one instance ``c0``, ``c1``, ... in each of *zones*.

        The first *founders* of them (default: all) are the seeds.
        """
        hosts = [f"c{number}" for number in range(len(zones))]
        core = cls(folder, hosts[:founders])
        core.reactor.advance(START_S)
        for host, zone in zip(hosts, zones, strict=True):
            core.start(host, zone, bootstrap=True)
        core.advance(CATCH_UP_MS)
        assert core.propose("first") is not None
        return core

    def is_cut(self, one, other):
        return any((one in half) != (other in half) for half in self.halves)

    def make_reactor(self):
        return Reactor(self.reactor)

    def make_links(self, host):
        return Links(self, host)

    def start(self, host, zone=None, bootstrap=False):
        """Start the instance at *host*, on the disk that it has or an empty one."""
        self.zone_by_host.setdefault(host, zone)
        folder = self.folder / f"{host}-{self.disk_by_host.setdefault(host, 0)}"
        folder.mkdir(parents=True, exist_ok=True)
        settings = server.Settings(
            host,
            self.zone_by_host[host],
            host,
            PORT,
            str(folder),
            [(founder, PORT) for founder in self.founders],
            bootstrap=bootstrap,
        )
        reactor = self.reactor_by_host[host] = self.make_reactor()
        state = server.State.from_config(settings, reactor, metrics.Counters(None))
        state.links = self.make_links(host)
        state.peers.link_to = state.links.to
        self.state_by_host[host] = state
        self.handler_by_host[host] = server.Handler(state)
        server.start_loops(reactor, state)

    def kill(self, host):
        """End the process at *host* at once."""
        if host in self.handler_by_host:
            self.reactor_by_host[host].ended = True
            del self.handler_by_host[host], self.state_by_host[host]

    def terminate(self, host):
        """Send SIGTERM to *host*; a Deferred that fires when it has ended."""
        state = self.state_by_host[host]

        def end(_result):
            # It may have been killed and started again meanwhile.
            if self.state_by_host.get(host) is state:
                self.kill(host)

        return voter_changes.leave(state, server.announce).addCallback(end)

    def lose_disk(self, host):
        """Kill the instance at *host*; its next start finds an empty disk."""
        self.kill(host)
        self.disk_by_host[host] += 1

    def advance(self, ms):
        for _ in range(ms // STEP_MS):
            self.reactor.advance(STEP_MS / 1000)

    def wait(self, deferred, limit_ms):
        """The result of *deferred*, or ``None`` after *limit_ms* of simulated time."""
        results = []
        deferred.addBoth(results.append)
        for _ in range(limit_ms // STEP_MS):
            if results:
                break
            self.advance(STEP_MS)
        return results[0] if results else None

    def voters(self):
        """The hosts of the voters of the newest decision at any instance."""
        states = self.state_by_host.values()
        newest = max((s.peers.local.committed for s in states), key=lambda d: d.round)
        return {v.host for v in newest.voters}

    def propose(self, name):
        """Try to decide on a document at any instance; its version or ``None``."""
        for state in list(self.state_by_host.values()):
            version = state.peers.local.committed.version
            outcome = self.wait(
                agreement.propose(state.peers, version, name, f'{{"name": "{name}"}}'),
                2000,
            )
            if outcome is not None and outcome.accepted:
                return outcome.version
        return None

    def read(self):
        """The newest change id that each instance reads, by host."""
        found = {}
        for host, state in list(self.state_by_host.items()):
            decision = self.wait(agreement.read(state.peers), 2000)
            found[host] = decision and decision.change_id
        return found
