"""The thrift handler of the ``Control`` service, and its background loops.

- ``heartbeat`` renews an endpoint's lease and returns the document in force
  here if the endpoint's version is older.
- ``view`` returns this instance's live members and its document.
- ``heard`` returns what this instance itself has received of endpoints.
- ``apply`` validates an operator's document and runs one agreement round.
- ``evacuate`` begins or ends the evacuation of a zone.
- ``prepare``, ``accept``, ``learn`` are the acceptor's side of agreement.

Every ``discovery.ANNOUNCE_MS`` the instance announces itself to the others,
requests their view and learns any newer document: a control that was partitioned,
or restarted after missing many changes, catches up without waiting for the next
change. One of the voters then checks whether the set of voters should change.
"""

from __future__ import annotations

import attrs
from twisted.internet import defer, task
from zope.interface import implementer

from dunlinpoint import clock, logs, metrics
from dunlinpoint.config import document as config
from dunlinpoint.control import acceptor as acceptors
from dunlinpoint.control import (
    agreement,
    discovery,
    evacuation_orders,
    followers,
    heard,
    membership,
    suspension,
    voter_changes,
    voters,
    zones,
)
from dunlinpoint.suspects import registry
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Control, ttypes

log = logs.logger("control")

PEER_TIMEOUT_MS = 800
EXPIRE_INTERVAL_MS = 250
NO_QUORUM_RETRY_MS = 1000
NO_FOLLOWER = ""


@attrs.define
class Settings:
    """Settings of a control instance.

    *seeds* are the (host, port) of the instances that found the deployment, *data*
    the folder of the durable state (``None``: memory only). With *bootstrap*, an
    empty folder means a first start. *zones* are the names of the deployment's zones
    (empty: those of known members and controls).
    """

    control_id: str
    zone: str
    host: str
    port: int
    data: str | None
    seeds: list
    lease_ms: int = membership.LEASE_MS
    bootstrap: bool = False
    zones: frozenset = frozenset()

    @property
    def founders(self):
        """The voters of a new deployment's first round."""
        return [voters.founder(host, port) for host, port in sorted(self.seeds)]

    @property
    def own_founder(self):
        """The founder with this instance's address, or ``None``."""
        if (self.host, self.port) not in self.seeds:
            return None
        return voters.founder(self.host, self.port)


