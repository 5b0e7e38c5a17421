"""The entry's HTTP interface for callers.

- ``POST /v1/generate`` ``{workspace, prompt, max_tokens, priority}`` streams
  newline-delimited JSON: ``{"request_id", "i", "t"}`` per token, then one
  final line ``{"request_id", "done": true, "outcome": ...}``.
- ``POST /v1/call/<operation>`` with ``Idempotency-Key`` runs one plain
  service call.
- ``GET /v1/status`` shows the zone, the document version and counters.

Answers that end a request early are final and immediate: 503 with
``Retry-After`` and ``"outcome": "not_run"`` only when no agent started the
work; 504 with ``"outcome": "unknown"`` when it may have run.
"""

from __future__ import annotations

import json
import uuid

import attrs
from klein import Klein
from twisted.internet import defer

from dunlinpoint import clock, lifecycle, logs, metrics
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.entry import limits
from dunlinpoint.follow import view
from dunlinpoint.routing import endpoint_signals, owners, pick
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Agent, ttypes

log = logs.logger("entry")

AGENT_TIMEOUT_MS = 3000
READ_WAIT_MS = 1000
START_TRIES = 3
READ_TRIES = 5
RETRY_AFTER_S = 1


@attrs.define
class Entry:
    """An entry's state: its view, links to agents by address, counters."""

    reactor: object
    zone: str
    view: view.View
    counters: metrics.Counters
    links: rpc.Links
    clock: clock.Clock
    picker: pick.Picker
    work: limits.Work = attrs.field(factory=limits.Work)
    in_flight: int = 0
    lifecycle: lifecycle.Lifecycle = attrs.field(factory=lifecycle.begin)

    @classmethod
    def from_config(cls, reactor, zone, controls, counters):
        """An entry in *zone* following the controls at *controls*."""
        entry = cls(
            reactor,
            zone,
            view.View.from_config(reactor, zone, controls),
            counters,
            rpc.Links(reactor, Agent.Client, AGENT_TIMEOUT_MS),
            clock.Clock(reactor),
            pick.Picker(zone),
        )
        entry.view.on_document.append(entry.take)
        return entry

    def take(self, document):
        """Put a newer document's workspace limits in force."""
        doc = config.parse(packed.unpack(document.body))
        self.work.limit_by_name = {w.name: w.max_in_flight for w in doc.workspaces}

    def link(self, member):
        """The thrift link to *member*'s agent."""
        return self.links.to(member.host, member.port)


