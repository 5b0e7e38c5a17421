"""What an entry knows of the deployment: members and the document in force.

Each control instance's view is kept with the time it arrived; a member is
live while the lease it had then has not run out here. The document is the
highest version any control has shown: an isolated control showing an older
one cannot make the entry go back.
"""

from __future__ import annotations

import attrs
from twisted.internet import defer, task

from dunlinpoint import clock, logs
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Control, ttypes

log = logs.logger("entry")

POLL_MS = 300
CONTROL_TIMEOUT_MS = 1000


@attrs.define
class Seen:
    """One member as last shown, with the local time its lease ends."""

    member: ttypes.Member
    expires_ms: int


@attrs.define
class View:
    """Members by endpoint id, and the document in force."""

    clock: clock.Clock
    zone: str
    links: list
    by_id: dict = attrs.field(factory=dict)
    document: ttypes.Document = attrs.field(
        factory=lambda: ttypes.Document(version=0, change_id="", body_json="{}")
    )
    changes: int = 0

    @classmethod
    def from_config(cls, reactor, zone, controls):
        """A view fed by the controls at *controls* (``[(host, port)]``)."""
        links = [
            rpc.Link(reactor, host, port, Control.Client, CONTROL_TIMEOUT_MS)
            for host, port in controls
        ]
        return cls(clock.Clock(reactor), zone, links)

    def merge(self, shown):
        """Take in one control's ``View`` message."""
        now = self.clock.now()
        for member in shown.members:
            expires = now + member.lease_left_ms
            seen = self.by_id.get(member.endpoint_id)
            if seen is None or expires >= seen.expires_ms:
                self.by_id[member.endpoint_id] = Seen(member, expires)
        document = shown.document
        if document is not None and document.version > self.document.version:
            self.document = document
            self.changes += 1
            log.info("document_in_force", version=document.version)

    def live(self, kind):
        """Members of *kind* whose lease runs and who are not draining."""
        now = self.clock.now()
        return [
            seen.member
            for seen in self.by_id.values()
            if seen.expires_ms > now
            and not seen.member.draining
            and seen.member.kind == kind
        ]

    @defer.inlineCallbacks
    def poll(self):
        """Ask every control for its view once."""
        calls = [link.call("view", self.zone) for link in self.links]
        results = yield defer.DeferredList(calls, consumeErrors=True)
        for ok, shown in results:
            if ok:
                self.merge(shown)
            elif not shown.check(errors.WireError):
                log.error("view_failed", error=str(shown.value))

    def follow(self, reactor):
        """Poll every ``POLL_MS`` until the reactor stops."""
        loop = task.LoopingCall(self.poll)
        loop.clock = reactor
        loop.start(clock.seconds(POLL_MS))
        return loop
