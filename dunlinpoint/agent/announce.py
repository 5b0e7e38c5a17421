"""Heartbeats of an endpoint's agent to control.

Heartbeats go to one control at a time, and to the next one after a failure.
One is enough, since entries poll every control. A reply lists the current
controls if the sender's list is outdated, so an agent keeps working after all
controls of its start settings have been replaced.
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
    """Sends heartbeats to one of the known controls.

    ``seeds`` and ``known_controls`` are lists of ``(host, port)``: from the settings
    and from control's replies. ``index`` is the position of the control in use.
    """

    links: rpc.Links
    seeds: list
    known_controls: list
    counters: metrics.Counters
    index: int = 0

    @classmethod
    def from_config(cls, reactor, controls, counters):
        """An announcer with the seed addresses *controls* (``[(host, port)]``)."""
        links = rpc.Links(reactor, Control.Client, TIMEOUT_MS)
        return cls(links, list(controls), [], counters)

    @defer.inlineCallbacks
    def send_heartbeat(self, message):
        """Send the ``Heartbeat`` *message*; its reply, or ``None`` after a failure.

        Sets ``controls_known`` of *message*. After a failure the next call uses the
        next control.
        """
        addresses = self.known_controls + [
            a for a in self.seeds if a not in self.known_controls
        ]
        host, port = addresses[self.index % len(addresses)]
        message.controls_known = discovery.checksum(self.known_controls)
        try:
            reply = yield self.links.to(host, port).call("heartbeat", message)
        except (errors.WireError, ttypes.Refused) as exc:
            self.counters.retried("heartbeat_failed")
            log.warning("control_lost", control=f"{host}:{port}", error=str(exc))
            self.index += 1
            return None
        if reply.controls is not None:
            self.known_controls = sorted((v.host, v.port) for v in reply.controls)
            if (host, port) in self.known_controls:
                self.index = self.known_controls.index((host, port))
        return reply
