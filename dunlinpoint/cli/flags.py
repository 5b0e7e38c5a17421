"""Flags with a corresponding environment variable, shared by the roles."""

from typing import Annotated

import cappa

from dunlinpoint import metrics
from dunlinpoint.cli import checks


def flag(env, help, default=None):
    """A long flag whose default is the environment variable *env*, then *default*."""
    if default is None:
        return cappa.Arg(long=True, default=cappa.Env(env), help=help)
    return cappa.Arg(long=True, default=cappa.Env(env, default=str(default)), help=help)


# Settings used by several roles.
Zone = Annotated[str, flag("DUNLIN_ZONE", "availability zone")]
Metrics = Annotated[str, flag("DUNLIN_METRICS", "host:port of metrics", "")]
Statsd = Annotated[str, flag("DUNLIN_STATSD", "statsd host:port", "127.0.0.1:8125")]
Host = Annotated[str, flag("DUNLIN_HOST", "address to listen on", "127.0.0.1")]
Controls = Annotated[str, flag("DUNLIN_CONTROLS", "control host:port list")]
Seeds = Annotated[str, flag("DUNLIN_SEEDS", "controls' host:port list")]
InnerPorts = Annotated[str, flag("DUNLIN_INNER_PORTS", "internal protocol's ports")]
HeartbeatMs = Annotated[str, flag("DUNLIN_BEAT_MS", "heartbeat interval, ms", "1200")]
Ip = Annotated[str, flag("DUNLIN_IP", "this machine's address")]


def counters(reactor, address, statsd="", prefix=""):
    """``metrics.Counters`` served on *address* and sent to *statsd*, if given.

    Both are ``"host:port"`` or empty. An invalid *address* raises
    ``checks.SettingError``.
    """
    counted = metrics.Counters.from_config(statsd, prefix)
    if statsd:
        counted.start_flushing(reactor)
    if address:
        metrics.listen(reactor, counted, checks.address(address, "metrics"))
    return counted
