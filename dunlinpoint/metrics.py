"""Counters: sent to statsd and kept in the process for its status page.

Each refusal and each retry is counted under its reason, as
``<role>.refused.<reason>`` or ``<role>.retried.<reason>``. The local copy lets
tests and ``dunlinctl`` read them without a statsd server.
"""

import collections

import attrs
import statsd


@attrs.define
class Counters:
    """statsd counters with a local tally by name."""

    client: statsd.StatsClient
    by_name: collections.Counter = attrs.field(factory=collections.Counter)

    @classmethod
    def from_config(cls, address, prefix):
        """Counters sent to *address* (``"host:port"``) under *prefix*."""
        host, _, port = address.rpartition(":")
        return cls(client=statsd.StatsClient(host or "127.0.0.1", int(port), prefix))

    def incr(self, name, count=1):
        """Add *count* to counter *name*."""
        self.by_name[name] += count
        self.client.incr(name, count)

    def refused(self, reason):
        """Count one refusal for *reason*."""
        self.incr(f"refused.{reason}")

    def retried(self, reason):
        """Count one retry for *reason*."""
        self.incr(f"retried.{reason}")

    def snapshot(self):
        """The local tally as a plain ``dict`` of name to count."""
        return dict(self.by_name)
