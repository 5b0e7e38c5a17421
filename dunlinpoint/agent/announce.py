"""How an endpoint's agent makes itself known to control.

One control at a time is told, the next one after a failure: entries follow
every control, so one that hears is enough. Each reply names the controls that
there are, where the sender did not know them, so an agent outlives the loss
of all those it was told at its start.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import logs, metrics
from dunlinpoint.control import discovery
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Control, ttypes

log = logs.logger("agent")

TIMEOUT_MS = 1000


@attrs.define
class Announcer:
    """The controls' addresses, and which of them is told."""

    links: rpc.Links
    seeds: list
    known: list
    counters: metrics.Counters
    index: int = 0

    @classmethod
    def from_config(cls, reactor, controls, counters):
        """An announcer to the controls that *controls* (``[(host, port)]``) know."""
        links = rpc.Links(reactor, Control.Client, TIMEOUT_MS)
        return cls(links, list(controls), [], counters)

    @defer.inlineCallbacks
    def send_heartbeat(self, beat):
        """Send one ``Heartbeat``; its reply, or ``None`` after a failure."""
        addresses = self.known + [a for a in self.seeds if a not in self.known]
        host, port = addresses[self.index % len(addresses)]
        beat.controls_known = discovery.checksum(self.known)
        try:
            reply = yield self.links.to(host, port).call("heartbeat", beat)
        except (errors.WireError, ttypes.Refused) as exc:
            self.counters.retried("heartbeat_failed")
            log.warning("control_lost", control=f"{host}:{port}", error=str(exc))
            self.index += 1
            return None
        if reply.controls is not None:
            self.known = sorted((v.host, v.port) for v in reply.controls)
            if (host, port) in self.known:
                self.index = self.known.index((host, port))
        return reply