@attrs.define
class State:
    """A control instance: its acceptor, peers, members and counters.

    ``waiting_polls`` holds a Deferred for each long poll that waits for a change.
    """

    settings: Settings
    clock: clock.Clock
    counters: metrics.Counters
    peers: agreement.Peers
    controls: discovery.Controls
    links: rpc.Links
    membership: membership.Membership
    orders: evacuation_orders.Orders
    waiting_polls: list = attrs.field(factory=list)
    followers: followers.Followers = attrs.field(factory=followers.Followers)
    peer_revision_by_address: dict = attrs.field(factory=dict)
    suspects: registry.Registry = attrs.field(factory=registry.Registry)

    @classmethod
    def from_config(cls, settings, reactor, counters):
        """A control instance, with its acceptor loaded from the data folder."""
        local = acceptors.Acceptor.from_config(
            settings.data,
            settings.own_founder,
            settings.founders,
            settings.bootstrap,
        )
        ms_clock = clock.Clock(reactor)
        own = voters.Voter(local.node_id, settings.host, settings.port, settings.zone)
        known = discovery.Controls(own, list(settings.seeds), ms_clock.now())
        links = rpc.Links(reactor, Control.Client, PEER_TIMEOUT_MS)

        def known_addresses():
            return known.addresses(local.committed.voters, ms_clock.now())

        peers = agreement.Peers(local, links.to, known_addresses)
        state = cls(
            settings,
            ms_clock,
            counters,
            peers,
            known,
            links,
            membership.Membership(lease_ms=settings.lease_ms),
            evacuation_orders.Orders(
                ms_clock,
                counters,
                peers,
                known,
                zones.Zones(settings.zones, ms_clock.now(), {settings.zone}),
                suspension.SuspensionDetector(ms_clock.now()),
            ),
        )
        local.on_commit.append(state.answer_polls)
        return state

    def answer_polls(self):
        """Answer all long polls that wait for a change."""
        waiters, self.waiting_polls = self.waiting_polls, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def renew(self, heartbeat):
        """Process one heartbeat of an endpoint or another control."""
        self.counters.incr("heartbeats")
        now = self.clock.now()
        self.orders.zones.record([heartbeat.zone])
        if heartbeat.kind == discovery.KIND:
            self.controls.record(heartbeat, now)
        arrived_ms = self.orders.suspensions.earliest_arrival_ms(now)
        if self.membership.renew(heartbeat, now, arrived_ms):
            log.info(
                "member",
                endpoint_id=heartbeat.endpoint_id,
                kind=heartbeat.kind,
                zone=heartbeat.zone,
                draining=bool(heartbeat.draining),
                sequence=heartbeat.sequence,
                incarnation=heartbeat.incarnation,
            )
            self.answer_polls()

    def leave(self, endpoint_id, incarnation=None):
        """Record that an endpoint, or its *incarnation* if given, has left."""
        now, wall_ms = self.clock.now(), clock.unix_ms()
        arrived_ms = self.orders.suspensions.earliest_arrival_ms(now)
        if self.membership.leave(endpoint_id, now, incarnation, wall_ms, arrived_ms):
            log.info("left", endpoint_id=endpoint_id, incarnation=incarnation)
            self.answer_polls()

    def end_wait(self, waiter):
        """Answer a long poll whose ``wait_ms`` has passed."""
        if waiter in self.waiting_polls:
            self.waiting_polls.remove(waiter)
            waiter.callback(None)

    def make_view(
        self,
        revision,
        number,
        bodies,
        zone="",
        follower="",
        reports_known=None,
        changes_only=False,
        version=None,
        demand=None,
    ):
        """This instance's ``View`` for a follower at *revision* and round *number*.

        It contains the crash reports after *reports_known* unless that is ``None``,
        and with *changes_only* only the members that changed since *revision*. A
        newer document has its text only with *bodies*, and if the follower does not
        have that of the same *version*. *demand* is that of an entry.
        """
        now = self.clock.now()
        position = self.followers.position_of(zone, follower, now)
        demand_share = None
        if follower and demand is not None:
            self.followers.demand_by_entry[zone, follower] = demand
            demand_share = self.followers.demand_share(zone, follower)
        local = self.peers.local
        unchanged = revision == self.membership.revision
        changes = None
        if changes_only and not unchanged:
            changes = self.membership.changes_since(revision, now)
        if changes is not None:
            members = changes.members
        else:
            members = [] if unchanged else self.membership.members(now)
        document = None
        if local.committed.round > number:
            document = local.committed.to_message(
                bodies and local.committed.version != version
            )
        reports = reports_revision = None
        if reports_known is not None:
            reports = self.suspects.reports(reports_known, now)
            reports_revision = self.suspects.revision
        return ttypes.View(
            reports=reports,
            reports_revision=reports_revision,
            members=members,
            partial=changes is not None,
            dropped=None if changes is None else changes.dropped,
            document=document,
            zone=self.settings.zone,
            control_id=self.settings.control_id,
            revision=self.membership.revision,
            unchanged=unchanged,
            settled=local.settled and local.is_voter,
            lease_ms=self.membership.lease_ms,
            node_id=local.node_id,
            place=position.zone_index,
            places=position.zone_entries,
            entry=position.entry_index,
            entries=position.entry_count,
            demand_share=demand_share,
        )

    def known_controls(self):
        """This and the other control instances, as ``Voter`` messages."""
        known = [a.voter for a in self.controls.recent(self.clock.now())]
        return [v.to_message() for v in [self.controls.own, *known]]


@implementer(Control.Iface)
@attrs.define
class Handler:
    """Thrift methods of the ``Control`` service."""

    state: State

    def heartbeat(self, heartbeat):
        state = self.state
        state.renew(heartbeat)
        # The document is included only if the endpoint's version is older: in
        # every reply it took 852 bytes instead of 12 with the default document,
        # and it grows with every workspace.
        committed = state.peers.local.committed
        if heartbeat.kind == discovery.KIND:
            return ttypes.HeartbeatReply(state.membership.lease_ms)
        document = None
        if heartbeat.config_version < committed.version:
            document = committed.to_message()
        controls = state.known_controls()
        if heartbeat.controls_known == discovery.checksum(
            (v.host, v.port) for v in controls
        ):
            controls = None
        return ttypes.HeartbeatReply(state.membership.lease_ms, document, controls)

    @defer.inlineCallbacks
    def view(
        self,
        zone,
        revision,
        number,
        wait_ms,
        bodies,
        follower="",
        reports_known=None,
        changes_only=False,
        version=None,
        demand=None,
    ):
        state = self.state
        query = (
            revision,
            number,
            bodies,
            zone,
            follower,
            reports_known,
            changes_only,
            version,
            demand,
        )
        reply = state.make_view(*query)
        has_changes = not reply.unchanged or reply.document is not None or reply.reports
        if wait_ms and not has_changes:
            waiter = defer.Deferred()
            state.waiting_polls.append(waiter)
            timer = state.clock.call_later(wait_ms, state.end_wait, waiter)
            yield waiter
            if timer.active():
                timer.cancel()
            reply = state.make_view(*query)
        return reply

    def heard(self, endpoint_ids):
        state = self.state
        return heard.reports(state.membership.by_id, endpoint_ids, state.clock.now())

    def report(self, reports):
        state = self.state
        now = state.clock.now()
        new_reports = [
            report for report in reports if state.suspects.apply_report(report, now)
        ]
        state.counters.incr("crash_reports", len(new_reports))
        if new_reports:
            state.answer_polls()

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

    @defer.inlineCallbacks
    def evacuate(self, zone, active):
        outcome = yield self.state.orders.carry_out(zone, bool(active))
        if not outcome.accepted and outcome.reason != evacuation_orders.UNKNOWN_ZONE:
            raise ttypes.Refused(outcome.reason, NO_QUORUM_RETRY_MS)
        return ttypes.ApplyResult(outcome.accepted, outcome.version, outcome.reason)

    def prepare(self, number, ballot, node_id):
        return self.state.peers.local.prepare(number, ballot, node_id)

    def accept(self, number, ballot, document, node_id):
        return self.state.peers.local.accept(number, ballot, document, node_id)

    def learn(self, document, ballot):
        self.state.peers.local.learn(document, ballot)

    def inspect(self, known_round, node_id):
        return self.state.peers.local.inspect(known_round, node_id)


