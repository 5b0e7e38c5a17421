"""The daemon's roles as the platform starts them, with the platform's settings.

Settings are environment variables that ``deploy/system.toml`` fills in; each is
also a flag, validated like the daemon's own. Only the module of the role in use
is imported. With the modules of all roles a restart took 1.1 s of a core and
65 MB before any code of the role ran, and callers of a zone whose entries had
been killed waited for it; with one role's modules it takes 0.8 s and 50 MB.
"""

from dataclasses import dataclass
from typing import Annotated

import cappa

from dunlinpoint.cli import checks, flags


@cappa.command(name="entry", invoke="dunlinpoint.platform.entry.run")
@dataclass
class PlatformEntry:
    """An entry on the platform: forwards callers' HTTP to servers."""

    zone: flags.Zone
    listen: Annotated[str, flags.flag("DUNLIN_LISTEN", "host:port for callers")]
    ready: Annotated[str, flags.flag("DUNLIN_READY", "host:port of readiness checks")]
    seeds: flags.Seeds
    inner_ports: flags.InnerPorts
    revoke_ms: Annotated[str, flags.flag("DUNLIN_REVOKE_MS", "key revocation, ms", "0")]
    grace_s: Annotated[str, flags.flag("DUNLIN_GRACE_S", "SIGTERM to SIGKILL, s", "8")]
    cold_overage: Annotated[
        str, flags.flag("DUNLIN_COLD_OVERAGE", "burst factor of a cold rate, or 1", "")
    ]
    cold_tolerance: Annotated[
        str, flags.flag("DUNLIN_COLD_TOLERANCE", "requests above a cold rate, or 0", "")
    ]
    zones: Annotated[str, flags.flag("DUNLIN_ZONES", "zones, a JSON object", "")]
    retry_ratio: Annotated[
        str, flags.flag("DUNLIN_RETRY_RATIO", "retries a request, or 0.2", "")
    ]
    retry_window_s: Annotated[
        str, flags.flag("DUNLIN_RETRY_WINDOW_S", "window of the ratio, s, or 10", "")
    ]
    retry_slack: Annotated[
        str, flags.flag("DUNLIN_RETRY_SLACK", "retries above it in a window", "")
    ]
    memory_mb: Annotated[
        str, flags.flag("DUNLIN_MEMORY_MB", "memory in MB; empty: no bound", "")
    ]
    metrics: flags.Metrics


@cappa.command(name="control", invoke="dunlinpoint.platform.control.run")
@dataclass
class PlatformControl:
    """A control instance on the platform, with its admin calls."""

    zone: flags.Zone
    ip: flags.Ip
    listen: Annotated[str, flags.flag("DUNLIN_LISTEN", "host:port for admin calls")]
    seeds: flags.Seeds
    inner_ports: flags.InnerPorts
    data: Annotated[str, flags.flag("DUNLIN_DATA", "data folder")]
    beat_ms: flags.HeartbeatMs
    bootstrap: Annotated[str, flags.flag("DUNLIN_BOOTSTRAP", "first start", "false")]
    zones: Annotated[str, flags.flag("DUNLIN_ZONES", "zones, a JSON object", "")]
    metrics: flags.Metrics


@cappa.command(name="agent", invoke="dunlinpoint.platform.agent.run")
@dataclass
class PlatformAgent:
    """The agent beside one rank's model server on the platform."""

    zone: flags.Zone
    ip: flags.Ip
    app: Annotated[str, flags.flag("DUNLIN_APP", "host:port of the model server")]
    service: Annotated[str, flags.flag("DUNLIN_SERVICE", "the rank's service")]
    seeds: flags.Seeds
    inner_ports: flags.InnerPorts
    beat_ms: flags.HeartbeatMs
    metrics: flags.Metrics


@cappa.command(name="dunlinpoint.platform")
@dataclass
class Platform:
    """dunlinpoint on the users' platform: run one process."""

    role: cappa.Subcommands[PlatformEntry | PlatformControl | PlatformAgent]


def main(argv=None):
    """Run one role; exit code 2 on a bad setting."""
    checks.invoke(Platform, argv, "dunlinpoint.platform")
