"""Counters: sent to statsd and kept in the process for its status page.

Each refusal and each retry is counted under its reason, as
``<role>.refused.<reason>`` or ``<role>.retried.<reason>``. The local copy lets
tests and ``dunlinctl`` read them without a statsd server.
"""

import collections

import attrs
import statsd
from twisted.internet import task

from dunlinpoint import clock

# How often the counts of the last second or so go out, in one datagram: one
# for each increment cost an entry more system calls than its requests did.
FLUSH_MS = 1000


@attrs.define
class Counters:
    """statsd counters with a local tally by name."""

    client: statsd.StatsClient | None
    by_name: collections.Counter = attrs.field(factory=collections.Counter)
    sent_by_name: collections.Counter = attrs.field(factory=collections.Counter)

    @classmethod
    def from_config(cls, address, prefix):
        """Counters sent to *address* (``"host:port"``, empty for none)."""
        if not address:
            return cls(client=None)
        host, _, port = address.rpartition(":")
        return cls(client=statsd.StatsClient(host or "127.0.0.1", int(port), prefix))

    def incr(self, name, count=1):
        """Add *count* to counter *name*."""
        self.by_name[name] += count

    def refused(self, reason):
        """Count one refusal for *reason*."""
        self.incr(f"refused.{reason}")

    def retried(self, reason):
        """Count one retry for *reason*."""
        self.incr(f"retried.{reason}")

    def snapshot(self):
        """The local tally as a plain ``dict`` of name to count."""
        return dict(self.by_name)

    def flush(self):
        """Send what was counted since the last flush."""
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for name, count in self.by_name.items():
                news = count - self.sent_by_name[name]
                if news:
                    pipeline.incr(name, news)
        self.sent_by_name.update(self.by_name - self.sent_by_name)

    def follow(self, reactor):
        """Flush every ``FLUSH_MS`` and once more at the reactor's stop."""
        loop = task.LoopingCall(self.flush)
        loop.clock = reactor
        loop.start(clock.seconds(FLUSH_MS), now=False)
        reactor.addSystemEventTrigger("after", "shutdown", self.flush)
