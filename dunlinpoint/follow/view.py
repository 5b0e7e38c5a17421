"""A follower's view of the deployment: members and the document in force.

It long-polls every control instance: each answers at once if it knows something
that the follower does not, and otherwise after ``wait_ms``.

- A member is live while some control lists it with a valid lease. If no control has
  answered for a whole lease, the follower itself is partitioned: it keeps the
  last known members, and requests to them show which ones can be reached.
- The document is that of the highest round received from any control, so an
  isolated control with an older one cannot revert it.
- Endpoints of evacuated zones get no requests. The evacuations are those of the highest
  round received, also before that round's document has been fetched.
- ``confirmed_ms`` is the last time at which a majority of the voters are known to
  have held no newer document. Every accepted document is held by a majority of
  them before it is acknowledged to its operator, so one of those polled would
  have returned it. Work that a newer document may have forbidden (a revoked key)
  is refused once that time is too long ago.
"""

from __future__ import annotations

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs
from dunlinpoint.config import packed
from dunlinpoint.control import discovery, evacuation, membership, voters
from dunlinpoint.experts import messages
from dunlinpoint.follow import controls
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("follow")

# The longest time a control holds a poll. It bounds the poll rate of an idle entry
# (traffic between zones) and the age of ``confirmed_ms`` while nothing changes.
WAIT_MS = 800
# The interval between polls of one control, so that frequent changes are received
# in batches.
POLL_INTERVAL_MS = 50
RETRY_MS = 300
# The revision of no list: a control polled with it returns all members.
NO_REVISION = 0
# The round of no decision: a control polled with it returns its own.
NO_ROUND = -1
# Kinds of members that get no callers' requests, so evacuations do not concern them.
# Ranks of an evacuated zone continue to compute for their group.
SYSTEM_KINDS = frozenset((discovery.KIND, messages.KIND))
# The interval between checks for expired leases.
EXPIRE_INTERVAL_MS = 50
# The interval between updates of the set of polled controls.
CONTROLS_UPDATE_MS = 250
# The poll interval of a follower that was notified of a newer document but delays
# fetching it: the next poll would be answered at once with the same notification.
DELAYED_BODY_POLL_MS = 300
# How long an entry waits for a new document from its own zone's control before it
# requests it from another zone's.
OTHER_ZONE_POLL_MS = 120
# The number of entries is reduced only after no control has reported as many for
# this time: controls drop an entry 4 s after its last poll.
ENTRY_COUNT_HOLD_MS = 5000
# Several polls: how long the part of the demand holds that a control has told.
MAX_DEMAND_AGE_MS = 3000


@attrs.define
class KnownMember:
    """A member as last received, and the end of its longest lease at any control."""

    member: ttypes.Member
    expires_ms: int


def selection_fields(member):
    """The fields of a member that the choice among members depends on."""
    engine = member.group, member.engine, member.pace
    return *membership.routing_fields(member), member.load, *engine


