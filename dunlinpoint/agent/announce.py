"""How an endpoint's agent makes itself known to control.

One control at a time is told, the next one after a failure: entries follow
every control, so one that hears is enough.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import metrics
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Control, ttypes

TIMEOUT_MS = 1000


@attrs.define
class Announcer:
    """Links to the controls, and which of them is told."""

    links: list
    counters: metrics.Counters
    index: int = 0

    @classmethod
    def from_config(cls, reactor, controls, counters):
        """An announcer to the controls at *controls* (``[(host, port)]``)."""
        links = [
            rpc.Link(reactor, host, port, Control.Client, TIMEOUT_MS)
            for host, port in controls
        ]
        return cls(links, counters)

    @defer.inlineCallbacks
    def tell(self, beat):
        """Send one ``Heartbeat``; its reply, or ``None`` after a failure."""
        link = self.links[self.index % len(self.links)]
        try:
            reply = yield link.call("heartbeat", beat)
        except (errors.WireError, ttypes.Refused):
            self.counters.retried("heartbeat_failed")
            self.index += 1
            return None
        return reply
