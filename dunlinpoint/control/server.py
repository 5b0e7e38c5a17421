"""The thrift handler of the ``Control`` service, and its background loops.

- ``heartbeat`` renews an endpoint's lease and answers with the document in
  force here when the endpoint's version is older.
- ``view`` lists this instance's live members and its document.
- ``apply`` validates an operator's document and runs one agreement round.
- ``prepare``, ``accept``, ``learn`` are the acceptor's side of agreement.

Every ``CATCH_UP_MS`` the instance asks its peers for their view and learns
any newer document: a control that was cut off, or restarted after many
changes passed it by, catches up without waiting for the next change.
"""

from __future__ import annotations

import attrs
from twisted.internet import defer, task
from zope.interface import implementer

from dunlinpoint import clock, logs, metrics
from dunlinpoint.config import document as config
from dunlinpoint.control import agreement, membership
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Control, ttypes

log = logs.logger("control")

PEER_TIMEOUT_MS = 800
CATCH_UP_MS = 500
EXPIRE_MS = 250
NO_QUORUM_RETRY_MS = 1000


@attrs.define
class Settings:
    """One control instance's settings."""

    control_id: str
    zone: str
    host: str
    port: int
    data: str | None
    peers: list
    index: int = 0
    lease_ms: int = membership.LEASE_MS
    bootstrap: bool = False


@attrs.define
class State:
    """A control instance: its acceptor, peers, members and counters."""

    settings: Settings
    clock: clock.Clock
    counters: metrics.Counters
    peers: agreement.Peers
    membership: membership.Membership
    waiting: list = attrs.field(factory=list)
    peer_revision_by_address: dict = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, settings, reactor, counters):
        """A control instance, with its acceptor loaded from the data folder."""
        acceptor = agreement.Acceptor.from_config(settings.data, settings.bootstrap)
        links = [
            rpc.Link(reactor, host, port, Control.Client, PEER_TIMEOUT_MS)
            for host, port in settings.peers
        ]
        state = cls(
            settings,
            clock.Clock(reactor),
            counters,
            agreement.Peers(acceptor, settings.index, links),
            membership.Membership(lease_ms=settings.lease_ms),
        )
        acceptor.on_learn.append(state.changed)
        return state

    @property
    def document(self):
        return agreement.message(self.peers.local.committed)

    def changed(self):
        """Answer every follower that waits for a change."""
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            if not waiter.called:
                waiter.callback(None)

    def renew(self, beat):
        """Take in one heartbeat from an endpoint."""
        self.counters.incr("heartbeats")
        if self.membership.renew(beat, self.clock.now()):
            log.info(
                "member",
                endpoint_id=beat.endpoint_id,
                zone=beat.zone,
                draining=bool(beat.draining),
            )
            self.changed()

    def leave(self, endpoint_id):
        """An endpoint says it has left for good."""
        if self.membership.leave(endpoint_id, self.clock.now()):
            log.info("left", endpoint_id=endpoint_id)
            self.changed()

    def wake(self, waiter):
        """Answer one follower whose wait ran out."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
            waiter.callback(None)

    def show(self, revision, config_version, bodies):
        """This instance's ``View`` for a follower that holds these."""
        now = self.clock.now()
        unchanged = revision == self.membership.revision
        document = self.document
        if not bodies:
            document.body = None
        return ttypes.View(
            members=[] if unchanged else self.membership.members(now),
            document=document if document.version > config_version else None,
            zone=self.settings.zone,
            control_id=self.settings.control_id,
            revision=self.membership.revision,
            unchanged=unchanged,
            settled=self.peers.local.settled,
            lease_ms=self.membership.lease_ms,
        )


@implementer(Control.Iface)
@attrs.define
class Handler:
    """Thrift methods of the ``Control`` service."""

    state: State

    def heartbeat(self, beat):
        state = self.state
        state.renew(beat)
        # The whole document rides along only when the endpoint's version is
        # older: sending it on every heartbeat cost 852 reply bytes instead of
        # 12 with the default document, and grows with every workspace.
        document = state.document
        if beat.config_version >= document.version:
            document = None
        return ttypes.HeartbeatReply(state.membership.lease_ms, document)

    @defer.inlineCallbacks
    def view(self, zone, revision, config_version, wait_ms, bodies):
        state = self.state
        shown = state.show(revision, config_version, bodies)
        if wait_ms and shown.unchanged and shown.document is None:
            changed = defer.Deferred()
            state.waiting.append(changed)
            timer = state.clock.later(wait_ms, state.wake, changed)
            yield changed
            if timer.active():
                timer.cancel()
            shown = state.show(revision, config_version, bodies)
        return shown

    @defer.inlineCallbacks
    def apply(self, expected_version, change_id, body_json):
        state = self.state
        try:
            config.parse(body_json)
        except config.DocumentError as exc:
            state.counters.refused("invalid_document")
            return ttypes.ApplyResult(False, expected_version, f"invalid: {exc}")
        outcome = yield agreement.propose(
            state.peers, expected_version, change_id, body_json
        )
        if not outcome.accepted:
            state.counters.refused(outcome.reason)
            if outcome.reason == "no_quorum":
                raise ttypes.Refused("no_quorum", NO_QUORUM_RETRY_MS)
        else:
            state.counters.incr("applied")
        return ttypes.ApplyResult(outcome.accepted, outcome.version, outcome.reason)

    def prepare(self, version, ballot):
        return self.state.peers.local.prepare(version, ballot)

    def accept(self, version, ballot, document):
        return self.state.peers.local.accept(version, ballot, document)

    def learn(self, document, ballot):
        self.state.peers.local.learn(document, ballot)

    def inspect(self, known_version):
        return self.state.peers.local.inspect(known_version)


@defer.inlineCallbacks
def catch_up(state):
    """Learn any newer document a peer has; recover from a lost disk."""
    yield agreement.recover(state.peers)
    if state.peers.local.accepted is not None:
        # Its proposer may have died between accept and learn; followers get
        # no assurance from this instance until the round is finished.
        yield agreement.read(state.peers)
    version = state.document.version
    revisions = state.peer_revision_by_address
    zone = state.settings.zone
    calls = [
        link.call("view", zone, revisions.get(link.address, 0), version, 0, True)
        for link in state.peers.links
    ]
    results = yield defer.DeferredList(calls, consumeErrors=True)
    for link, (ok, shown) in zip(state.peers.links, results, strict=True):
        if ok:
            revisions[link.address] = shown.revision
            if shown.document and state.peers.local.take(shown.document):
                state.counters.incr("caught_up")
        elif not shown.check(errors.WireError):
            log.error("catch_up_failed", error=str(shown.value))


def expire(state):
    """Drop members whose lease ran out."""
    expired = state.membership.expire(state.clock.now())
    for endpoint_id in expired:
        log.info("lease_ended", endpoint_id=endpoint_id)
    if expired:
        state.changed()


def every(reactor, interval_ms, func, *args):
    """Run *func* every *interval_ms* until the reactor stops."""
    loop = task.LoopingCall(func, *args)
    loop.clock = reactor
    loop.start(clock.seconds(interval_ms), now=False)
    return loop


def run(reactor, settings, counters):
    """Start a control instance; returns its state."""
    state = State.from_config(settings, reactor, counters)
    rpc.serve(reactor, Control.Processor(Handler(state)), settings.port, settings.host)
    catch_up(state)
    every(reactor, CATCH_UP_MS, catch_up, state)
    every(reactor, EXPIRE_MS, expire, state)
    log.info(
        "started",
        control_id=settings.control_id,
        version=state.peers.local.committed["version"],
    )
    return state
