"""One caller's request from its arrival to its final answer.

The promises kept here, and how:

- *Whole and own*: an answer counts only with the endpoint's signature and
  the echoed request id. Plain answers are passed on once whole, streams
  event by event; one that breaks off is never ended as if complete.
- *Not run means not run*: 503 is given only if every try was certainly not
  run. After any try that may have run, the caller is told 502 or 504.
- *At most once*: a request that may not be repeated goes to another endpoint
  only after a certain "not run".
- *At once*: a request given up on is answered there and then, with the time
  to come back; nothing is held until the caller's deadline.
- *Nobody waits in vain*: when the caller leaves, the endpoint's connection
  is closed, so that the endpoint stops.
"""

from __future__ import annotations

import random

import attrs
from twisted.internet import defer
from twisted.web import http_headers

from dunlinpoint import clock, life, logs, metrics
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.entry import limits as workspace_limits
from dunlinpoint.experts import rank
from dunlinpoint.follow import view
from dunlinpoint.forward import answers, events, names, pool, routes, waiting
from dunlinpoint.forward import guard as guards
from dunlinpoint.routing import budget, outage, pace, pick, spread

log = logs.logger("entry")

OWN_HEADERS = {b"content-length", b"authorization", b"expect"}
DEFAULT_DEADLINE_MS = 60_000
# How long after its start an entry may not know yet what there is: servers
# announce themselves every 1.2 s, and a control may start with it.
STARTING_MS = 4000
# How long a request may wait for that: callers of streams leave after 2 s.
STARTING_WAIT_MS = 1500
# Less than this left is not worth handing to an endpoint.
LEAST_LEFT_MS = 10
# When a caller should come back whom the pace leaves no room: streams last a
# second or two, and as many end in that time as would have to.
ROOM_MS = (500, 1500)
# The state of one try.
DONE, NOT_RUN, BROKEN, FAILED = "done", "not_run", "broken", "failed"


@attrs.define
class Forward:
    """What every request at this entry shares."""

    view: view.View
    clock: clock.Clock
    counters: metrics.Counters
    pool: pool.Pool
    picker: pick.Picker
    waiting: waiting.Waiting
    names: names.Names = names.DEFAULT
    budget: budget.Budget = attrs.field(factory=budget.Budget)
    table: routes.Table = attrs.field(factory=routes.Table)
    limits: config.Limits = attrs.field(factory=config.Limits)
    rng: random.Random = attrs.field(factory=random.Random)
    work: workspace_limits.Work = attrs.field(factory=workspace_limits.Work)
    key_lease_ms: int = 0
    in_flight: int = 0
    life: life.Life = attrs.field(factory=life.begin)
    outages: outage.Outages = attrs.field(factory=outage.Outages)
    pace_by_service: dict = attrs.field(factory=dict)
    members_by_service: dict = attrs.field(factory=dict)
    arranged: tuple | None = None
    started_ms: int = 0

    @classmethod
    def from_config(cls, reactor, entry_view, counters, dialect, key_lease_ms=0):
        """Forwarding at the entry whose view is *entry_view*.

        With *key_lease_ms* above 0, keyed requests are refused once no
        majority of controls has vouched for the document for so long.
        """
        ticks = clock.Clock(reactor)
        forward = cls(
            view=entry_view,
            clock=ticks,
            waiting=waiting.Waiting(ticks),
            started_ms=ticks.now(),
            counters=counters,
            pool=pool.Pool.from_config(reactor),
            picker=pick.Picker(entry_view.zone),
            names=dialect,
            key_lease_ms=key_lease_ms,
        )
        entry_view.on_document.append(forward.take)
        entry_view.on_news.append(forward.news)
        return forward

    def take(self, document):
        """Put a newer document in force."""
        doc = config.parse(packed.unpack(document.body))
        self.table = routes.Table.from_document(doc, document.version)
        self.limits = doc.limits
        self.work.limit_by_name = {w.name: w.max_in_flight for w in doc.workspaces}

    def members(self, service):
        """Endpoints of *service* that take new work, in this entry's order.

        Arranged anew only when the members have changed: done for each
        request, it cost more than the request with some hundred endpoints.
        """
        self.arrange()
        return self.members_by_service.get(service, [])

    def news(self):
        """Something was heard of the deployment: whoever waits looks again."""
        if self.waiting.waiters:
            self.waiting.news()

    def knows(self, service=None):
        """Whether the document, and endpoints of *service*, are known."""
        if not self.table.version or self.view.vouched_ms is None:
            return False
        return service is None or bool(self.members(service))

    def is_starting(self):
        """Whether what is not known may only not be known yet."""
        return self.clock.now() - self.started_ms < STARTING_MS

    def arrange(self):
        """Arrange the members if they have changed."""
        live = self.view.live("service")
        state = self.view.generation, self.view.place, self.view.places
        if self.arranged != state:
            self.arranged = state
            self._arrange(live)

    def _arrange(self, live):
        by_service = {}
        for member in sorted(live, key=lambda m: m.endpoint_id):
            by_service.setdefault(member.service_name, []).append(member)
        place, places = self.view.place, self.view.places
        self.members_by_service = {
            name: spread.arranged(members, self.view.zone, place, places)
            for name, members in by_service.items()
        }
        # Without this the records and idle connections of every endpoint
        # that there ever was stay in memory until a restart.
        live_ids = {m.endpoint_id for m in live}
        self.picker.forget(live_ids)
        self.pool.forget(live_ids)
        addresses = {outage.address_of(m) for m in live}
        ranks = self.view.live(rank.KIND)
        for group in self.outages.learn(ranks, addresses, self.clock.now()):
            log.info("group_open", group=group)
            for member in live:
                address = outage.address_of(member)
                if self.outages.group_by_address.get(address) == group:
                    self.picker.succeeded(member.endpoint_id)

    def pace(self, call):
        """The ``Pace`` of *call*'s service, or ``None`` where no pause is set."""
        if not call.streaming or not call.route.pause_ms:
            return None
        found = self.pace_by_service.get(call.service)
        if found is None:
            found = self.pace_by_service[call.service] = pace.Pace(call.route.pause_ms)
        return found

    def key_lease_ended(self):
        """Whether keys may have been taken away without our hearing of it."""
        if not self.key_lease_ms:
            return False
        vouched = self.view.vouched_ms
        return vouched is None or self.clock.now() - vouched > self.key_lease_ms


