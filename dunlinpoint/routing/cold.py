"""Which endpoints are cold, and when this entry may send each its next request.

A cold endpoint must not receive more than a number of requests in any second from all
entries together, which do not see each other's requests. Each entry derives its part
from its position among the entries (:func:`rate.bounded_interval_ms`). Positions are
not known to all entries at the same time, so:

- A former position counts for a while beside the current one, and the longest interval
  holds. Then at any time there is a position by which all entries keep to the bound.
- An entry that does not know its position yet, or only just, sends nothing.
- An entry without contact to any control keeps its position, and uses a separate part
  of the bound, as the others may come to another number of entries meanwhile.

Requests that are not used are not accumulated. The state is kept by incarnation, and
past a network partition. In doubt, an endpoint counts as cold.
"""

from __future__ import annotations

import math

import attrs

from dunlinpoint import logs
from dunlinpoint.routing import incarnations, rate

log = logs.logger("entry")

# An entry polls each control every 0.85 s. After this time without any answer, it may
# not know that entries were added.
ISOLATED_MS = 1500
# How long a former position counts: until entries that could not learn the new one have
# become isolated, and their requests are a second old.
SETTLE_MS = ISOLATED_MS + rate.BOUND_SPAN_MS + 500
# The same for a position among more entries: a partition hides entries from controls.
FEWER_ENTRIES_SETTLE_MS = 30_000
# With more positions than this, the number of entries counts as unknown.
MAX_POSITIONS = 32
# The part of the bound that is reserved for isolated entries.
MIN_ISOLATED_FRACTION = 0.25
# A request without an answer for this long may still be on its way.
UNANSWERED_MS = 500
# Warm endpoints count as full after this many refusals without an acceptance in
# between, until the last refusal is this old.
FULL_REFUSALS = 3
FULL_MS = 1000
# How long the state of an endpoint is kept that is no longer a member.
RETENTION_MS = 120_000


@attrs.frozen
class Bounds:
    """The most requests to a cold endpoint in any second, for its rate.

    It is the rate x ``overage`` + ``tolerance``.
    """

    overage: float = 1.0
    tolerance: float = 0.0

    def most_requests(self, per_s):
        """``(most, isolated)``: the bound, and the part of it for isolated entries."""
        most = math.floor(per_s * self.overage + self.tolerance)
        spare = most - rate.requests_per_span(per_s)
        return most, max(spare, math.floor(most * MIN_ISOLATED_FRACTION))


@attrs.define
class Positions:
    """This entry's position among all entries: ``(index, entry_count)``.

    ``superseded_ms_by_position`` holds the former ones that still count.
    """

    current: tuple | None = None
    known_since_ms: int = 0
    superseded_ms_by_position: dict = attrs.field(factory=dict)

    def update(self, position, now):
        """Set the current position."""
        if position == self.current:
            return
        if self.current is None:
            self.known_since_ms = now
        else:
            self.superseded_ms_by_position[self.current] = now
        self.superseded_ms_by_position.pop(position, None)
        self.current = position

    def in_force(self, now):
        """The positions that count at *now*; empty while they are not known."""
        if self.current is None or now < self.known_since_ms + SETTLE_MS:
            return []
        superseded = self.superseded_ms_by_position
        for position in list(superseded):
            fewer = position[1] > self.current[1]
            settle_ms = FEWER_ENTRIES_SETTLE_MS if fewer else SETTLE_MS
            if now >= superseded[position] + settle_ms:
                del superseded[position]
        found = [self.current, *superseded]
        return found if len(found) <= MAX_POSITIONS else []


