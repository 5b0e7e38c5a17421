"""The ``dunlinpoint`` daemon: one process, its role chosen by subcommand.

Roles: ``entry``, ``agent``, ``control``, the stand-ins ``engine``, ``service``
and ``weights``, and the fault-injecting ``proxy``. Every setting is a flag with
a corresponding environment variable (``DUNLIN_<NAME>``). All are validated
before the process listens; an invalid one ends it with exit code 2 and a line
naming the setting.

SIGTERM is a planned stop: the process refuses new work, finishes requests in
flight, notifies control, and exits.
"""

from dataclasses import dataclass
from typing import Annotated

import cappa
from twisted.internet import defer, reactor, task
from twisted.web import server

from dunlinpoint import clock, http_site, logs
from dunlinpoint.agent import server as agent_server
from dunlinpoint.cli import checks, flags
from dunlinpoint.control import server as control_server
from dunlinpoint.entry import app as entry_app
from dunlinpoint.faults import proxy
from dunlinpoint.standins import engine as engine_standin
from dunlinpoint.standins import service as service_standin
from dunlinpoint.standins import weights as weights_standin

ENTRY_DRAIN_TIMEOUT_MS = 30000


def listen_http(port, host, web):
    """Serve the Klein app *web* on *host*:*port*."""
    return reactor.listenTCP(port, server.Site(web.resource()), interface=host)


@defer.inlineCallbacks
def wait_idle(in_flight, timeout_ms):
    """Wait until ``in_flight()`` is 0, but not longer than *timeout_ms*."""
    waited_ms = 0
    while in_flight() and waited_ms < timeout_ms:
        yield task.deferLater(reactor, 0.05, lambda: None)
        waited_ms += 50


@dataclass
class Entry:
    """HTTP server for callers: routes requests to endpoint agents."""

    zone: flags.Zone
    port: Annotated[str, flags.flag("DUNLIN_PORT", "HTTP port for callers", 8080)]
    controls: flags.Controls
    host: flags.Host
    statsd: flags.Statsd
    metrics: flags.Metrics

    def __call__(self):
        zone = checks.name(self.zone, "zone")
        port = checks.port(self.port)
        controls = checks.addresses(self.controls, "controls")
        checks.address(self.statsd, "statsd")
        logs.setup()
        entry = entry_app.Entry.from_config(
            reactor,
            zone,
            controls,
            flags.counters(reactor, self.metrics, self.statsd, "entry"),
        )
        entry.view.follow(reactor)
        site = http_site.Site(entry_app.make_app(entry).resource())
        reactor.listenTCP(port, site, interface=self.host)

        @defer.inlineCallbacks
        def stop():
            entry.lifecycle.close()
            deadline_ms = entry.clock.now() + ENTRY_DRAIN_TIMEOUT_MS
            yield wait_idle(lambda: entry.in_flight, ENTRY_DRAIN_TIMEOUT_MS)
            yield site.close_all(entry.clock, deadline_ms)

        reactor.addSystemEventTrigger("before", "shutdown", stop)
        entry_app.log.info("started", zone=zone, port=port)
        reactor.run()


@dataclass
class Agent:
    """The agent beside one endpoint instance."""

    endpoint_id: Annotated[str, flags.flag("DUNLIN_ENDPOINT_ID", "this endpoint's id")]
    zone: flags.Zone
    port: Annotated[str, flags.flag("DUNLIN_PORT", "thrift port for entries")]
    backend: Annotated[
        str, flags.flag("DUNLIN_BACKEND", "the local engine or service URL")
    ]
    controls: flags.Controls
    kind: Annotated[str, flags.flag("DUNLIN_KIND", "engine or service", "engine")]
    group: Annotated[str, flags.flag("DUNLIN_GROUP", "model group of an engine", "")]
    host: flags.Host
    incarnation: Annotated[str, flags.flag("DUNLIN_INCARNATION", "restart counter", 0)]
    announce: Annotated[
        str, flags.flag("DUNLIN_ANNOUNCE", "host:port reachable by others", "")
    ]
    weights: Annotated[str, flags.flag("DUNLIN_WEIGHTS", "weight store URL", "")]
    statsd: flags.Statsd
    metrics: flags.Metrics

    def __call__(self):
        if not self.backend.startswith("http"):
            raise checks.SettingError(f"backend: {self.backend!r} is not an http URL")
        port = checks.port(self.port)
        announced = (self.host, port)
        if self.announce:
            announced = checks.address(self.announce, "announce")
        settings = agent_server.Settings(
            endpoint_id=checks.name(self.endpoint_id, "endpoint-id"),
            zone=checks.name(self.zone, "zone"),
            host=self.host,
            port=port,
            announced=announced,
            weights=self.weights.rstrip("/"),
            kind=checks.choice(self.kind, {"engine", "service"}, "kind"),
            backend=self.backend.rstrip("/"),
            controls=checks.addresses(self.controls, "controls"),
            group=self.group,
            incarnation=int(self.incarnation),
        )
        logs.setup()
        state = agent_server.run(
            reactor,
            settings,
            flags.counters(reactor, self.metrics, self.statsd, "agent"),
        )
        reactor.addSystemEventTrigger(
            "before", "shutdown", agent_server.drain, reactor, state
        )
        reactor.run()


