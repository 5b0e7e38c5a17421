"""The agent beside one rank's model server on the platform."""

from twisted.internet import reactor

from dunlinpoint import logs
from dunlinpoint.agent import announce
from dunlinpoint.cli import checks, flags
from dunlinpoint.experts import engine as engines
from dunlinpoint.experts import leader, rank
from dunlinpoint.follow import view
from dunlinpoint.platform import addresses, commands, documents, settings


def run(command: commands.PlatformAgent):
    """Run the agent beside a rank until it is stopped."""
    zone = checks.name(command.zone, "zone")
    host, app_port = checks.address(command.app, "app")
    port = addresses.first_port(command.inner_ports)
    controls = addresses.with_port(checks.addresses(command.seeds, "seeds"), port)
    logs.setup()
    counters = flags.counters(reactor, command.metrics)
    engine = engines.Engine.from_config(
        reactor, f"{host}:{app_port}", engines.EnginePaths(), documents.to_rank_state
    )
    address = rank.Address(zone, command.ip, port)
    handler = rank.serve(reactor, engine, address)
    group_leader = leader.Leader.from_config(
        reactor,
        handler,
        view.View.from_config(reactor, zone, controls),
        counters,
        checks.name(command.service, "service"),
    )
    announcer = announce.Announcer.from_config(reactor, controls, counters)
    rank.announce(
        reactor,
        engine,
        announcer,
        address,
        addresses.whole_number(command.beat_ms, "beat"),
    )
    rank.announce_pace_changes(handler, announcer, address)
    group_leader.on_group_state.append(
        lambda found: rank.announce_state(engine, announcer, address, found)
    )
    leader.run(reactor, group_leader)

    def set_seeds(seeds):
        group_leader.view.set_seeds(addresses.with_port(seeds, port))
        announcer.seeds = addresses.with_port(seeds, port)

    settings.watch(reactor, set_seeds)
    reactor.run()
