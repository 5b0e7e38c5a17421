"""Flags with an environment variable behind each, the same for every role."""

from typing import Annotated

import cappa

from dunlinpoint import metrics
from dunlinpoint.cli import checks


def flag(env, help, default=None):
    """A long flag with environment variable *env* behind it."""
    if default is None:
        return cappa.Arg(long=True, default=cappa.Env(env), help=help)
    return cappa.Arg(long=True, default=cappa.Env(env, default=str(default)), help=help)


# Settings that several roles have.
Zone = Annotated[str, flag("DUNLIN_ZONE", "availability zone")]
Metrics = Annotated[str, flag("DUNLIN_METRICS", "host:port of metrics", "")]
Statsd = Annotated[str, flag("DUNLIN_STATSD", "statsd host:port", "127.0.0.1:8125")]
Host = Annotated[str, flag("DUNLIN_HOST", "address to listen on", "127.0.0.1")]
Controls = Annotated[str, flag("DUNLIN_CONTROLS", "control host:port list")]
Seeds = Annotated[str, flag("DUNLIN_SEEDS", "controls' host:port list")]
InnerPorts = Annotated[str, flag("DUNLIN_INNER_PORTS", "ports among ourselves")]
BeatMs = Annotated[str, flag("DUNLIN_BEAT_MS", "heartbeat, ms", "1200")]
Ip = Annotated[str, flag("DUNLIN_IP", "this machine's address")]


def counters(reactor, address, statsd="", prefix=""):
    """Counters served on *address* and sent to *statsd*, where these are given."""
    counted = metrics.Counters.from_config(statsd, prefix)
    if statsd:
        counted.follow(reactor)
    if address:
        metrics.listen(reactor, counted, checks.address(address, "metrics"))
    return counted
