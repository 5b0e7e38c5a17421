"""State shared by all requests of an entry, and the state of each request."""

from __future__ import annotations

import functools
import random

import attrs

from dunlinpoint import clock, http_heads, lifecycle, logs, metrics
from dunlinpoint.admission import competition, urgency
from dunlinpoint.answers import continuation, life_check
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.entry import limits as workspace_limits
from dunlinpoint.experts import messages
from dunlinpoint.follow import heard, view
from dunlinpoint.forward import (
    condition,
    events,
    health_probe,
    names,
    pool,
    quarantine,
    responses,
    routes,
)
from dunlinpoint.routing import (
    backpressure,
    budget,
    demand,
    endpoint_order,
    endpoint_signals,
    groups,
    latency,
    outage,
    pick,
)
from dunlinpoint.suspects import sharing

log = logs.logger("entry")

# How long after its start an entry may not know the document and all endpoints yet.
# Servers announce themselves every 1.2 s, and a control may start at the same time.
STARTING_MS = 4000


def no_prompt_parts(_headers):
    """The prompt parts of a request where callers list none."""
    return ()


@attrs.define
class Forwarder:
    """State shared by all requests of this entry.

    ``stop_ms`` is the time at which it cuts the answers that are left, ``None`` unless
    it stops.
    """

    view: view.View
    clock: clock.Clock
    counters: metrics.Counters
    pool: pool.Pool
    picker: pick.Picker
    changes: condition.Condition
    quarantine: quarantine.Quarantine
    life_checks: life_check.LifeChecks | None = None
    names: names.HeaderNames = names.DEFAULT
    read_signal: object = endpoint_signals.no_signal
    read_prompt_parts: object = no_prompt_parts
    parse_document: object = config.parse_accepted
    budget: budget.Budget = attrs.field(factory=budget.Budget)
    demand: demand.Demand = attrs.field(factory=demand.Demand)
    table: routes.Table = attrs.field(factory=routes.Table)
    limits: config.Limits = attrs.field(factory=config.Limits)
    rng: random.Random = attrs.field(factory=random.Random)
    workspace_limiter: workspace_limits.InFlightLimiter = attrs.field(
        factory=workspace_limits.InFlightLimiter
    )
    key_lease_ms: int = 0
    in_flight: int = 0
    buffers: backpressure.EntryBuffers = attrs.field(factory=backpressure.EntryBuffers)
    lifecycle: lifecycle.Lifecycle = attrs.field(factory=lifecycle.begin)
    outages: outage.Outages = attrs.field(factory=outage.Outages)
    groups_by_service: dict = attrs.field(factory=dict)
    urgencies_by_service: dict = attrs.field(factory=dict)
    health_path_by_service: dict = attrs.field(factory=dict)
    members_by_service: dict = attrs.field(factory=dict)
    group_members_by_service: dict = attrs.field(factory=dict)
    evacuated_services: set = attrs.field(factory=set)
    uneven_groups: set = attrs.field(factory=set)
    overloaded_groups: set = attrs.field(factory=set)
    member_order_key: tuple | None = None
    started_ms: int = 0
    stop_ms: int | None = None

    @classmethod
    def from_config(
        cls,
        reactor,
        entry_view,
        counters,
        header_names,
        read_signal,
        key_lease_ms=0,
        memory_bytes=0,
        read_prompt_parts=no_prompt_parts,
        parse_document=config.parse_accepted,
    ):
        """Create the state of the entry with the view *entry_view*.

        ``read_signal(status, headers)`` returns the ``Signal`` in an endpoint's
        response. If *key_lease_ms* is above 0, requests with a key are refused once
        no majority of controls has confirmed the document for that time.
        *memory_bytes* is the entry's memory, 0 for no bound.
        ``read_prompt_parts(headers)`` returns the ids (``str``) of the parts that a
        request's prompt consists of. ``parse_document(text)`` returns the
        ``config.Document`` of an accepted one.
        """
        ms_clock = clock.Clock(reactor)
        endpoint_pool = pool.Pool.from_config(reactor)
        forwarder = cls(
            view=entry_view,
            clock=ms_clock,
            changes=condition.Condition(ms_clock),
            started_ms=ms_clock.now(),
            counters=counters,
            pool=endpoint_pool,
            picker=pick.Picker(entry_view.zone),
            quarantine=quarantine.Quarantine(sharing.Sharing(entry_view, ms_clock)),
            names=header_names,
            read_signal=read_signal,
            read_prompt_parts=read_prompt_parts,
            parse_document=parse_document,
            key_lease_ms=key_lease_ms,
            buffers=backpressure.EntryBuffers(memory_bytes),
        )
        forwarder.life_checks = life_check.LifeChecks(
            ms_clock,
            functools.partial(health_probe.ask, forwarder),
            functools.partial(heard.ask, entry_view),
        )
        entry_view.on_document.append(forwarder.apply_document)
        entry_view.on_change.append(forwarder.handle_change)
        entry_view.on_members.append(forwarder.picker.cold.receive)
        entry_view.on_restored.append(forwarder.handle_restored)
        entry_view.on_zone_entries.append(
            lambda count, asked_ms: forwarder.budget.learn(
                count, asked_ms, ms_clock.now()
            )
        )
        entry_view.read_demand = lambda: forwarder.demand.count(ms_clock.now())
        entry_view.wants_reports = True
        entry_view.on_reports.append(forwarder.receive_reports)
        entry_view.on_reports_lost.append(forwarder.republish_reports)
        return forwarder

    def receive_reports(self, reports):
        """Handle crash reports of other entries, received from a control."""
        self.quarantine.receive_reports(self, reports)

    def republish_reports(self):
        """Report all known crashes again: a control has started without them."""
        self.quarantine.republish(self.clock.now())

    def apply_document(self, document):
        """Apply a newer document."""
        doc = self.parse_document(packed.unpack(document.body))
        self.table = routes.Table.from_document(doc, document.version)
        self.picker.cold.apply_document(doc)
        self.limits = doc.limits
        self.urgencies_by_service = urgency.competing(doc)
        self.health_path_by_service = {
            s.name: s.health_path for s in doc.services if s.health_path is not None
        }
        for service, service_groups in self.groups_by_service.items():
            self._update_competition(service, service_groups)
        self.workspace_limiter.limit_by_name = {
            w.name: w.max_in_flight for w in doc.workspaces
        }

    def members(self, service):
        """Return the endpoints of *service* that accept work, in this entry's order.

        The order is computed only when the members have changed: computing it for
        each request cost more than the request itself with some hundred endpoints.
        """
        self.update_members()
        return self.members_by_service.get(service, [])

    def update_cold_position(self):
        """Update this entry's position and last contact for its part of cold rates."""
        view = self.view
        position = (view.entry_index, view.entry_count) if view.entry_count_ms else None
        answered_ms = view.controls.answered_ms()
        self.picker.cold.update(position, answered_ms, self.clock.now())

    def handle_restored(self, zones):
        """Take the endpoints of *zones* as cold: their evacuation has ended."""
        endpoints = [
            m for m in self.view.endpoints() if m.kind == "service" and m.zone in zones
        ]
        self.picker.cold.zone_restored(endpoints, self.clock.now())

    def handle_change(self):
        """Handle a change notification of the view: wake all waiting requests."""
        self.update_members()
        quarantine.detect_restarts(self)
        if self.changes.waiters:
            self.changes.notify_all()

    def is_discovered(self, service=None):
        """Whether the document and, if given, endpoints of *service* are known."""
        if not self.table.version or self.view.confirmed_ms is None:
            return False
        return (
            service is None or bool(self.members(service)) or self.is_evacuated(service)
        )

    def is_evacuated(self, service):
        """Whether all endpoints of *service* are in evacuated zones."""
        return not self.members(service) and service in self.evacuated_services

    def is_starting(self):
        """Whether the entry may not know all members yet because it just started."""
        return self.clock.now() - self.started_ms < STARTING_MS

    def update_members(self):
        """Update the lists of members if the members have changed."""
        live = self.view.live("service")
        view = self.view
        self.picker.signals.update(
            view.entry_index,
            view.entry_count,
            self.clock.now(),
            view.current_demand_share(),
        )
        self.update_cold_position()
        order_key = view.generation, view.zone_index, view.zone_entries
        if view.evacuated_zones:
            order_key += (view.entry_count,)
        if self.member_order_key != order_key:
            self.member_order_key = order_key
            self._order_members(live)

    def _order_members(self, live):
        by_service = {}
        evacuated = self.view.evacuated("service")
        self.evacuated_services = {m.service_name for m in evacuated}
        for member in sorted(live, key=lambda m: m.endpoint_id):
            by_service.setdefault(member.service_name, []).append(member)
        zone_index, zone_entries = self.view.zone_index, self.view.zone_entries
        self.members_by_service = {
            name: endpoint_order.preferred_order(
                members, self.view.zone, zone_index, zone_entries
            )
            for name, members in by_service.items()
        }
        # Otherwise records and idle connections of all former endpoints would stay in
        # memory until a restart.
        incarnations = {pick.incarnation_key(m) for m in live}
        self.picker.forget(incarnations)
        self.picker.signals.forget(incarnations, self.clock.now())
        self.picker.cold.forget(incarnations, self.clock.now())
        self.pool.forget(incarnations)
        # Ranks of an evacuated zone finish their requests, which show how their group
        # is doing.
        addresses = {outage.address_of(m) for m in [*live, *evacuated]}
        ranks = self.view.live(messages.KIND)
        for _ in self.picker.paces.update(ranks, live):
            self.counters.incr("endpoint.slow")
        for group in self.outages.update(ranks, addresses, self.clock.now()):
            log.info("group_open", group=group)
            for member in live:
                address = outage.address_of(member)
                if self.outages.group_by_address.get(address) == group:
                    self.picker.succeeded(pick.incarnation_key(member))
        self._group_members()

    def _group_members(self):
        """Divide the members of each service by the groups that agents report."""
        self.group_members_by_service = {}
        self.uneven_groups = set()
        for service, members in self.members_by_service.items():
            by_group = self.group_members_by_service[service] = {}
            for member in sorted(members, key=lambda m: m.endpoint_id):
                by_group.setdefault(self.group_of(member), []).append(member)
            zone, zone_index, zone_entries = (
                self.view.zone,
                self.view.zone_index,
                self.view.zone_entries,
            )
            for group, group_members in by_group.items():
                by_group[group] = endpoint_order.preferred_order_in_group(
                    group_members, zone, zone_index, zone_entries
                )
                if not endpoint_order.is_evenly_distributed(group_members, zone):
                    self.uneven_groups.add((service, group))
        for service, service_groups in self.groups_by_service.items():
            self._update_group_sizes(service, service_groups)

    def _update_group_sizes(self, service, service_groups):
        """Set the size of each group in *service_groups*, overall and in this zone."""
        by_group = self.group_members_by_service.get(service, {})
        sizes = {group: len(members) for group, members in by_group.items()}
        own_zone_sizes = {
            group: sum(m.zone == self.view.zone for m in members)
            for group, members in by_group.items()
        }
        members = self.members_by_service.get(service, [])
        if self.view.evacuated_zones:
            slots = latency.even_slots(members, self.view.entry_count)
        else:
            slots = latency.entry_slots(members, self.view.zone, self.view.zone_entries)
        service_groups.update(sizes, own_zone_sizes, slots)

    def groups(self, call):
        """Return the ``Groups`` of *call*'s service.

        Returns ``None`` if the route has no limit for the inter-event gap.
        """
        if not call.streaming or not call.route.pause_ms:
            return None
        service_groups = self.groups_by_service.get(call.service)
        if service_groups is None:
            service_groups = groups.Groups(call.route.pause_ms)
            self.groups_by_service[call.service] = service_groups
            self._update_group_sizes(call.service, service_groups)
            self._update_competition(call.service, service_groups)
        return service_groups

    def _update_competition(self, service, service_groups):
        """Let the callers of *service* compete or not, as the document says."""
        if service not in self.urgencies_by_service:
            service_groups.competition = None
        elif service_groups.competition is None:
            service_groups.competition = competition.Competition()

    def ring_entries(self, service, by_zone):
        """The number of entries that share a ring of endpoints of *service*.

        0 if its callers do not compete: its endpoints are then chosen by load only.
        """
        if service not in self.urgencies_by_service:
            return 0
        return self.view.zone_entries if by_zone else self.view.entry_count

    def group_of(self, member):
        """Return the rank group of *member*, or ``""`` if none is known."""
        return self.outages.group_by_address.get(outage.address_of(member), "")

    def available_groups(self, service, now):
        """Return the members of *service* by rank group, without stalled groups."""
        self.update_members()
        by_group = self.group_members_by_service.get(service, {})
        return {
            group: members
            for group, members in by_group.items()
            if not self.outages.is_stalled(members[0], now)
        }

    def key_lease_ended(self):
        """Whether keys may have been revoked without this entry knowing it."""
        if not self.key_lease_ms:
            return False
        confirmed = self.view.confirmed_ms
        return confirmed is None or self.clock.now() - confirmed > self.key_lease_ms