@attrs.define
class State:
    """What this entry knows of one incarnation; times are in ms of the local clock.

    - ``seen_ms``: when it was first seen; ``missing_since_ms``: since when it is no
      member.
    - ``has_incarnation``: whether its key tells it from later ones.
    - ``reported_until_ms``: until when it is cold by its heartbeats, which counts as of
      heartbeat ``sequence``; ``None`` if it reports nothing.
    - ``restored_ms``: when the last evacuation of its zone ended.
    - ``sent_ms``: the latest time at which a request may have arrived there.
    - ``unanswered_ms_by_call``: when each unanswered request was sent.
    """

    seen_ms: int
    has_incarnation: bool = True
    missing_since_ms: int | None = None
    reported_until_ms: int | None = None
    sequence: int = -1
    restored_ms: int | None = None
    sent_ms: int | None = None
    unanswered_ms_by_call: dict = attrs.field(factory=dict)

    def went_missing(self, now):
        """Record that it is no member any more.

        Without an incarnation, it may return as another one under the same key, so a
        report that it is warm holds no longer.
        """
        self.missing_since_ms = now
        if self.has_incarnation:
            return
        self.seen_ms, self.sequence = now, -1
        if self.reported_until_ms is not None and self.reported_until_ms <= now:
            self.reported_until_ms = None

    def returned(self, now):
        """Record that it is a member."""
        if self.missing_since_ms is None:
            return
        self.missing_since_ms = None
        if not self.has_incarnation:
            self.seen_ms = now

    def until_ms(self, start_ms):
        """Until when the incarnation is cold, if a cold start takes *start_ms*."""
        until_ms = self.reported_until_ms
        if until_ms is None:
            until_ms = self.seen_ms + start_ms
        if self.restored_ms is not None:
            until_ms = max(until_ms, self.restored_ms + start_ms)
        return until_ms


