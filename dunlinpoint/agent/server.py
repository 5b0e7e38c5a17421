"""The agent's thrift handler, its heartbeats to control, and its drain.

Thrift calls from entries (an order is a ``GenerateOrder`` or ``CallOrder`` message):

- ``start`` opens a stream and forwards the request to the local engine;
  ``read`` returns the tokens from an offset, waiting up to ``wait_ms`` for
  new ones; ``cancel`` stops it.
- ``call`` forwards one plain-service call; non-idempotent operations go
  through the :mod:`keys` table so each key runs at most once.

While draining, new ``start`` and ``call`` orders are refused with ``Refused``
(guaranteed not executed) and a ``retry_after_ms``, so the entry can send them
to another endpoint at once. Work in flight finishes.
"""

from __future__ import annotations

import json

import attrs
from twisted.internet import defer, task
from zope.interface import implementer

from dunlinpoint import clock, http_calls, http_client, logs, metrics
from dunlinpoint.agent import (
    announce,
    calls,
    keys,
    rebalance_loop,
    streams,
    unmarked_ends,
)
from dunlinpoint.answers import life_check
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Agent, ttypes

log = logs.logger("agent")

HEARTBEAT_INTERVAL_MS = 300
BACKUP_TIMEOUT_MS = 800
LINGER_MS = 1500
DRAIN_RETRY_AFTER_MS = 200
RESUME_ATTEMPTS = 3
# Most bytes of one line of an engine's stream.
MAX_LINE_BYTES = 1024 * 1024


@attrs.define
class Settings:
    """Settings of one agent, validated by the CLI.

    ``backend`` and ``weights`` are URLs; ``controls`` is ``[(host, port)]``;
    ``announced`` is the ``(host, port)`` sent in heartbeats, by default the
    listening address.
    """

    endpoint_id: str
    zone: str
    host: str
    port: int
    kind: str
    backend: str
    controls: list
    group: str = ""
    announced: tuple | None = None
    weights: str = ""
    drain_timeout_ms: int = 30000
    incarnation: int = 0


@attrs.define
class State:
    """An agent's mutable state."""

    settings: Settings
    clock: clock.Clock
    counters: metrics.Counters
    announcer: announce.Announcer
    streams: streams.Streams
    keys: keys.Keys
    backups: rpc.Links
    life_checks: life_check.LifeChecks
    calls_in_flight: int = 0
    stopping: bool = False
    listed_as_leaving: bool = False
    document: ttypes.Document = attrs.field(
        factory=lambda: ttypes.Document(0, "", packed.EMPTY)
    )
    highest_fence: int = 0
    lease_ms: int = 0
    map_version: int = 0
    fetched_experts: set = attrs.field(factory=set)

    @classmethod
    def from_config(cls, settings, reactor, counters):
        """The state of an agent that has not sent a heartbeat yet."""
        announcer = announce.Announcer.from_config(reactor, settings.controls, counters)
        ms_clock = clock.Clock(reactor)
        return cls(
            settings,
            ms_clock,
            counters,
            announcer,
            streams.Streams(ms_clock),
            keys.Keys(ms_clock),
            rpc.Links(reactor, Agent.Client, BACKUP_TIMEOUT_MS),
            unmarked_ends.checks(reactor),
        )

    @property
    def draining(self):
        """Whether new work is refused: stopping, or listed as leaving."""
        return self.stopping or self.listed_as_leaving

    def refuse(self, reason, retry_after_ms=DRAIN_RETRY_AFTER_MS):
        """Count a refusal under *reason* and raise ``Refused`` (not executed)."""
        self.counters.refused(reason)
        raise ttypes.Refused(reason=reason, retry_after_ms=retry_after_ms)

    def load(self):
        """Number of open streams and calls in flight."""
        return self.streams.in_flight() + self.calls_in_flight