@attrs.define
class View:
    """Members by endpoint id, and the document in force.

    The callables in ``on_document`` are called with each new document, those in
    ``on_reports`` with a list of crash reports, those in ``on_reports_lost`` without
    arguments when a control has lost its own, those in ``on_members`` with a list of
    ``Member`` messages and the time of their receipt, those in ``on_restored`` with a
    ``frozenset`` of the zones whose evacuation has ended, those in ``on_zone_entries``
    with the number of entries that a control counts in this zone and the time at which
    it was asked, those in ``on_change`` without arguments after each answer of a
    control. Times (``_ms``) are of this process's clock. ``read_demand()`` returns an
    entry's demand, for the controls.
    ``evacuations`` are the records of round ``evacuations_round``
    (``None``: of no round yet).
    """

    clock: clock.Clock
    zone: str
    controls: controls.Controls
    by_id: dict = attrs.field(factory=dict)
    document: ttypes.Document = attrs.field(
        factory=lambda: ttypes.Document(0, "", packed.EMPTY, 0, [])
    )
    voting: list = attrs.field(factory=list)
    on_document: list = attrs.field(factory=list)
    on_change: list = attrs.field(factory=list)
    on_reports: list = attrs.field(factory=list)
    on_reports_lost: list = attrs.field(factory=list)
    on_members: list = attrs.field(factory=list)
    on_restored: list = attrs.field(factory=list)
    on_zone_entries: list = attrs.field(factory=list)
    evacuations: tuple = ()
    evacuations_round: int | None = None
    evacuated_zones: frozenset = frozenset()
    wants_reports: bool = False
    wait_ms: int = WAIT_MS
    min_body_interval_ms: int = 0
    body_received_ms: int | None = None
    lease_ms: int = 0
    follower: str = ""
    zone_index: int = 0
    zone_entries: int = 1
    entry_index: int = 0
    entry_count: int = 1
    entry_count_ms: int = 0
    read_demand: object = None
    demand_share: float | None = None
    demand_share_ms: int = 0
    generation: int = 0
    last_expiry_ms: int = 0
    live_by_kind: dict = attrs.field(factory=dict)
    evacuated_by_kind: dict = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, reactor, zone, seeds):
        """A view of the deployment with the controls *seeds* (``[(host, port)]``)."""
        ms_clock = clock.Clock(reactor)
        return cls(
            ms_clock, zone, controls.Controls(reactor, list(seeds), ms_clock.now())
        )

    def merge(self, followed, reply, requested_ms):
        """Merge *reply*, a control's ``View`` that was requested at *requested_ms*."""
        self._merge(followed, reply, requested_ms)
        for callback in self.on_change:
            callback()

    def _merge(self, followed, reply, requested_ms):
        now = self.clock.now()
        self.lease_ms = reply.lease_ms
        followed.answered_ms = now
        followed.zone = reply.zone
        followed.node_id = reply.node_id
        if reply.places and (reply.zone == self.zone or self.zone_entries == 1):
            self.zone_index, self.zone_entries = reply.place, reply.places
        self._update_entry_position(reply, now)
        if reply.places:
            for callback in self.on_zone_entries:
                callback(reply.places, requested_ms)
        if reply.unchanged:
            self._extend_leases(followed, now + reply.lease_ms)
        else:
            followed.revision = reply.revision
            if reply.partial:
                if reply.dropped:
                    self._drop(followed, reply.dropped, now)
                self._extend_leases(followed, now + reply.lease_ms)
            else:
                followed.member_ids.clear()
            for member in reply.members:
                followed.member_ids.add(member.endpoint_id)
                self._update_member(member, now + member.lease_left_ms)
            for callback in self.on_members:
                callback(reply.members, now)
        if reply.reports_revision is not None:
            self._receive_reports(followed, reply)
        document = reply.document
        if document is not None:
            self._apply_evacuations(document)
        if document is None or document.round <= self.document.round:
            pass
        elif document.body is None and document.version == self.document.version:
            # The round changed only voters or evacuations.
            document.body = self.document.body
            self._apply_document(document)
        elif document.body is None:
            # This control holds a newer document than the one in force here, so
            # ``confirmed_ms`` must not advance.
            followed.notified_round = document.round
            return
        else:
            self.body_received_ms = now
            self._apply_document(document)
        if reply.settled:
            followed.confirmed_ms = requested_ms

    def _receive_reports(self, followed, reply):
        """Pass on crash reports; notice that a control has started without any."""
        known = followed.reports_revision
        followed.reports_revision = reply.reports_revision
        if reply.reports:
            for callback in self.on_reports:
                callback(reply.reports)
        if known and not membership.is_same_start(reply.reports_revision, known):
            for callback in self.on_reports_lost:
                callback()

    def _update_entry_position(self, reply, now):
        """Update this entry's position among the entries of all zones.

        A control that has just started, or is partitioned, knows too few of them.
        """
        fewer = (reply.entries or 0) < self.entry_count
        if reply.entries and (
            not fewer or now - self.entry_count_ms > ENTRY_COUNT_HOLD_MS
        ):
            self.entry_index, self.entry_count = reply.entry, reply.entries
            self.entry_count_ms = now
            if reply.demand_share is not None:
                self.demand_share, self.demand_share_ms = reply.demand_share, now

    def current_demand_share(self):
        """This entry's part (0 to 1) of the demand of all, or ``None`` if unknown."""
        is_current = self.clock.now() - self.demand_share_ms <= MAX_DEMAND_AGE_MS
        return self.demand_share if is_current else None

    def wants_body(self):
        """Whether to fetch the body of a newer document now.

        A document of 1,400 routes is 51 KB, which takes 0.1 s on a link of 4 Mbit/s.
        With one every 0.3 s from each of two controls, a group leader's link was
        saturated, and its map switch took 2.8 s. ``min_body_interval_ms`` limits the
        rate for followers that need little of the document.
        """
        if self.body_received_ms is None:
            return True
        return self.clock.now() - self.body_received_ms >= self.min_body_interval_ms

    def requests_body(self, followed):
        """Whether the next poll of *followed* requests the body of a newer document.

        A control of another zone is asked only for one that it has announced and that
        the own zone's has not sent meanwhile: a poll that waits with such a request
        returns the next document, which every entry would receive from each zone.
        """
        is_behind = followed.notified_round > self.document.round
        return (followed.zone == self.zone or is_behind) and self.wants_body()

    def _drop(self, followed, endpoint_ids, now):
        """Expire members dropped by *followed* that no other control has listed."""
        followed.member_ids.difference_update(endpoint_ids)
        listed = set().union(*(f.member_ids for f in self.controls.all()))
        for endpoint_id in set(endpoint_ids) - listed:
            known = self.by_id.get(endpoint_id)
            if known is not None:
                known.expires_ms = min(known.expires_ms, now)

    def _extend_leases(self, followed, expires_ms):
        """Extend the leases of all members that *followed* has listed and not dropped.

        If some were dropped here meanwhile, the complete list is requested again.
        After a partition, the first control to answer causes members to be dropped
        that only other controls list. When one of those then answered that its list
        was unchanged, the members stayed missing, and an entry had no endpoint until
        the next change (17 s).
        """
        for endpoint_id in followed.member_ids:
            known = self.by_id.get(endpoint_id)
            if known is not None:
                known.expires_ms = expires_ms
            else:
                followed.revision = NO_REVISION

    def _apply_document(self, document):
        """Put a newer *document* in force, with its voters."""
        changed = document.version != self.document.version
        self.document = document
        self.voting = [voters.Voter.from_message(v) for v in document.voters]
        if not changed:
            return
        log.info("document_in_force", version=document.version, round=document.round)
        for callback in self.on_document:
            callback(document)

    def _apply_evacuations(self, document):
        """Apply the evacuations of a newer *document*.

        A zone whose evacuation began and ended between two answers counts as restored
        as well. In the first decision after the start nothing does, as it is unknown
        how long ago an evacuation ended.
        """
        known_round = self.evacuations_round
        if document.evacuations is None or document.round <= (known_round or 0):
            return
        self.evacuations_round = document.round
        self.evacuations = evacuation.from_messages(
            document.evacuations, self.evacuations
        )
        before = self.evacuated_zones
        self.evacuated_zones = evacuation.active_zones(self.evacuations)
        if known_round is None:
            changed = [e for e in self.evacuations if e.active]
        else:
            changed = [e for e in self.evacuations if e.round > known_round]
        for record in changed:
            log.info(
                "evacuation", zone=record.zone, on=record.active, round=record.round
            )
        if self.evacuated_zones != before:
            self._record_change()
        restored = frozenset(e.zone for e in changed if not e.active)
        if restored:
            for callback in self.on_restored:
                callback(restored)

    def _update_member(self, member, expires_ms):
        known = self.by_id.get(member.endpoint_id)
        if known is None:
            self.by_id[member.endpoint_id] = KnownMember(member, expires_ms)
            self._record_change()
        elif membership.recency(member) >= membership.recency(known.member):
            if selection_fields(member) != selection_fields(known.member):
                self._record_change()
            known.member = member
            known.expires_ms = max(known.expires_ms, expires_ms)

    def _drop_expired(self, now):
        """Drop members without a valid lease, unless no control answers."""
        answered_ms = self.controls.answered_ms()
        if answered_ms is None or answered_ms < now - self.lease_ms:
            return
        for endpoint_id in [i for i, k in self.by_id.items() if k.expires_ms <= now]:
            del self.by_id[endpoint_id]
            self._record_change()

    def _record_change(self):
        self.generation += 1
        self.live_by_kind = {}
        self.evacuated_by_kind = {}

    def live(self, kind):
        """Members of *kind* that get new requests: not draining, gone or evacuated."""
        now = self.clock.now()
        if now - self.last_expiry_ms >= EXPIRE_INTERVAL_MS:
            self.last_expiry_ms = now
            self._drop_expired(now)
        if kind not in self.live_by_kind:
            self._divide_members(kind)
        return self.live_by_kind[kind]

    def is_leaving(self, endpoint_id):
        """Whether an endpoint has announced that it leaves, or has left."""
        known = self.by_id.get(endpoint_id)
        return known is not None and (known.member.draining or known.member.gone)

    def has_left(self, endpoint_id):
        """Whether an endpoint has announced its end."""
        known = self.by_id.get(endpoint_id)
        return known is not None and known.member.gone

    def evacuated(self, kind):
        """Members of *kind* that get no new requests only because of an evacuation."""
        self.live(kind)
        return self.evacuated_by_kind[kind]

    def _divide_members(self, kind):
        zones = frozenset() if kind in SYSTEM_KINDS else self.evacuated_zones
        live, evacuated = [], []
        for known in self.by_id.values():
            member = known.member
            if member.kind != kind or member.draining or member.gone:
                continue
            (evacuated if member.zone in zones else live).append(member)
        self.live_by_kind[kind], self.evacuated_by_kind[kind] = live, evacuated

    def set_seeds(self, seeds):
        """Replace the seeds by *seeds*, a sequence of (host, port)."""
        self.controls.seeds = list(seeds)

    def endpoints(self):
        """All known members that are endpoints."""
        members = [known.member for known in self.by_id.values()]
        return [m for m in members if m.kind != discovery.KIND]

    @property
    def confirmed_ms(self):
        """The last time a majority of voters held no newer document, or ``None``."""
        return self.controls.confirmed_ms(self.voting)

    @defer.inlineCallbacks
    def poll(self, followed):
        """Poll one control; a Deferred of the delay before its next poll, in ms."""
        requested_ms = self.clock.now()
        try:
            reply = yield followed.link.call(
                "view",
                self.zone,
                followed.revision,
                # The round may be known from a control of an earlier version, which
                # sends no evacuations.
                NO_ROUND if followed.answered_ms is None else self.document.round,
                self.wait_ms,
                self.requests_body(followed),
                self.follower,
                followed.reports_revision if self.wants_reports else None,
                True,
                self.document.version,
                None if self.read_demand is None else self.read_demand(),
                timeout_ms=self.wait_ms + controls.CONTROL_TIMEOUT_MS,
            )
        except errors.WireError:
            # A connection can stop delivering answers without being reset. The
            # next poll opens a new one, which shows whether the control is up.
            followed.link.close()
            return RETRY_MS
        # An answer without changes is valid as of its arrival, an immediate one as
        # of the request. The time of the request holds in both cases.
        self.merge(followed, reply, requested_ms)
        document = reply.document
        if document is None or document.round <= self.document.round:
            return POLL_INTERVAL_MS
        return OTHER_ZONE_POLL_MS if self.wants_body() else DELAYED_BODY_POLL_MS

    def follow(self, reactor):
        """Poll every known control until the reactor stops."""
        known = {v.address for v in self.voting}
        known |= {(m.host, m.port) for m in self.live(discovery.KIND)}
        for followed in self.controls.update(known, self.clock.now()):
            self._schedule_poll(followed, 0)
        self.clock.call_later(CONTROLS_UPDATE_MS, self.follow, reactor)

    def _schedule_poll(self, followed, delay_ms):
        def poll_again(delay_ms):
            self._schedule_poll(followed, delay_ms)

        def run():
            if followed.is_active:
                self.poll(followed).addCallbacks(poll_again, failed)

        def failed(failure):
            log.error("view_failed", error=failure.getErrorMessage())
            self._schedule_poll(followed, RETRY_MS)

        self.clock.call_later(delay_ms, run)