@dataclass
class Control:
    """A control instance: document, membership, agreement."""

    control_id: Annotated[str, flags.flag("DUNLIN_CONTROL_ID", "this instance's id")]
    zone: flags.Zone
    port: Annotated[str, flags.flag("DUNLIN_PORT", "thrift port")]
    peers: Annotated[str, flags.flag("DUNLIN_PEERS", "other controls' host:port", "")]
    data: Annotated[
        str, flags.flag("DUNLIN_DATA", "data folder (none: memory only)", "")
    ]
    bootstrap: Annotated[
        bool, cappa.Arg(long=True, default=False, help="first start: vote at once")
    ]
    joins: Annotated[
        bool, cappa.Arg(long=True, default=False, help="added later: only join peers")
    ]
    host: Annotated[
        str, flags.flag("DUNLIN_HOST", "own address, as peers see it", "127.0.0.1")
    ]
    statsd: flags.Statsd
    metrics: flags.Metrics

    def __call__(self):
        own = self.host, checks.port(self.port)
        peers = checks.optional_addresses(self.peers, "peers")
        settings = control_server.Settings(
            control_id=checks.name(self.control_id, "control-id"),
            zone=checks.name(self.zone, "zone"),
            host=self.host,
            port=own[1],
            data=checks.folder(self.data),
            seeds=peers if self.joins else [own, *peers],
            bootstrap=self.bootstrap,
        )
        logs.setup()
        control_server.run(
            reactor,
            settings,
            flags.counters(reactor, self.metrics, self.statsd, "control"),
        )
        reactor.run()


@dataclass
class Engine:
    """Stand-in: a model engine, a group of ranks with one expert map."""

    port: Annotated[str, flags.flag("DUNLIN_PORT", "HTTP port")]
    ranks: Annotated[int, flags.flag("DUNLIN_RANKS", "ranks in the group", 4)]
    experts: Annotated[int, flags.flag("DUNLIN_EXPERTS", "experts per layer", 16)]
    ignore_fence: Annotated[
        bool, cappa.Arg(long=True, default=False, help="accept stale commands")
    ]
    host: flags.Host

    def __call__(self):
        settings = engine_standin.Settings(
            ranks=int(self.ranks),
            experts=int(self.experts),
            honours_fence=not self.ignore_fence,
        )
        engine = engine_standin.Engine.from_config(settings, reactor)
        listen_http(checks.port(self.port), self.host, engine_standin.app(engine))
        reactor.run()


@dataclass
class Service:
    """Stand-in: a plain service with non-idempotent calls."""

    port: Annotated[str, flags.flag("DUNLIN_PORT", "HTTP port")]
    record: Annotated[str, flags.flag("DUNLIN_RECORD", "file of executions", "")]
    delay_ms: Annotated[int, flags.flag("DUNLIN_DELAY_MS", "time a call takes", 0)]
    host: flags.Host

    def __call__(self):
        service = service_standin.Service(self.record or None, int(self.delay_ms))
        web = service_standin.app(service, reactor)
        listen_http(checks.port(self.port), self.host, web)
        reactor.run()


@dataclass
class Weights:
    """Stand-in: the rate-limited weight store."""

    port: Annotated[str, flags.flag("DUNLIN_PORT", "HTTP port")]
    bytes_per_s: Annotated[int, flags.flag("DUNLIN_BYTES_PER_S", "rate", 4_000_000)]
    expert_bytes: Annotated[int, flags.flag("DUNLIN_EXPERT_BYTES", "size", 1_000_000)]
    host: flags.Host

    def __call__(self):
        store = weights_standin.Store.from_config(
            reactor, int(self.bytes_per_s), int(self.expert_bytes)
        )
        listen_http(checks.port(self.port), self.host, weights_standin.app(store))
        reactor.run()


@dataclass
class Proxy:
    """Fault-injecting TCP proxy for tests, controlled over a separate HTTP port."""

    listen: Annotated[str, flags.flag("DUNLIN_LISTEN", "port to accept on")]
    target: Annotated[str, flags.flag("DUNLIN_TARGET", "host:port to forward to")]
    steer: Annotated[str, flags.flag("DUNLIN_STEER", "HTTP port for fault commands")]

    def __call__(self):
        fault = proxy.Proxy(target=checks.address(self.target, "target"))
        fault.reactor = reactor
        port = checks.port(self.listen, "listen")
        reactor.listenTCP(port, proxy.factory(fault), interface="127.0.0.1")
        listen_http(checks.port(self.steer, "steer"), "127.0.0.1", proxy.app(fault))
        reactor.run()


@cappa.command(name="dunlinpoint")
@dataclass
class Daemon:
    """dunlinpoint: run one process of the load balancer."""

    role: cappa.Subcommands[
        Entry | Agent | Control | Engine | Service | Weights | Proxy
    ]


def main(argv=None):
    """Run the daemon; exit code 2 on a bad setting."""
    clock.use_boot_clock(reactor)
    checks.invoke(Daemon, argv, "dunlinpoint")