@attrs.define(eq=False)
class Call:
    """One request at this entry.

    - ``deadline_ms``, ``arrived_ms``: times of the local clock.
    - ``tried``: keys of the endpoint incarnations that were tried.
    - ``attempts``: number of attempts at which the request was sent.
    - ``started``: whether the response to the caller has begun.
    - ``group``: the rank group at which the stream is counted.
    - ``admission_draw``: random number (0 to 1) compared with the admitted share.
    - ``digest``: that of the request as a whole, once it is needed.
    - ``shared_subject_by_digest``: the digests that it shares with other requests.
    - ``isolated``: the digests of which it runs as the only execution.
    - ``turn_limit_ms``: until when it waits for another execution of a suspect.
    - ``framing``: what tells where its last answer's body ends, once its head is read.
    - ``error``: why its last attempt did not end the request (``str``).
    - ``runs``: the ``StreamRun`` of each attempt that began a stream.
    - ``has_marked_end``: whether its answer ended with a length or a last chunk and not
      with its connection, as one that a crash cuts short may do.
    - ``end_left_ms``: the time left until its deadline when its last answer ended.
    - ``unmarked``: its answer that has just ended with its connection.
    - ``end_checks``: the checks of its last answer that ended with its connection.
    - ``not_asked``: why nobody else was asked then, ``None`` if one was.
    - ``stream_head``: the head of its stream, once events were passed on.
    - ``unconfirmed``: such an answer that may be whole, while another is asked for.
    - ``confirm_until_ms``: until when the rest of such a stream is asked for.
    - ``last_failure``: the last 5xx response of an endpoint.
    - ``body``: the request's body, once an attempt has read it.
    - ``prompt_parts``: ids (``str``) of the parts of its prompt, in order.
    - ``last_data_ms``: time at which bytes of its stream were last received.
    - ``last_event_ms``: time of the last event, or of the arrival.
    - ``first_ms``: time from the arrival to the first event.
    - ``longest_gap_ms``: the longest inter-event gap so far.
    - ``in_flight_at_endpoint``: requests of this entry at the endpoint when it was
      chosen.
    - ``waited``: whether it has waited for a stalled group.
    - ``queue_key``: its key in the queue of callers past their latency target.
    - ``competitor``: itself among the competing callers of its service.
    - ``caller``: the bytes held for its caller.
    - ``source``: the endpoint's connection that its answer is read from.
    """

    request: object
    route: config.Route
    service: str
    workspace: config.Workspace | None
    deadline_ms: int
    request_id: bytes | None
    events: events.EventStream
    streaming: bool
    tried: set = attrs.field(factory=set)
    attempts: int = 0
    may_have_run: bool = False
    started: bool = False
    disconnected: bool = False
    expired: bool = False
    connection: pool.Connection | None = None
    group: str | None = None
    admission_draw: float | None = None
    digest: bytes | None = None
    shared_subject_by_digest: dict | None = None
    isolated: frozenset = frozenset()
    turn_limit_ms: int | None = None
    framing: http_heads.Framing | None = None
    error: str | None = None
    runs: list = attrs.field(factory=list)
    has_marked_end: bool = False
    end_left_ms: int | None = None
    end_checks: list = attrs.field(factory=list)
    not_asked: str | None = None
    stream_head: continuation.StreamHead | None = None
    unmarked: object | None = None
    unconfirmed: object | None = None
    confirm_until_ms: int | None = None
    last_failure: responses.PlainAnswer | None = None
    body: bytes | None = None
    prompt_parts: tuple = ()
    arrived_ms: int = 0
    last_data_ms: int = 0
    last_event_ms: int = 0
    first_ms: int | None = None
    longest_gap_ms: int = 0
    in_flight_at_endpoint: int = 0
    waited: bool = False
    queue_key: tuple | None = None
    competitor: competition.Caller | None = None
    caller: backpressure.CallerBuffer = attrs.field(factory=backpressure.CallerBuffer)
    source: backpressure.Source = attrs.field(factory=backpressure.Source)

    def read_body(self):
        """Return the request's body, also after the response has been finished.

        The HTTP library discards the content of a request with the end of its response.
        """
        if self.body is None:
            self.request.content.seek(0)
            self.body = self.request.content.read()
        return self.body

    def is_stream_unconfirmed(self):
        """Whether its stream has ended, and another endpoint is asked for the rest."""
        return self.unconfirmed is not None and self.unconfirmed.plain is None

    def stop(self):
        """Abort the attempt in progress."""
        if self.connection is not None:
            self.connection.close()

    def on_disconnect(self, _reason=None):
        """Abort the call: the caller closed its connection."""
        self.disconnected = True
        self.stop()

    def expire(self):
        """Abort the call at the caller's deadline or the route's timeout."""
        self.expired = True
        self.stop()

    @property
    def is_over(self):
        return self.disconnected or self.expired
