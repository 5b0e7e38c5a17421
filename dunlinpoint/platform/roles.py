"""The daemon's roles as the platform starts them, from its settings.

Settings come as environment variables that ``deploy/system.toml`` fills in;
each is a flag as well, checked like the daemon's own.
"""

from dataclasses import dataclass
from typing import Annotated

from twisted.internet import defer, reactor, task
from twisted.web import server

from dunlinpoint import clock, logs
from dunlinpoint.agent import announce
from dunlinpoint.cli import checks, flags
from dunlinpoint.control import server as control_server
from dunlinpoint.experts import lead, rank
from dunlinpoint.follow import view
from dunlinpoint.forward import site, state
from dunlinpoint.platform import admin, dialect, documents, ready, settings

log = logs.logger("entry")

# A stopping entry goes on taking connections while the balancer finds out.
ACCEPT_AFTER_STOP_MS = 3000
# Streams last up to the whole grace time; what is left is for the exit itself.
STOP_MARGIN_MS = 300
STEP_MS = 50
# The part of the time in which a key taken away must stop working that an
# entry may go unvouched; the rest covers the way of the last poll.
KEY_LEASE_SHARE = 0.8
MEMBER_LEASE_BEATS = 4


def inner(seeds, port):
    """The seeds' addresses for our own protocol, on inner *port*."""
    return [(host, port) for host, _ in seeds]


def first_port(ports):
    """The first of a comma-joined list of ports."""
    return checks.port(str(ports).split(",")[0], "inner-ports")


def whole(value, name):
    """A whole number from *value*."""
    if not str(value).isdigit():
        raise checks.SettingError(f"{name}: {value!r} is not a whole number")
    return int(value)