@defer.inlineCallbacks
def catch_up(state):
    """Learn any newer decision of other controls."""
    local = state.peers.local
    settings = state.settings
    yield agreement.check_founding(state.peers, settings.own_founder, settings.founders)
    if local.accepted is not None:
        # Its proposer may have failed between accept and learn; this instance
        # cannot confirm its document until the round is completed.
        yield agreement.read(state.peers)
    revisions = state.peer_revision_by_address
    addresses = state.peers.known_addresses()
    calls = [
        state.links.to(*address).call(
            "view",
            settings.zone,
            revisions.get(address, 0),
            local.committed.round,
            0,
            True,
            NO_FOLLOWER,
            None,
            False,
            None,
            None,
        )
        for address in addresses
    ]
    results = yield defer.DeferredList(calls, consumeErrors=True)
    for address, (ok, reply) in zip(addresses, results, strict=True):
        if ok:
            merge_view(state, address, reply)
        elif not reply.check(errors.WireError):
            log.error("catch_up_failed", error=str(reply.value))


def merge_view(state, address, reply):
    """Process *reply*, the ``View`` of the control at *address*."""
    state.peer_revision_by_address[address] = reply.revision
    state.controls.record_listed(reply.members, state.clock.now())
    state.orders.zones.record([reply.zone, *(m.zone for m in reply.members)])
    if reply.document is None:
        return
    local = state.peers.local
    if local.commit(local.read_message(reply.document)):
        state.counters.incr("caught_up")


@defer.inlineCallbacks
def announce(state):
    """Send a heartbeat to every known control and register itself as a member."""
    controls = state.controls
    if state.peers.local.unfounded:
        # This instance may be about to become the founder at this address.
        # Announced before that, it was taken for that founder's replacement and
        # made a voter under an id that it gave up a moment later; then one more
        # failure stopped all changes.
        return
    controls.own = attrs.evolve(controls.own, node_id=state.peers.local.node_id)
    controls.own_joined_round = state.peers.local.joined_round
    heartbeat = controls.to_heartbeat(state.peers.local.committed)
    state.membership.renew(heartbeat, state.clock.now())
    calls = [
        state.links.to(*address).call("heartbeat", heartbeat)
        for address in state.peers.known_addresses()
    ]
    results = yield defer.DeferredList(calls, consumeErrors=True)
    for ok, failure in results:
        if not ok and not failure.check(errors.WireError):
            log.error("announce_failed", error=str(failure.value))


def expire(state):
    """Drop members whose lease expired."""
    expired = state.membership.expire(state.clock.now())
    for endpoint_id in expired:
        log.info("lease_ended", endpoint_id=endpoint_id)
    if expired:
        state.answer_polls()


def tick(state):
    """Record that the event loop runs."""
    state.orders.suspensions.tick(state.clock.now())


def run_every(reactor, interval_ms, func, *args):
    """Run *func* every *interval_ms* until the reactor stops.

    Failures are logged and do not end the loop. A plain ``LoopingCall`` stops at the
    first failure: after one write to a full disk the instance would never catch up
    again.
    """

    def failed(failure):
        log.error("loop_failed", loop=func.__name__, error=failure.getTraceback())

    def run():
        return defer.maybeDeferred(func, *args).addErrback(failed)

    loop = task.LoopingCall(run)
    loop.clock = reactor
    loop.start(clock.seconds(interval_ms), now=True)
    return loop


def start_loops(reactor, state):
    """Start the background loops of a control instance."""
    run_every(reactor, discovery.ANNOUNCE_MS, announce, state)
    run_every(reactor, discovery.ANNOUNCE_MS, catch_up, state)
    run_every(reactor, discovery.ANNOUNCE_MS, voter_changes.mend, state)
    run_every(reactor, EXPIRE_INTERVAL_MS, expire, state)
    run_every(reactor, suspension.TICK_MS, tick, state)


def run(reactor, settings, counters):
    """Start a control instance; returns its ``State``."""
    state = State.from_config(settings, reactor, counters)
    rpc.serve(reactor, Control.Processor(Handler(state)), settings.port, settings.host)
    start_loops(reactor, state)
    reactor.addSystemEventTrigger(
        "before", "shutdown", voter_changes.leave, state, announce
    )
    local = state.peers.local
    log.info(
        "started",
        control_id=settings.control_id,
        node_id=local.node_id,
        round=local.committed.round,
        version=local.committed.version,
    )
    return state
