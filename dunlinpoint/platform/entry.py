"""An entry on the platform: forwards callers' HTTP to servers."""

from twisted.internet import defer, reactor

from dunlinpoint import clock, http_site, logs
from dunlinpoint.cli import checks, flags
from dunlinpoint.follow import view
from dunlinpoint.forward import site, state
from dunlinpoint.platform import (
    addresses,
    commands,
    documents,
    endpoint_signals,
    prompt_parts,
    protocol,
    ready,
    settings,
)
from dunlinpoint.routing import budget, cold

log = logs.logger("entry")

# A stopping entry still accepts connections until the load balancer in front of it
# has noticed that it is not ready.
ACCEPT_AFTER_STOP_MS = 3000
# Part of the grace time kept for the exit; streams may use all of the rest.
STOP_MARGIN_MS = 300
POLL_INTERVAL_MS = 50
BYTES_PER_MB = 1024 * 1024
# Share of the key revocation time for which an entry serves without confirmation of
# its document; the rest covers the round trip of the last poll.
KEY_LEASE_SHARE = 0.8
MAX_COLD_OVERAGE = 100
MAX_COLD_TOLERANCE = 100_000
MAX_RETRY_RATIO = 100
MAX_RETRY_WINDOW_S = 3600
MAX_RETRY_SLACK = 1_000_000


def deferred_function(coroutine):
    """A function that runs *coroutine* and returns its Deferred."""
    return lambda: defer.ensureDeferred(coroutine())


def cold_bounds(command):
    """The ``cold.Bounds`` of the settings in *command*."""
    return cold.Bounds(
        addresses.number(command.cold_overage, "cold-overage", 1.0, MAX_COLD_OVERAGE),
        addresses.number(
            command.cold_tolerance, "cold-tolerance", 0.0, MAX_COLD_TOLERANCE
        ),
    )


def retry_bounds(command):
    """The ``budget.Bounds`` of the settings in *command*."""
    ratio = addresses.number(
        command.retry_ratio, "retry-ratio", budget.DEFAULT_RATIO, MAX_RETRY_RATIO
    )
    default_s = budget.DEFAULT_WINDOW_MS / clock.MS_PER_SECOND
    window_s = addresses.number(
        command.retry_window_s, "retry-window-s", default_s, MAX_RETRY_WINDOW_S
    )
    window_ms = round(window_s * clock.MS_PER_SECOND)
    if window_ms < 1:
        raise checks.SettingError("retry-window-s: must be above 0")
    slack = addresses.number(command.retry_slack, "retry-slack", None, MAX_RETRY_SLACK)
    zones = len(addresses.zone_names(command.zones))
    if slack is not None and not zones:
        raise checks.SettingError("retry-slack: needs zones")
    return budget.Bounds(ratio, window_ms, slack, max(1, zones))


def run(command: commands.PlatformEntry):
    """Run an entry until it is stopped."""
    zone = checks.name(command.zone, "zone")
    host, port = checks.address(command.listen, "listen")
    ready_host, ready_port = checks.address(command.ready, "ready")
    inner_port = addresses.first_port(command.inner_ports)
    controls = addresses.with_port(checks.addresses(command.seeds, "seeds"), inner_port)
    lease_ms = int(
        addresses.whole_number(command.revoke_ms, "revoke-ms") * KEY_LEASE_SHARE
    )
    grace_ms = addresses.whole_number(command.grace_s, "grace-s") * clock.MS_PER_SECOND
    memory_mb = addresses.whole_number(command.memory_mb or "0", "memory-mb")
    logs.setup()
    entry_view = view.View.from_config(reactor, zone, controls)
    entry_view.follower = command.listen
    forwarder = state.Forwarder.from_config(
        reactor,
        entry_view,
        flags.counters(reactor, command.metrics),
        protocol.HEADERS,
        endpoint_signals.from_response,
        lease_ms,
        memory_mb * BYTES_PER_MB,
        prompt_parts.from_request,
        documents.parse_accepted,
    )
    forwarder.picker.cold.bounds = cold_bounds(command)
    forwarder.budget.bounds = retry_bounds(command)
    entry_view.follow(reactor)
    settings.watch(
        reactor,
        lambda seeds: entry_view.set_seeds(addresses.with_port(seeds, inner_port)),
    )
    callers_site, listening_port = site.listen(reactor, forwarder, host, port)

    def is_ready():
        return (
            forwarder.table.version > 0
            and not forwarder.lifecycle.is_draining()
            and not forwarder.key_lease_ended()
        )

    web = http_site.BoundedSite(ready.make_app(is_ready).resource())
    reactor.listenTCP(ready_port, web, interface=ready_host)

    async def stop():
        forwarder.lifecycle.drain()
        deadline_ms = forwarder.clock.now() + grace_ms - STOP_MARGIN_MS
        forwarder.stop_ms = deadline_ms
        log.info("draining", in_flight=forwarder.in_flight)
        await forwarder.clock.sleep(min(ACCEPT_AFTER_STOP_MS, grace_ms // 3))
        forwarder.lifecycle.close()
        await listening_port.stopListening()
        while forwarder.in_flight and forwarder.clock.now() < deadline_ms:
            await forwarder.clock.sleep(POLL_INTERVAL_MS)
        await callers_site.close_all(forwarder.clock, deadline_ms)
        log.info("stopped", counters=forwarder.counters.snapshot())

    reactor.addSystemEventTrigger("before", "shutdown", deferred_function(stop))
    log.info("started", zone=zone, port=port)
    reactor.run()