@dataclass
class PlatformEntry:
    """An entry on the platform: forwards callers' HTTP to servers."""

    zone: flags.Zone
    listen: Annotated[str, flags.flag("DUNLIN_LISTEN", "host:port for callers")]
    ready: Annotated[str, flags.flag("DUNLIN_READY", "host:port of the ready question")]
    seeds: flags.Seeds
    inner_ports: flags.InnerPorts
    revoke_ms: Annotated[str, flags.flag("DUNLIN_REVOKE_MS", "a key's end, ms", "0")]
    grace_s: Annotated[str, flags.flag("DUNLIN_GRACE_S", "SIGTERM to SIGKILL", "8")]
    metrics: flags.Metrics

    def __call__(self):
        zone = checks.name(self.zone, "zone")
        host, port = checks.address(self.listen, "listen")
        ready_host, ready_port = checks.address(self.ready, "ready")
        inner_port = first_port(self.inner_ports)
        controls = inner(checks.addresses(self.seeds, "seeds"), inner_port)
        lease_ms = int(whole(self.revoke_ms, "revoke-ms") * KEY_LEASE_SHARE)
        grace_ms = whole(self.grace_s, "grace-s") * clock.MS_PER_SECOND
        logs.setup()
        entry_view = view.View.from_config(reactor, zone, controls)
        entry_view.follower = self.listen
        forward = state.Forward.from_config(
            reactor,
            entry_view,
            flags.counters(reactor, self.metrics),
            dialect.HEADERS,
            lease_ms,
        )
        entry_view.follow(reactor)
        settings.watch(
            reactor, lambda seeds: entry_view.reseed(inner(seeds, inner_port))
        )
        callers, listening = site.listen(reactor, forward, host, port)

        def is_ready():
            return (
                forward.table.version > 0
                and not forward.life.is_draining()
                and not forward.key_lease_ended()
            )

        web = server.Site(ready.make_app(is_ready).resource())
        reactor.listenTCP(ready_port, web, interface=ready_host)

        async def stop():
            forward.life.drain()
            ends = forward.clock.now() + grace_ms - STOP_MARGIN_MS
            log.info("draining", in_flight=forward.in_flight)
            await pause(min(ACCEPT_AFTER_STOP_MS, grace_ms // 3))
            forward.life.close()
            await listening.stopListening()
            while forward.in_flight and forward.clock.now() < ends:
                await pause(STEP_MS)
            await callers.close_all(forward.clock, ends)
            log.info("stopped", counters=forward.counters.snapshot())

        reactor.addSystemEventTrigger("before", "shutdown", start(stop))
        log.info("started", zone=zone, port=port)
        reactor.run()


def pause(ms):
    """A Deferred that fires after *ms* milliseconds."""
    return task.deferLater(reactor, clock.seconds(ms), lambda: None)


def start(coroutine):
    """A plain function that runs *coroutine* and returns its Deferred."""
    return lambda: defer.ensureDeferred(coroutine())


@dataclass
class PlatformControl:
    """A control instance on the platform, with its admin calls."""

    zone: flags.Zone
    ip: flags.Ip
    listen: Annotated[str, flags.flag("DUNLIN_LISTEN", "host:port for admin calls")]
    seeds: flags.Seeds
    inner_ports: flags.InnerPorts
    data: Annotated[str, flags.flag("DUNLIN_DATA", "data folder")]
    beat_ms: flags.BeatMs
    bootstrap: Annotated[str, flags.flag("DUNLIN_BOOTSTRAP", "first start", "false")]
    metrics: flags.Metrics

    def __call__(self):
        host, port = checks.address(self.listen, "listen")
        seeds = checks.addresses(self.seeds, "seeds")
        own_port = first_port(self.inner_ports)
        control = control_server.Settings(
            control_id=self.ip,
            zone=checks.name(self.zone, "zone"),
            host=self.ip,
            port=own_port,
            data=checks.folder(self.data),
            seeds=inner(seeds, own_port),
            lease_ms=whole(self.beat_ms, "beat-ms") * MEMBER_LEASE_BEATS,
            bootstrap=self.bootstrap == "true",
        )
        logs.setup()
        running = control_server.run(
            reactor, control, flags.counters(reactor, self.metrics)
        )
        settings.watch(
            reactor, lambda seeds: running.controls.reseed(inner(seeds, own_port))
        )
        web = server.Site(admin.make_app(reactor, running).resource())
        reactor.listenTCP(port, web, interface=host)
        reactor.run()


@dataclass
class PlatformAgent:
    """The agent beside one rank's model server on the platform."""

    zone: flags.Zone
    ip: flags.Ip
    app: Annotated[str, flags.flag("DUNLIN_APP", "host:port of the model server")]
    service: Annotated[str, flags.flag("DUNLIN_SERVICE", "the service it belongs to")]
    seeds: flags.Seeds
    inner_ports: flags.InnerPorts
    beat_ms: flags.BeatMs
    metrics: flags.Metrics

    def __call__(self):
        zone = checks.name(self.zone, "zone")
        host, app_port = checks.address(self.app, "app")
        port = first_port(self.inner_ports)
        controls = inner(checks.addresses(self.seeds, "seeds"), port)
        logs.setup()
        counters = flags.counters(reactor, self.metrics)
        engine = rank.Engine.from_config(
            reactor, f"{host}:{app_port}", rank.Calls(), documents.to_rank_state
        )
        address = rank.Address(zone, self.ip, port)
        leading = lead.Lead.from_config(
            reactor,
            rank.serve(reactor, engine, address),
            view.View.from_config(reactor, zone, controls),
            counters,
            checks.name(self.service, "service"),
        )
        announcer = announce.Announcer.from_config(reactor, controls, counters)
        rank.announce(reactor, engine, announcer, address, whole(self.beat_ms, "beat"))
        leading.on_standing.append(
            lambda found: rank.announce_state(engine, announcer, address, found)
        )
        lead.run(reactor, leading)

        def reseed(seeds):
            leading.view.reseed(inner(seeds, port))
            announcer.seeds = inner(seeds, port)

        settings.watch(reactor, reseed)
        reactor.run()