@implementer(Agent.Iface)
@attrs.define
class Handler:
    """Thrift methods of the ``Agent`` service."""

    state: State
    reactor: object

    def start(self, order):
        state = self.state
        if order.request_id in state.streams.by_id:
            return None
        if state.draining:
            state.refuse("draining")
        if state.settings.kind != "engine":
            state.refuse("not_an_engine")
        stream = state.streams.open(order.request_id)
        state.counters.incr("started")
        feed_stream(self.reactor, state, order, stream)
        return None

    @defer.inlineCallbacks
    def read(self, request_id, offset, wait_ms):
        stream = self.state.streams.by_id.get(request_id)
        if stream is None:
            self.state.refuse("unknown_request", 0)
        if offset >= len(stream.tokens) and not stream.done:
            changed = stream.next_change()
            timer = self.reactor.callLater(
                clock.seconds(wait_ms), lambda: changed.called or changed.callback(None)
            )
            yield changed
            if timer.active():
                timer.cancel()
        return ttypes.Chunk(
            request_id=request_id,
            offset=offset,
            tokens=stream.tokens[offset:],
            done=stream.done,
            error=stream.error,
        )

    @defer.inlineCallbacks
    def cancel(self, request_id):
        url = f"{self.state.settings.backend}/cancel/{request_id}"
        try:
            response = yield http_calls.default().post(url, timeout=1, unbuffered=True)
            yield http_client.discard(self.reactor, response)
        except Exception:
            self.state.counters.incr("cancel_failed")

    @defer.inlineCallbacks
    def call(self, order):
        state = self.state
        if state.draining:
            state.refuse("draining")
        idempotent = order.operation not in config.NON_IDEMPOTENT
        if not idempotent:
            if not order.idempotency_key:
                state.refuse("missing_idempotency_key", 0)
            prior = state.keys.claim(order.idempotency_key)
            if prior is None:
                prior = yield calls.claim_at_backup(state, order)
            if prior is not None:
                state.counters.incr(f"replayed.{prior.state}")
                return calls.replay(order, prior)
        state.calls_in_flight += 1
        try:
            result = yield calls.forward(state, order)
        finally:
            state.calls_in_flight -= 1
        if not idempotent:
            key_state = {"done": keys.DONE, "not_run": ""}.get(
                result.outcome, keys.UNKNOWN
            )
            calls.record_outcome(
                state, order, key_state, result.status, result.body_json
            )
        return result

    def claim(self, key):
        prior = self.state.keys.claim(key)
        return calls.record_message(prior)

    def settle(self, key, record):
        self.state.keys.record_outcome(
            key, record.state, record.status, record.body_json
        )

    def lookup(self, key):
        return calls.record_message(self.state.keys.by_key.get(key))


def feed_stream(reactor, state, order, stream):
    """Fill *stream* from the engine, resuming after a broken connection.

    Without this, a dropped engine connection would truncate the caller's
    response. Engine streams can be resumed from an offset, so the agent requests
    the remaining tokens again. It sends up to ``RESUME_ATTEMPTS`` requests in all
    before it ends the stream with an error.
    """

    @defer.inlineCallbacks
    def run():
        for _ in range(RESUME_ATTEMPTS):
            try:
                yield read_engine(state, order, stream)
                return
            except Exception as exc:
                state.counters.retried("engine_stream_broken")
                last = exc
                yield task.deferLater(reactor, 0.05, lambda: None)
        stream.finish(error=f"engine: {last}")

    run()