@attrs.define
class ColdEndpoints:
    """The state of all incarnations, and the parts of this entry.

    ``rule_by_service`` holds the ``config.Cold`` of the services that have one;
    ``answered_ms`` is when a control last answered; ``waiting_by_service`` holds a
    ``latency.Queue`` of the calls that wait for a cold endpoint,
    ``refusals_by_service`` the consecutive refusals of warm endpoints and the time of
    the last one.
    """

    bounds: Bounds = attrs.field(factory=Bounds)
    rule_by_service: dict = attrs.field(factory=dict)
    state_by_incarnation: dict = attrs.field(factory=dict)
    positions: Positions = attrs.field(factory=Positions)
    answered_ms: int | None = None
    waiting_by_service: dict = attrs.field(factory=dict)
    refusals_by_service: dict = attrs.field(factory=dict)

    def apply_document(self, doc):
        """Apply the rules of a newer ``config.Document``."""
        self.rule_by_service = {s.name: s.cold for s in doc.services if s.cold}

    def update(self, position, answered_ms, now):
        """Set this entry's position (``None`` if unknown) and its last contact."""
        self.answered_ms = answered_ms
        if position is not None:
            self.positions.update(position, now)

    def receive(self, members, now):
        """Record *members* as a control has sent them."""
        for member in members:
            state = self._state(member, now)
            sequence = member.sequence or 0
            if member.cold_left_ms is None:
                continue
            until_ms = now + member.cold_left_ms
            # Without an incarnation, a lower sequence may be that of a restart.
            is_colder = until_ms > max(now, state.reported_until_ms or 0)
            if sequence <= state.sequence and (member.incarnation or not is_colder):
                continue
            was_cold = (state.reported_until_ms or 0) > now
            state.reported_until_ms, state.sequence = until_ms, sequence
            if until_ms > now and not was_cold:
                self._log_cold(member, "reported", now)

    def zone_restored(self, endpoints, now):
        """Take *endpoints* as cold from *now* on: their zone's evacuation has ended."""
        for member in endpoints:
            self._state(member, now).restored_ms = now
            self._log_cold(member, "zone_restored", now)

    def _log_cold(self, member, reason, now):
        until_ms = self.until_ms(member, now)
        if until_ms is not None:
            log.info(
                "endpoint_cold",
                endpoint_id=incarnations.incarnation_key(member),
                service=member.service_name,
                reason=reason,
                cold_ms=round(until_ms - now),
                entries=self.positions.current and self.positions.current[1],
            )

    def _state(self, member, now):
        key = incarnations.incarnation_key(member)
        state = self.state_by_incarnation.get(key)
        if state is None:
            state = self.state_by_incarnation[key] = State(
                now, bool(member.incarnation)
            )
        return state

    def until_ms(self, member, now):
        """Until when (ms) *member* is cold, or ``None`` if it is not."""
        rule = self.rule_by_service.get(member.service_name)
        if rule is None:
            return None
        until_ms = self._state(member, now).until_ms(rule.start_ms)
        return until_ms if until_ms > now else None

    def available_ms_by_key(self, members, now):
        """When (ms) this entry may send each cold endpoint of *members* a request.

        By incarnation key; endpoints that are not cold are left out.
        """
        if not self.rule_by_service:
            return {}
        times = {}
        for member in members:
            until_ms = self.until_ms(member, now)
            if until_ms is not None:
                key = incarnations.incarnation_key(member)
                times[key] = self._available_ms(key, member, until_ms, now)
        return times

    def _available_ms(self, key, member, until_ms, now):
        state = self.state_by_incarnation[key]
        oldest_ms = min(state.unanswered_ms_by_call.values(), default=now)
        interval_ms = self._interval_ms(key, member, now)
        if interval_ms == math.inf or now - oldest_ms > UNANSWERED_MS:
            return until_ms
        if state.sent_ms is None:
            return now
        return min(until_ms, max(now, math.ceil(state.sent_ms + interval_ms)))

    def _interval_ms(self, key, member, now):
        """The spacing (ms) of this entry's requests to a cold endpoint."""
        per_s = self.rule_by_service[member.service_name].requests_per_s
        most, isolated_most = self.bounds.most_requests(per_s)
        is_isolated = self.answered_ms is None or now - self.answered_ms > ISOLATED_MS
        own_most = isolated_most if is_isolated else most - isolated_most
        return max(
            (
                rate.bounded_interval_ms(per_s, own_most, key, index, entry_count)
                for index, entry_count in self.positions.in_force(now)
            ),
            default=math.inf,
        )

    def sent(self, member, call, now):
        """Record that *call* is sent to *member*; whether that is cold."""
        if member.service_name not in self.rule_by_service:
            return False
        state = self._state(member, now)
        state.sent_ms = now
        is_cold = self.until_ms(member, now) is not None
        if is_cold:
            state.unanswered_ms_by_call[call] = now
        return is_cold

    def answered(self, member, call, now):
        """Record that *member* answered *call*, or that the attempt has ended."""
        state = self.state_by_incarnation.get(incarnations.incarnation_key(member))
        if state is None:
            return
        sent_ms = state.unanswered_ms_by_call.pop(call, now)
        if now - sent_ms > UNANSWERED_MS:
            # The network may have held the request back until now.
            state.sent_ms = now

    def record_outcome(self, member, is_accepted, now):
        """Record whether *member* accepted a request or refused to run it."""
        service = member.service_name
        if service not in self.rule_by_service or self.until_ms(member, now):
            return
        count, _ = self.refusals_by_service.get(service, (0, 0))
        self.refusals_by_service[service] = 0 if is_accepted else count + 1, now

    def is_full(self, service, now):
        """Whether the warm endpoints of *service* count as full."""
        count, last_ms = self.refusals_by_service.get(service, (0, 0))
        return count >= FULL_REFUSALS and now - last_ms <= FULL_MS

    def forget(self, live, now):
        """Drop incarnations that have not been members for ``RETENTION_MS``.

        *live* holds the keys of those that are.
        """
        for key, state in list(self.state_by_incarnation.items()):
            if key in live:
                state.returned(now)
            elif state.missing_since_ms is None:
                state.went_missing(now)
            elif now > state.missing_since_ms + RETENTION_MS:
                del self.state_by_incarnation[key]
