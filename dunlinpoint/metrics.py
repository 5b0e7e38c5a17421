"""Counters and latency histograms: sent to statsd, served on a metrics address.

Each refusal and each retry is counted under its reason, as
``<role>.refused.<reason>`` or ``<role>.retried.<reason>``. The counts are also
kept locally: tests and ``dunlinctl`` read them without a statsd server, and they
are served in the Prometheus text format if the settings give an address for it.
"""

import collections

import attrs
import prometheus_client
import statsd
from klein import Klein
from prometheus_client import core
from twisted.internet import task

from dunlinpoint import clock, http_site

# Counts are sent to statsd in one datagram per interval. One datagram per
# increment cost an entry more system calls than its requests did.
FLUSH_INTERVAL_MS = 1000
# Histogram bounds, from a round trip between zones to the longest time that callers
# wait, with finer steps around their latency targets.
BUCKETS_MS = (2, 5, 10, 20, 50, 80, 120, 200, 300, 400, 600, 1000, 2000, 4000, 8000)
# Help text of each histogram by name.
HISTOGRAM_HELP = {
    "first_event": "from a request's arrival to its stream's first event",
    "pause": "between two events of a stream",
    "answer": "from a request's arrival to the end of its final answer",
    "try": "one exchange with an endpoint",
    "agreement": "one change, from its arrival to its acknowledgement",
    "switch": "a change of map, from its first order to its last",
}


@attrs.define(eq=False)
class Counters:
    """Counters with local counts by name, sent to statsd, and histograms by name.

    ``level_by_name`` holds the current values of what rises and falls.
    """

    client: statsd.StatsClient | None
    by_name: collections.Counter = attrs.field(factory=collections.Counter)
    level_by_name: dict = attrs.field(factory=dict)
    sent_by_name: collections.Counter = attrs.field(factory=collections.Counter)
    registry: object = attrs.field(factory=prometheus_client.CollectorRegistry)
    histogram_by_name: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.registry.register(self)

    @classmethod
    def from_config(cls, address, prefix):
        """Counters sent to statsd at *address* (``"host:port"``, empty for none).

        *prefix* is put before each counter name in statsd.
        """
        if not address:
            return cls(client=None)
        host, _, port = address.rpartition(":")
        return cls(client=statsd.StatsClient(host or "127.0.0.1", int(port), prefix))

    def incr(self, name, count=1):
        """Add *count* to counter *name*."""
        self.by_name[name] += count

    def set_level(self, name, value):
        """Set the level *name* to *value*."""
        self.level_by_name[name] = value

    def refused(self, reason):
        """Count one refusal for *reason*."""
        self.incr(f"refused.{reason}")

    def retried(self, reason):
        """Count one retry for *reason*."""
        self.incr(f"retried.{reason}")

    def observe_ms(self, name, ms):
        """Add a duration of *ms* to histogram *name*, a key of ``HISTOGRAM_HELP``."""
        histogram = self.histogram_by_name.get(name)
        if histogram is None:
            histogram = self.histogram_by_name[name] = prometheus_client.Histogram(
                f"dunlinpoint_{name}_ms",
                HISTOGRAM_HELP[name],
                buckets=BUCKETS_MS,
                registry=self.registry,
            )
        histogram.observe(ms)

    def snapshot(self):
        """The local counts as a plain ``dict`` of name to count."""
        return dict(self.by_name)

    def collect(self):
        """Yield the counters and the levels as Prometheus metric families.

        Called by the registry (``prometheus_client`` collector protocol).
        """
        family = core.CounterMetricFamily(
            "dunlinpoint_events", "Refusals, retries and other events", labels=["name"]
        )
        for name, count in self.by_name.items():
            family.add_metric([name], count)
        yield family
        levels = core.GaugeMetricFamily(
            "dunlinpoint_level", "Values that rise and fall", labels=["name"]
        )
        for name, value in self.level_by_name.items():
            levels.add_metric([name], value)
        yield levels

    def render(self):
        """Counters and histograms in the Prometheus text format (``bytes``)."""
        return prometheus_client.generate_latest(self.registry)

    def flush(self):
        """Send the increments since the last flush to statsd."""
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for name, count in self.by_name.items():
                increment = count - self.sent_by_name[name]
                if increment:
                    pipeline.incr(name, increment)
        self.sent_by_name.update(self.by_name - self.sent_by_name)

    def start_flushing(self, reactor):
        """Flush every ``FLUSH_INTERVAL_MS`` and once more when the reactor stops."""
        loop = task.LoopingCall(self.flush)
        loop.clock = reactor
        loop.start(clock.seconds(FLUSH_INTERVAL_MS), now=False)
        reactor.addSystemEventTrigger("after", "shutdown", self.flush)


def listen(reactor, counters, address):
    """Serve *counters* at ``/metrics`` on *address* (``(host, port)``)."""
    web = Klein()

    @web.route("/metrics", methods=["GET"])
    def metrics(request):
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return counters.render()

    host, port = address
    return reactor.listenTCP(
        port, http_site.BoundedSite(web.resource()), interface=host
    )
