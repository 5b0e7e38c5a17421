"""What a follower knows of the deployment: members and the document in force.

It follows every control instance by long polls: each answers at once when it
knows something the follower does not, and otherwise after ``wait_ms``.

- A member is live while some control still vouches for its lease. When no
  control has answered for a whole lease, the follower is the one cut off: it
  keeps the members it last knew and finds out by trying them.
- The document is that of the highest round any control has shown: an isolated
  control showing an older one cannot make the follower go back.
- ``confirmed_ms`` is the last moment at which a majority of the voters are
  known to have held no newer document. Every accepted document is held by a
  majority of them before its operator hears of it, so one of those asked
  would have shown it. Work that a newer document may have forbidden (a key
  taken away) is refused once that moment is too long ago.
"""

from __future__ import annotations

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs
from dunlinpoint.config import packed
from dunlinpoint.control import discovery, membership, voters
from dunlinpoint.follow import controls
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("follow")

# The longest a control holds a poll. It bounds how often an idle entry asks
# (bytes between zones) and how old ``confirmed_ms`` can grow in calm times.
WAIT_MS = 800
# The pause between polls of one control, so that a stream of changes is
# taken in batches.
PAUSE_MS = 50
RETRY_MS = 300
# The revision of no list: whoever is asked with it lists all members.
NO_REVISION = 0
# How often it is looked whose lease has run out.
FORGET_MS = 50
# How often it is looked whether other controls are to be followed.
FOLLOW_MS = 250
# The pause of a follower that was told of a newer document and does not want it yet:
# it would be told again at once.
HINTED_PAUSE_MS = 300
# How long an entry waits for a new document from its own zone's control
# before it asks another zone's for it.
OTHER_ZONE_PAUSE_MS = 120
# When no control has shown as many entries for so long, there are fewer: controls
# forget one after 4 s.
FEWER_ENTRIES_MS = 5000


@attrs.define
class Seen:
    """One member as last shown, and until when it is vouched for."""

    member: ttypes.Member
    expires_ms: int


def shape(member):
    """What of a member a choice among members depends on."""
    return *membership.routed(member), member.load, member.group, member.engine


