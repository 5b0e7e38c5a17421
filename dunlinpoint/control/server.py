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


@attrs.define
class State:
    """A control instance: its acceptor, peers, members and counters."""

    settings: Settings
    clock: clock.Clock
    counters: metrics.Counters
    peers: agreement.Peers
    membership: membership.Membership

    @classmethod
    def from_config(cls, settings, reactor, counters):
        """A control instance, with its acceptor loaded from the data folder."""
        acceptor = agreement.Acceptor.from_config(settings.data)
        links = [
            rpc.Link(reactor, host, port, Control.Client, PEER_TIMEOUT_MS)
            for host, port in settings.peers
        ]
        return cls(
            settings,
            clock.Clock(reactor),
            counters,
            agreement.Peers(acceptor, settings.index, links),
            membership.Membership(lease_ms=settings.lease_ms),
        )

    @property
    def document(self):
        return agreement.message(self.peers.local.committed)


@implementer(Control.Iface)
@attrs.define
class Handler:
    """Thrift methods of the ``Control`` service."""

    state: State

    def heartbeat(self, beat):
        state = self.state
        now = state.clock.now()
        if state.membership.renew(beat, now):
            log.info("joined", endpoint_id=beat.endpoint_id, zone=beat.zone)
        state.counters.incr("heartbeats")
        # The whole document rides along only when the endpoint's version is
        # older: sending it on every heartbeat cost 852 reply bytes instead of
        # 43 with the default document, and grows with every workspace.
        document = state.document
        if beat.config_version >= document.version:
            document = None
        return ttypes.HeartbeatReply(state.membership.lease_ms, document)

    def view(self, zone):
        state = self.state
        members = state.membership.members(state.clock.now())
        return ttypes.View(members, state.document, state.settings.control_id)

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

    def learn(self, document):
        self.state.peers.local.learn(document)


@defer.inlineCallbacks
def catch_up(state):
    """Learn any newer document a peer has."""
    calls = [link.call("view", state.settings.zone) for link in state.peers.links]
    results = yield defer.DeferredList(calls, consumeErrors=True)
    for ok, shown in results:
        if ok:
            if state.peers.local.learn(shown.document):
                state.counters.incr("caught_up")
        elif not shown.check(errors.WireError):
            log.error("catch_up_failed", error=str(shown.value))


def expire(state):
    """Drop members whose lease ran out."""
    for endpoint_id in state.membership.expire(state.clock.now()):
        log.info("left", endpoint_id=endpoint_id)


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
    every(reactor, CATCH_UP_MS, catch_up, state)
    every(reactor, EXPIRE_MS, expire, state)
    log.info(
        "started",
        control_id=settings.control_id,
        version=state.peers.local.committed["version"],
    )
    return state
