"""A control instance on the platform, with its admin calls."""

from twisted.internet import reactor

from dunlinpoint import logs
from dunlinpoint.cli import checks, flags
from dunlinpoint.control import server as control_server
from dunlinpoint.platform import addresses, admin, commands, settings

MEMBER_LEASE_HEARTBEATS = 4


def run(command: commands.PlatformControl):
    """Run a control instance until it is stopped."""
    host, port = checks.address(command.listen, "listen")
    seeds = checks.addresses(command.seeds, "seeds")
    own_port = addresses.first_port(command.inner_ports)
    control = control_server.Settings(
        control_id=command.ip,
        zone=checks.name(command.zone, "zone"),
        host=command.ip,
        port=own_port,
        data=checks.folder(command.data),
        seeds=addresses.with_port(seeds, own_port),
        lease_ms=addresses.whole_number(command.beat_ms, "beat-ms")
        * MEMBER_LEASE_HEARTBEATS,
        bootstrap=command.bootstrap == "true",
        zones=addresses.zone_names(command.zones),
    )
    logs.setup()
    running = control_server.run(
        reactor, control, flags.counters(reactor, command.metrics)
    )
    settings.watch(
        reactor,
        lambda seeds: running.controls.set_seeds(addresses.with_port(seeds, own_port)),
    )
    web = admin.Site(admin.make_app(reactor, running).resource(), running.clock)
    reactor.listenTCP(port, web, interface=host)
    reactor.run()