@attrs.define
class View:
    """Members by endpoint id, and the document in force."""

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
    wants_reports: bool = False
    wait_ms: int = WAIT_MS
    min_body_interval_ms: int = 0
    body_ms: int | None = None
    lease_ms: int = 0
    follower: str = ""
    zone_index: int = 0
    zone_entries: int = 1
    entry_index: int = 0
    entry_count: int = 1
    entries_ms: int = 0
    generation: int = 0
    forgot_ms: int = 0
    live_by_kind: dict = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, reactor, zone, seeds):
        """A view fed by the controls that *seeds* (``[(host, port)]``) lead to."""
        ms_clock = clock.Clock(reactor)
        return cls(
            ms_clock, zone, controls.Controls(reactor, list(seeds), ms_clock.now())
        )

    def merge(self, follow, shown, asked_ms):
        """Take in one control's ``View``, asked for at *asked_ms*."""
        self._merge(follow, shown, asked_ms)
        for hear in self.on_change:
            hear()

    def _merge(self, follow, shown, asked_ms):
        now = self.clock.now()
        self.lease_ms = shown.lease_ms
        follow.answered_ms = now
        follow.zone = shown.zone
        follow.node_id = shown.node_id
        if shown.places and (shown.zone == self.zone or self.zone_entries == 1):
            self.zone_index, self.zone_entries = shown.place, shown.places
        self._count_entries(shown, now)
        if shown.unchanged:
            self._renew(follow, now + shown.lease_ms)
        else:
            follow.revision = shown.revision
            if shown.partial:
                if shown.dropped:
                    self._drop(follow, shown.dropped, now)
                self._renew(follow, now + shown.lease_ms)
            else:
                follow.member_ids.clear()
            for member in shown.members:
                follow.member_ids.add(member.endpoint_id)
                self._take(member, now + member.lease_left_ms)
        if shown.reports_revision is not None:
            follow.reports_revision = shown.reports_revision
        if shown.reports:
            for hear in self.on_reports:
                hear(shown.reports)
        document = shown.document
        if document is None or document.round <= self.document.round:
            follow.asks_bodies = follow.zone == self.zone
        elif document.body is None:
            # Vouching for what is older than this would be false.
            follow.asks_bodies = self.wants_body()
            return
        else:
            self.body_ms = now
            self._enforce(document)
        if shown.settled:
            follow.confirmed_ms = asked_ms

    def _count_entries(self, shown, now):
        """Take in which of how many entries this one is, of all zones.

        A control that has just started, or is cut off, knows of fewer than there are.
        """
        fewer = (shown.entries or 0) < self.entry_count
        if shown.entries and (not fewer or now - self.entries_ms > FEWER_ENTRIES_MS):
            self.entry_index, self.entry_count = shown.entry, shown.entries
            self.entries_ms = now

    def wants_body(self):
        """Whether a newer document is to be sent now, or later.

        A document of 1,400 routes is 51 KB, a tenth of a second of a link of 4 Mbit/s.
        With one each 0.3 s, from two controls, a lead's link was full, and its change
        of map took 2.8 s. ``min_body_interval_ms`` spares that to who needs little of
        it.
        """
        if self.body_ms is None:
            return True
        return self.clock.now() - self.body_ms >= self.min_body_interval_ms

    def _drop(self, follow, endpoint_ids, now):
        """*follow* vouches for *endpoint_ids* no longer; some other may."""
        follow.member_ids.difference_update(endpoint_ids)
        listed = set().union(*(f.member_ids for f in self.controls.all()))
        for endpoint_id in set(endpoint_ids) - listed:
            seen = self.by_id.get(endpoint_id)
            if seen is not None:
                seen.expires_ms = min(seen.expires_ms, now)

    def _renew(self, follow, expires_ms):
        """All that *follow* listed, and did not drop since, is as it was.

        Members of its list that were dropped meanwhile must be listed again. After
        a cut, the first control to answer has those dropped that only others vouch
        for; one of these whose list had not changed then said so, and an entry went
        on without any endpoint for as long as nothing changed (17 s seen).
        """
        for endpoint_id in follow.member_ids:
            seen = self.by_id.get(endpoint_id)
            if seen is not None:
                seen.expires_ms = expires_ms
            else:
                follow.revision = NO_REVISION

    def _enforce(self, document):
        """Put a newer *document* in force, and follow its voters."""
        changed = document.version != self.document.version
        self.document = document
        self.voting = [voters.Voter.from_message(v) for v in document.voters]
        if not changed:
            return
        log.info("document_in_force", version=document.version, round=document.round)
        for hear in self.on_document:
            hear(document)

    def _take(self, member, expires_ms):
        seen = self.by_id.get(member.endpoint_id)
        if seen is None:
            self.by_id[member.endpoint_id] = Seen(member, expires_ms)
            self._changed()
        elif membership.age(member) >= membership.age(seen.member):
            if shape(member) != shape(seen.member):
                self._changed()
            seen.member = member
            seen.expires_ms = max(seen.expires_ms, expires_ms)

    def _forget(self, now):
        """Drop members nobody vouches for, while some control answers."""
        answered_ms = self.controls.answered_ms()
        if answered_ms is None or answered_ms < now - self.lease_ms:
            return
        for endpoint_id in [i for i, s in self.by_id.items() if s.expires_ms <= now]:
            del self.by_id[endpoint_id]
            self._changed()

    def _changed(self):
        self.generation += 1
        self.live_by_kind = {}

    def live(self, kind):
        """Members of *kind* that take new work."""
        now = self.clock.now()
        if now - self.forgot_ms >= FORGET_MS:
            self.forgot_ms = now
            self._forget(now)
        live = self.live_by_kind.get(kind)
        if live is None:
            live = self.live_by_kind[kind] = [
                seen.member
                for seen in self.by_id.values()
                if not seen.member.draining
                and not seen.member.gone
                and seen.member.kind == kind
            ]
        return live

    def set_seeds(self, seeds):
        """Take *seeds* in the place of those told before."""
        self.controls.seeds = list(seeds)

    def endpoints(self):
        """All known members that are endpoints."""
        members = [seen.member for seen in self.by_id.values()]
        return [m for m in members if m.kind != discovery.KIND]

    @property
    def confirmed_ms(self):
        """When a majority of the voters last held nothing newer, or ``None``."""
        return self.controls.confirmed_ms(self.voting)

    @defer.inlineCallbacks
    def poll(self, follow):
        """Ask one control once; the pause before the next poll, in ms."""
        asked_ms = self.clock.now()
        follow.asks_bodies = follow.asks_bodies and self.wants_body()
        try:
            shown = yield follow.link.call(
                "view",
                self.zone,
                follow.revision,
                self.document.round,
                self.wait_ms,
                follow.asks_bodies,
                self.follower,
                follow.reports_revision if self.wants_reports else None,
                True,
                timeout_ms=self.wait_ms + controls.CONTROL_TIMEOUT_MS,
            )
        except errors.WireError:
            # A connection that went silent answers nothing until it is
            # closed: reopened, the next poll finds out whether the control
            # is there.
            follow.link.close()
            return RETRY_MS
        # A long poll that changed nothing vouches for the moment it was
        # answered; one answered at once, for the moment it was asked. The
        # earlier of the two is always true.
        self.merge(follow, shown, asked_ms)
        hinted = shown.document is not None and shown.document.body is None
        if not hinted:
            return PAUSE_MS
        return OTHER_ZONE_PAUSE_MS if self.wants_body() else HINTED_PAUSE_MS

    def follow(self, reactor):
        """Poll every known control until the reactor stops."""
        known = {v.address for v in self.voting}
        known |= {(m.host, m.port) for m in self.live(discovery.KIND)}
        for follow in self.controls.update(known, self.clock.now()):
            self._next(follow, 0)
        self.clock.call_later(FOLLOW_MS, self.follow, reactor)

    def _next(self, follow, pause_ms):
        def again(pause_ms):
            self._next(follow, pause_ms)

        def run():
            if follow.wanted:
                self.poll(follow).addCallbacks(again, failed)

        def failed(failure):
            log.error("view_failed", error=failure.getErrorMessage())
            self._next(follow, RETRY_MS)

        self.clock.call_later(pause_ms, run)