@attrs.define(eq=False)
class Call:
    """One request at this entry."""

    request: object
    route: config.Route
    service: str
    workspace: config.Workspace | None
    deadline_ms: int
    request_id: bytes | None
    events: events.Events
    streaming: bool
    tried: set = attrs.field(factory=set)
    tries: int = 0
    may_have_run: bool = False
    started: bool = False
    left: bool = False
    expired: bool = False
    connection: pool.Connection | None = None
    last_failure: tuple | None = None
    arrived_ms: int = 0
    first_ms: int | None = None
    at_endpoint: int = 0
    waited: bool = False

    def stop(self):
        """Drop the try under way."""
        if self.connection is not None:
            self.connection.close()

    def caller_left(self, _reason=None):
        """The caller closed its connection."""
        self.left = True
        self.stop()

    def expire(self):
        """The caller's deadline or the route's timeout is reached."""
        self.expired = True
        self.stop()

    @property
    def over(self):
        return self.left or self.expired


def admit(forward, request, arrived_ms):
    """The ``Call`` of *request*, or ``None`` after a final answer."""
    table = forward.table
    if not table.version or forward.view.vouched_ms is None:
        answers.not_run(forward, request, "no_document")
        return None
    path = request.path.decode("latin-1")
    route = table.match(answers.header(request, b"host") or "", path)
    if route is None:
        answers.deny(forward, request, 404, "no_route")
        return None
    workspace = None
    if table.keyed and not route.public:
        if forward.key_lease_ended():
            answers.answer(
                forward, request, 503, "document_not_vouched", answers.RETRY_AFTER_MS
            )
            return None
        workspace = table.workspace(answers.header(request, b"authorization"))
        if workspace is None:
            answers.deny(forward, request, 401, "unknown_key")
            return None
    wait_ms = deadline_of(forward, request)
    last_id = answers.header(request, forward.names.last_event_id) or ""
    request_id = answers.header(request, forward.names.request_id)
    return Call(
        request=request,
        route=route,
        service=routes.service_of(route, forward.rng),
        workspace=workspace,
        deadline_ms=arrived_ms + min(wait_ms, route.timeout_ms),
        request_id=request_id.encode("latin-1") if request_id else None,
        events=events.Events(int(last_id) if last_id.isdigit() else None),
        streaming=route.kind == config.STREAMING,
        arrived_ms=arrived_ms,
    )