def final(request, status, body, retry_after_s=None):
    """Write a final JSON answer with *status*."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    if retry_after_s is not None:
        request.setHeader("retry-after", str(retry_after_s))
    return json.dumps(body).encode()


@defer.inlineCallbacks
def start(entry, order):
    """Start *order* on some engine agent; the member that took it, or ``None``.

    Only certain refusals and failed connections are retried on another
    agent: the work did not start there. A lost answer to ``start`` is
    retried on the same agent, where starting is idempotent by request id.
    """
    tried = set()
    for _ in range(START_TRIES):
        members = owners.engines(entry.view.live("engine"), entry.zone, order.prompt)
        member = entry.picker.pick(members, entry.clock.now(), tried)
        if member is None:
            break
        tried.add(pick.incarnation_key(member))
        for _ in range(2):
            try:
                yield entry.link(member).call("start", order)
                return member
            except ttypes.Refused as refused:
                entry.counters.retried(refused.reason)
                now = entry.clock.now()
                notice = endpoint_signals.Signal(backoff_ms=refused.retry_after_ms)
                entry.picker.signals.apply(
                    pick.incarnation_key(member), notice, now, now
                )
                break
            except errors.NotSent:
                entry.counters.retried("agent_unreachable")
                entry.picker.failed(pick.incarnation_key(member), entry.clock.now())
                break
            except errors.OutcomeUnknown:
                entry.counters.retried("start_lost")
        else:
            return member
    return None


def make_app(entry):
    """The Klein app of *entry*."""
    web = Klein()

    @web.route("/v1/generate", methods=["POST"])
    @defer.inlineCallbacks
    def generate(request):
        if entry.lifecycle.is_stopping():
            entry.counters.refused("draining")
            return final(request, 503, {"outcome": "not_run"}, RETRY_AFTER_S)
        body = json.loads(request.content.read() or b"{}")
        request_id = request.getHeader("x-request-id") or uuid.uuid4().hex
        order = ttypes.GenerateOrder(
            request_id=request_id,
            workspace=body.get("workspace", ""),
            prompt=body.get("prompt", ""),
            max_tokens=int(body.get("max_tokens", 16)),
            priority=int(body.get("priority", 0)),
            deadline_ms=0,
        )
        if not entry.work.enter(order.workspace):
            entry.counters.refused("workspace_limit")
            answer = {"request_id": request_id, "outcome": "not_run"}
            return final(request, 429, answer, RETRY_AFTER_S)
        entry.in_flight += 1
        member = None
        try:
            member = yield start(entry, order)
            if member is None:
                entry.counters.refused("no_engine")
                answer = {"request_id": request_id, "outcome": "not_run"}
                return final(request, 503, answer, RETRY_AFTER_S)
            entry.picker.began(pick.incarnation_key(member))
            request.setHeader("content-type", "application/x-ndjson")
            request.setHeader("x-request-id", request_id)
            last = yield relay(entry, request, member, request_id)
            return json.dumps(last).encode() + b"\n"
        except defer.CancelledError:
            # Klein cancels a request whose caller closed the connection. The
            # engine would write the rest of the answer for nobody.
            entry.counters.incr("caller_left")
            if member is not None:
                entry.link(member).call("cancel", request_id).addErrback(
                    lambda failure: entry.counters.retried("cancel_lost")
                )
            raise
        finally:
            entry.in_flight -= 1
            entry.work.leave(order.workspace)
            if member is not None:
                entry.picker.ended(pick.incarnation_key(member))

    @web.route("/v1/call/<operation>", methods=["POST"])
    @defer.inlineCallbacks
    def call(request, operation):
        if entry.lifecycle.is_stopping():
            entry.counters.refused("draining")
            return final(request, 503, {"outcome": "not_run"}, RETRY_AFTER_S)
        request_id = request.getHeader("x-request-id") or uuid.uuid4().hex
        key = request.getHeader("idempotency-key") or ""
        order = ttypes.CallOrder(
            request_id=request_id,
            operation=operation,
            idempotency_key=key,
            body_json=(request.content.read() or b"{}").decode(),
        )
        entry.in_flight += 1
        try:
            status, answer, retry = yield call_service(entry, order)
        finally:
            entry.in_flight -= 1
        answer["request_id"] = request_id
        return final(request, status, answer, retry)

    @web.route("/v1/status", methods=["GET"])
    def status(request):
        request.setHeader("content-type", "application/json")
        return json.dumps(
            {
                "zone": entry.zone,
                "document_version": entry.view.document.version,
                "members": len(entry.view.endpoints()),
                "counters": entry.counters.snapshot(),
            }
        )

    return web


@defer.inlineCallbacks
def relay(entry, request, member, request_id):
    """Copy the stream of *request_id* to the caller; the final line's dict.

    Each piece is checked for its request id and offset before it is
    written: a late or repeated read answer carries an offset already sent
    and is dropped, so the caller sees its own tokens once each, in order.
    """
    offset = 0
    failures = 0
    link = entry.link(member)
    while True:
        try:
            chunk = yield link.call("read", request_id, offset, READ_WAIT_MS)
        except (errors.WireError, ttypes.Refused) as exc:
            failures += 1
            entry.counters.retried("read_failed")
            if failures >= READ_TRIES:
                entry.counters.incr("gave_up.read")
                return {
                    "request_id": request_id,
                    "done": True,
                    "outcome": "unknown",
                    "tokens": offset,
                    "error": str(exc),
                }
            continue
        failures = 0
        if chunk.request_id != request_id or chunk.offset != offset:
            entry.counters.incr("dropped.mismatched_chunk")
            continue
        for token in chunk.tokens:
            line = {"request_id": request_id, "i": offset, "t": token}
            request.write(json.dumps(line).encode() + b"\n")
            offset += 1
        if chunk.done:
            outcome = "error" if chunk.error else "done"
            entry.counters.incr(f"answered.{outcome}")
            return {
                "request_id": request_id,
                "done": True,
                "outcome": outcome,
                "tokens": offset,
                "error": chunk.error,
            }


@defer.inlineCallbacks
def call_service(entry, order):
    """Route one service call; ``(status, answer dict, retry_after or None)``.

    A non-idempotent call goes to its key's owner only. An idempotent call
    whose agent cannot answer is tried on the next agent in the key's
    rendezvous order: repeating it harms nothing, and a caller should not
    be told "unknown" about a lookup that another agent can do.
    """
    key = order.idempotency_key or order.request_id
    ranked = owners.owners(entry.view.live("service"), key)
    if order.operation in config.NON_IDEMPOTENT:
        for backup in ranked[1:2]:
            order.backup_host, order.backup_port = backup.host, backup.port
        ranked = ranked[:1]
    answer = 503, {"outcome": "not_run"}, RETRY_AFTER_S
    if not ranked:
        entry.counters.refused("no_service")
    for member in ranked[:START_TRIES]:
        answer = yield call_one(entry, member, order, key)
        if answer[1]["outcome"] == "done" or answer[0] == 400:
            return answer
        entry.counters.retried(f"call_{answer[1]['outcome']}")
    return answer


@defer.inlineCallbacks
def call_one(entry, member, order, key):
    """One try of a service call at *member*."""
    try:
        result = yield entry.link(member).call("call", order)
    except ttypes.Refused as refused:
        entry.counters.refused(refused.reason)
        if refused.retry_after_ms == 0:
            return 400, {"outcome": "not_run", "reason": refused.reason}, None
        retry = max(1, refused.retry_after_ms // 1000)
        return 503, {"outcome": "not_run", "reason": refused.reason}, retry
    except errors.NotSent:
        entry.counters.refused("agent_unreachable")
        return 503, {"outcome": "not_run"}, RETRY_AFTER_S
    except errors.OutcomeUnknown:
        entry.counters.incr("gave_up.call_lost")
        return 504, {"outcome": "unknown", "key": key}, RETRY_AFTER_S
    if result.outcome == "done":
        entry.counters.incr("answered.call")
        try:
            body = json.loads(result.body_json)
        except ValueError:
            # The caller's own whole answer, though not the JSON it should be.
            body = result.body_json
        return result.status, {"outcome": "done", "body": body}, None
    if result.outcome == "not_run":
        entry.counters.refused("service_unreachable")
        return 503, {"outcome": "not_run"}, RETRY_AFTER_S
    entry.counters.incr("answered.unknown")
    return 504, {"outcome": "unknown", "key": key}, RETRY_AFTER_S