@defer.inlineCallbacks
def read_engine(state, order, stream):
    """Read tokens from the engine by one POST, from ``len(stream.tokens)`` on.

    Raises ``errors.OutcomeUnknown`` if the engine's response ends without its final
    line, or leaves out a piece.
    """
    payload = {
        "request_id": order.request_id,
        "prompt": order.prompt,
        "max_tokens": order.max_tokens,
        "priority": order.priority,
        "topic": parse_topic(order),
        "resume_from": len(stream.tokens),
    }
    response = yield http_calls.default().post(
        f"{state.settings.backend}/generate",
        data=json.dumps(payload).encode(),
        headers={"content-type": "application/json"},
        unbuffered=True,
    )
    pending = bytearray()
    ended = []

    def collect(data):
        pending.extend(data)
        while b"\n" in pending:
            line, _, rest = bytes(pending).partition(b"\n")
            pending[:] = rest
            piece = json.loads(line)
            if piece.get("done"):
                ended.append(piece)
            elif piece["i"] > len(stream.tokens):
                raise http_client.AnswerError("the engine left out a piece")
            elif piece["i"] == len(stream.tokens):
                stream.add([piece["t"]])
        too_many = len(stream.tokens) > order.max_tokens
        if len(pending) > MAX_LINE_BYTES or too_many:
            raise http_client.AnswerError("the engine's answer has no end")

    try:
        yield http_client.collect(response, collect)
    except http_client.UnmarkedEnd:
        # The final line marks the end of the stream as well as a last chunk would.
        pass
    except http_client.AnswerError as exc:
        raise errors.OutcomeUnknown(str(exc)) from exc
    if not ended:
        raise errors.OutcomeUnknown("engine stream ended early")
    stream.finish()


def parse_topic(order):
    """The expert topic number in a prompt that starts with ``#<number>``, else 0."""
    head = order.prompt.split(" ", 1)[0]
    return int(head[1:]) if head.startswith("#") and head[1:].isdigit() else 0


@defer.inlineCallbacks
def heartbeat(state):
    """Send one heartbeat and apply a newer document from its reply."""
    settings = state.settings
    host, port = settings.announced or (settings.host, settings.port)
    message = ttypes.Heartbeat(
        endpoint_id=settings.endpoint_id,
        zone=settings.zone,
        host=host,
        port=port,
        kind=settings.kind,
        load=state.load(),
        draining=state.draining,
        config_version=state.document.version,
        incarnation=settings.incarnation,
        group=settings.group,
    )
    reply = yield state.announcer.send_heartbeat(message)
    if reply is not None:
        state.lease_ms = reply.lease_ms
        apply_document(state, reply.document)


def apply_document(state, document):
    """Put *document* in force if it is newer than the current one.

    Also updates whether the document lists this endpoint as leaving.
    """
    if document is None or document.version <= state.document.version:
        return
    state.document = document
    log.info("document_in_force", version=document.version)
    leaving = rebalance_loop.decode_body(document).get("leaving", [])
    if state.listed_as_leaving != (state.settings.endpoint_id in leaving):
        state.listed_as_leaving = not state.listed_as_leaving
        log.info("told_to_leave", leaving=state.listed_as_leaving)


def start_heartbeats(reactor, state):
    """Send a heartbeat every ``HEARTBEAT_INTERVAL_MS`` until the reactor stops."""
    loop = task.LoopingCall(heartbeat, state)
    loop.clock = reactor
    loop.start(clock.seconds(HEARTBEAT_INTERVAL_MS))
    return loop


@defer.inlineCallbacks
def drain(reactor, state):
    """Refuse new work, notify control at once, wait for work in flight.

    Waits for ``drain_timeout_ms`` at most, then ``LINGER_MS`` for the last reads.
    """
    if state.stopping:
        return
    state.stopping = True
    log.info("draining", in_flight=state.load())
    yield heartbeat(state)
    deadline_ms = state.clock.now() + state.settings.drain_timeout_ms
    while state.load() and state.clock.now() < deadline_ms:
        yield task.deferLater(reactor, 0.05, lambda: None)
    # The entry may have read all tokens of a response but not its end. If the agent
    # exited now, the entry would have 300 of 300 tokens and an unknown outcome.
    yield task.deferLater(reactor, clock.seconds(LINGER_MS), lambda: None)
    yield heartbeat(state)
    log.info("drained", left=state.load())


def run(reactor, settings, counters):
    """Start an agent's thrift server, heartbeats and rebalancing; its ``State``."""
    state = State.from_config(settings, reactor, counters)
    rpc.serve(
        reactor, Agent.Processor(Handler(state, reactor)), settings.port, settings.host
    )
    start_heartbeats(reactor, state)
    if settings.kind == "engine":
        rebalance_loop.start_rebalancing(reactor, state)
    log.info("started", endpoint_id=settings.endpoint_id, zone=settings.zone)
    return state