def deadline_of(forward, request):
    """How long the caller of *request* waits, in ms."""
    given = answers.header(request, forward.names.deadline_ms) or ""
    return int(given) if given.isdigit() else DEFAULT_DEADLINE_MS


@defer.inlineCallbacks
def start_up(forward, request, gone, service=None):
    """Wait for what an entry that has just started does not know yet.

    After all processes were killed, entries were back a second before the
    first control answered. They refused everyone, who came back at once, was
    refused again and had no try left, though a second later all was well.
    *gone* tells whether the caller has left.
    """
    if forward.knows(service) or not forward.is_starting():
        return
    limit_ms = min(STARTING_WAIT_MS, deadline_of(forward, request) // 2)
    yield forward.waiting.until(lambda: gone() or forward.knows(service), limit_ms)


@defer.inlineCallbacks
def serve(forward, request):
    """Forward one request; every path ends in exactly one final answer."""
    if forward.life.is_stopping():
        # Taken now on a kept connection, it could still be running at the
        # end of the grace time and be cut.
        answers.not_run(forward, request, "stopping")
        return
    arrived_ms = forward.clock.now()
    left = []
    request.notifyFinish().addErrback(left.append)
    yield start_up(forward, request, lambda: bool(left))
    call = None if left else admit(forward, request, arrived_ms)
    if call is None:
        return
    name = call.workspace.name if call.workspace is not None else ""
    if not forward.work.enter(name):
        answers.answer(forward, request, 429, "workspace_limit", answers.RETRY_AFTER_MS)
        return
    forward.in_flight += 1
    request.notifyFinish().addErrback(call.caller_left)
    timer = forward.clock.later(call.deadline_ms - forward.clock.now(), call.expire)
    try:
        yield start_up(forward, request, lambda: call.over, call.service)
        if not call.left:
            yield paced(forward, call)
    finally:
        forward.in_flight -= 1
        forward.work.leave(name)
        if timer.active():
            timer.cancel()


@defer.inlineCallbacks
def paced(forward, call):
    """Try endpoints if the pace leaves room for one stream more."""
    found = forward.pace(call)
    if found is None:
        yield tries(forward, call)
        return
    if not found.has_room():
        answers.answer(
            forward,
            call.request,
            503,
            "no_room",
            forward.rng.uniform(*ROOM_MS),
            service=call.service,
            limit=found.limit,
            pause_ms=found.pause_ms,
        )
        return
    found.began()
    try:
        yield tries(forward, call)
    finally:
        found.ended()


@defer.inlineCallbacks
def tries(forward, call):
    """Try endpoints until one answers or no other may be tried."""
    while True:
        now = forward.clock.now()
        members = forward.members(call.service)
        usable = forward.outages.usable(members, now)
        if members and not usable:
            opened = yield group_opens(forward, call, now)
            if opened:
                continue
            give_up(forward, call, "group_stands", outage_ms(forward, call, members))
            return
        member = forward.picker.pick(usable, now, exclude=call.tried)
        if member is None or call.deadline_ms - now < LEAST_LEFT_MS:
            give_up(forward, call, "no_endpoint" if member is None else "too_late")
            return
        forward.outages.probe(member, now)
        call.tried.add(member.endpoint_id)
        state = yield one_try(forward, call, member)
        if state == DONE or call.left:
            return
        if not may_try_again(forward, call, state):
            give_up(forward, call, state)
            return
        forward.counters.retried(state)


@defer.inlineCallbacks
def group_opens(forward, call, now):
    """Wait for a standing group if the caller can't come back; whether it opened."""
    left_ms = call.deadline_ms - now
    if call.waited or not call.streaming or outage.may_come_back(left_ms):
        return False
    call.waited = True

    def ready():
        members = forward.members(call.service)
        return call.over or forward.outages.usable(members, forward.clock.now())

    limit_ms = min(outage.WAIT_MS, left_ms)
    opened = yield forward.waiting.until(ready, limit_ms)
    return opened and not call.over


def may_try_again(forward, call, state):
    """Whether another endpoint may get the request after a try's *state*."""
    if call.over:
        return False
    if state != NOT_RUN and not routes.repeatable(call.route):
        return False
    if call.tries >= call.route.max_attempts:
        return False
    return call.tries == 0 or forward.budget.spend(call.service)


def outage_ms(forward, call, members):
    """When a caller should come back whose endpoints' groups all stand."""
    now = forward.clock.now()
    since = forward.outages.since_ms(members, now)
    return outage.come_back_ms(since, now, call.deadline_ms - now, forward.rng)


def told(forward, call):
    """What a log line tells of *call* beside its id."""
    return {
        "route": call.route.name,
        "service": call.service,
        "tries": call.tries,
        "left_ms": call.deadline_ms - forward.clock.now(),
    }


def give_up(forward, call, reason, retry_ms=answers.RETRY_AFTER_MS):
    """The final answer of a request that no endpoint answered."""
    request = call.request
    if call.left:
        return
    if call.started:
        # A chunked answer without its last chunk cannot be taken for whole.
        forward.counters.incr("gave_up.stream_broken")
        log.warning(
            "stream_broken",
            request=text(call.request_id),
            reason=reason,
            events=call.events.count,
            **told(forward, call),
        )
        request.channel.loseConnection()
    elif call.last_failure is not None:
        head, body = call.last_failure
        forward.counters.incr("answered.endpoint_failure")
        answers.copy_head(request, head, len(body))
        answers.finish(forward, request, body)
    elif not call.may_have_run:
        answers.answer(forward, request, 503, reason, retry_ms, **told(forward, call))
    else:
        status = 504 if call.expired else 502
        answers.answer(forward, request, status, reason, **told(forward, call))


def text(value):
    """Header bytes as text for a log line."""
    return value.decode("latin-1") if value is not None else None


@defer.inlineCallbacks
def one_try(forward, call, member):
    """Send the request to *member*, and log how it ended: the try's state."""
    began_ms = forward.clock.now()
    call.at_endpoint = forward.picker.record(member.endpoint_id).in_flight
    events_before = call.events.count
    state = yield send_to(forward, call, member)
    took_ms = forward.clock.now() - began_ms
    forward.counters.timed("try", took_ms)
    if state != DONE:
        log.warning(
            "try_ended",
            request=text(call.request_id),
            outcome=state,
            endpoint_id=member.endpoint_id,
            at_endpoint=call.at_endpoint,
            generation=forward.view.generation,
            took_ms=took_ms,
            events=call.events.count - events_before,
            **told(forward, call),
        )
    return state


@defer.inlineCallbacks
def send_to(forward, call, member):
    """Send the request to *member*: the state of the try."""
    endpoint_id = member.endpoint_id
    forward.picker.began(endpoint_id)
    guard = None
    try:
        connection = yield forward.pool.connect(
            member, routes.repeatable(call.route) and not call.streaming
        )
        call.connection = connection
        if call.over:
            connection.close()
            return NOT_RUN
        call.tries += 1
        if call.tries == 1:
            forward.budget.earn(call.service)
        guard = guards.start(forward, call, member, connection)
        state = yield exchange(forward, call, member, connection)
    except pool.NotSent:
        forward.counters.retried("endpoint_unreachable")
        forward.picker.failed(endpoint_id, forward.clock.now())
        return NOT_RUN
    except pool.Broken:
        call.may_have_run = True
        if not call.over:
            forward.picker.failed(endpoint_id, forward.clock.now())
        return BROKEN
    finally:
        call.connection = None
        forward.picker.ended(endpoint_id)
        if guard is not None:
            guard.stop()
    if state == DONE:
        forward.picker.succeeded(endpoint_id)
        forward.outages.heard(member)
        note_done(forward, call, member)
    elif state == FAILED:
        call.may_have_run = True
    return state


def note_done(forward, call, member):
    """Log and time a request that got its endpoint's answer."""
    took_ms = forward.clock.now() - call.arrived_ms
    forward.counters.timed("answer", took_ms)
    log.info(
        "answered",
        request=text(call.request_id),
        workspace=call.workspace.name if call.workspace else None,
        endpoint_id=member.endpoint_id,
        at_endpoint=call.at_endpoint,
        generation=forward.view.generation,
        version=forward.table.version,
        status=call.request.code,
        took_ms=took_ms,
        first_ms=call.first_ms,
        events=call.events.count,
        **told(forward, call),
    )


def outgoing(forward, call, member):
    """The request as *member* gets it."""
    named = answers.header(call.request, b"connection") or ""
    dropped = answers.HOP_BY_HOP | {
        n.strip().lower().encode() for n in named.split(",")
    }
    dropped |= OWN_HEADERS
    own = forward.names
    headers = http_headers.Headers()
    for name, values in call.request.requestHeaders.getAllRawHeaders():
        if name.lower() not in dropped:
            headers.setRawHeaders(name, values)
    left = call.deadline_ms - forward.clock.now()
    headers.setRawHeaders(own.deadline_ms, [b"%d" % max(1, left)])
    headers.setRawHeaders(own.endpoint_id, [member.endpoint_id.encode()])
    headers.removeHeader(own.workspace)
    if call.workspace is not None:
        headers.setRawHeaders(own.workspace, [call.workspace.name.encode()])
    if call.streaming and call.events.last_id is not None:
        headers.setRawHeaders(own.last_event_id, [b"%d" % call.events.last_id])
    request = call.request
    request.content.seek(0)
    return pool.Message(request.method, request.uri, headers, request.content.read())


@defer.inlineCallbacks
def exchange(forward, call, member, connection):
    """One exchange with *member*: the state of the try."""
    head = yield pool.send(connection, outgoing(forward, call, member))
    own = forward.names
    echoed = head.headers.getRawHeaders(own.request_id, [None])[-1]
    if call.request_id is not None and echoed != call.request_id:
        forward.counters.incr("dropped.foreign_answer")
        raise closing(connection, "an answer to another request")
    if head.headers.hasHeader(own.not_run) or head.code == 421:
        yield drained(connection, head)
        not_run(forward, member, head)
        return NOT_RUN
    good = 200 <= head.code < 300
    if good and not head.headers.hasHeader(own.signature):
        raise closing(connection, "a success without a signature")
    if head.headers.hasHeader(b"content-encoding"):
        raise closing(connection, "an encoded body")
    if good and call.streaming:
        yield relay(forward, call, member, connection, head)
        forward.counters.incr("answered.stream")
        answers.finish(forward, call.request)
        return DONE
    body = bytearray()
    yield pool.read(connection, head, body.extend)
    if head.code >= 500:
        call.last_failure = head, bytes(body)
        return FAILED
    if call.over:
        raise closing(connection, "the caller is gone")
    forward.counters.incr("answered.plain")
    answers.copy_head(call.request, head, len(body))
    answers.finish(forward, call.request, bytes(body))
    return DONE


def not_run(forward, member, head):
    """Take note that *member* did not run a request, and whose fault it was."""
    forward.counters.incr("endpoint.not_run")
    now = forward.clock.now()
    at_fault = head.headers.getRawHeaders(forward.names.fault_at, [b""])[-1]
    elsewhere = at_fault and at_fault.decode("latin-1") != member.endpoint_id
    # 421 says that another endpoint is at this address now: no group stands.
    if head.code == 503 and elsewhere and forward.outages.suspect(member, now):
        forward.counters.incr("endpoint.group_stands")
    else:
        forward.picker.failed(member.endpoint_id, now)


def closing(connection, why):
    """Close *connection*; the ``Broken`` to raise."""
    connection.close()
    return pool.Broken(why)


@defer.inlineCallbacks
def drained(connection, head):
    """Read a refusal's body so that its connection can be used again."""
    try:
        yield pool.read(connection, head, len)
    except pool.Broken:
        connection.close()


@defer.inlineCallbacks
def relay(forward, call, member, connection, head):
    """Pass a stream's whole events on as they come."""
    request = call.request
    call.events.restart()
    service_pace = forward.pace(call)
    last_ms = None

    def on_data(data):
        nonlocal last_ms
        now = forward.clock.now()
        forward.picker.heard(member.endpoint_id, now)
        forward.outages.heard(member)
        out = call.events.feed(data)
        if not out or call.over:
            return
        if last_ms is not None:
            forward.counters.timed("pause", now - last_ms)
            if service_pace is not None:
                service_pace.saw(now - last_ms, now)
        if call.first_ms is None:
            call.first_ms = now - call.arrived_ms
            forward.counters.timed("first_event", call.first_ms)
        last_ms = now
        if not call.started:
            call.started = True
            answers.copy_head(request, head, None)
        request.write(out)

    yield pool.read(connection, head, on_data)
    if call.over:
        raise closing(connection, "the caller is gone")
    if call.events.partial:
        raise closing(connection, "a stream that ends within an event")
    if not call.started:
        call.started = True
        answers.copy_head(request, head, None)
