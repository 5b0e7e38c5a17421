"""The entry's HTTP interface for callers.

- ``POST /v1/generate`` ``{workspace, prompt, max_tokens, priority}`` streams
  newline-delimited JSON: ``{"request_id", "i", "t"}`` per token, then one
  final line ``{"request_id", "done": true, "outcome": ...}``.
- ``POST /v1/call/<operation>`` with ``Idempotency-Key`` runs one plain
  service call.
- ``GET /v1/status`` shows the zone, the document version and counters.

A response that ends a request early is sent at once and is final: 503 with
``Retry-After`` and ``"outcome": "not_run"`` only if no agent started the request;
504 with ``"outcome": "unknown"`` if it may have run.
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
MAX_ATTEMPTS = 3
MAX_READ_FAILURES = 5
RETRY_AFTER_S = 1


@attrs.define
class Entry:
    """State of an entry: its view, links to agents by address, and counters."""

    reactor: object
    zone: str
    view: view.View
    counters: metrics.Counters
    links: rpc.Links
    clock: clock.Clock
    picker: pick.Picker
    workspace_limiter: limits.InFlightLimiter = attrs.field(
        factory=limits.InFlightLimiter
    )
    in_flight: int = 0
    lifecycle: lifecycle.Lifecycle = attrs.field(factory=lifecycle.begin)

    @classmethod
    def from_config(cls, reactor, zone, controls, counters):
        """Return an entry in *zone* that polls the controls at *controls*."""
        entry = cls(
            reactor,
            zone,
            view.View.from_config(reactor, zone, controls),
            counters,
            rpc.Links(reactor, Agent.Client, AGENT_TIMEOUT_MS),
            clock.Clock(reactor),
            pick.Picker(zone),
        )
        entry.view.on_document.append(entry.apply_document)
        return entry

    def apply_document(self, document):
        """Apply the workspace limits of a newer document."""
        doc = config.parse_accepted(packed.unpack(document.body))
        self.workspace_limiter.limit_by_name = {
            w.name: w.max_in_flight for w in doc.workspaces
        }

    def link(self, member):
        """Return the thrift link to the agent of *member*."""
        return self.links.to(member.host, member.port)


def json_response(request, status, body, retry_after_s=None):
    """Set status and headers of a final response; return the JSON body."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    if retry_after_s is not None:
        request.setHeader("retry-after", str(retry_after_s))
    return json.dumps(body).encode()


@defer.inlineCallbacks
def start(entry, order):
    """Start the request *order* at an engine agent; return its member, or ``None``.

    Another agent is tried only after a refusal or a failed connection, since the
    request certainly did not start there. If the response to ``start`` is lost, the
    same agent is tried again, where ``start`` is idempotent by request id.
    """
    tried = set()
    for _ in range(MAX_ATTEMPTS):
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
                signal = endpoint_signals.Signal(backoff_ms=refused.retry_after_ms)
                entry.picker.signals.apply(
                    pick.incarnation_key(member), signal, now, now
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
    """Return the Klein app of *entry*."""
    web = Klein()

    @web.route("/v1/generate", methods=["POST"])
    @defer.inlineCallbacks
    def generate(request):
        if entry.lifecycle.is_stopping():
            entry.counters.refused("draining")
            return json_response(request, 503, {"outcome": "not_run"}, RETRY_AFTER_S)
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
        if not entry.workspace_limiter.acquire(order.workspace):
            entry.counters.refused("workspace_limit")
            answer = {"request_id": request_id, "outcome": "not_run"}
            return json_response(request, 429, answer, RETRY_AFTER_S)
        entry.in_flight += 1
        member = None
        try:
            member = yield start(entry, order)
            if member is None:
                entry.counters.refused("no_engine")
                answer = {"request_id": request_id, "outcome": "not_run"}
                return json_response(request, 503, answer, RETRY_AFTER_S)
            entry.picker.began(pick.incarnation_key(member))
            request.setHeader("content-type", "application/x-ndjson")
            request.setHeader("x-request-id", request_id)
            last = yield relay(entry, request, member, request_id)
            return json.dumps(last).encode() + b"\n"
        except defer.CancelledError:
            # Klein cancels a request whose caller closed the connection. Without the
            # ``cancel`` the engine would go on generating tokens that nobody reads.
            entry.counters.incr("caller_left")
            if member is not None:
                entry.link(member).call("cancel", request_id).addErrback(
                    lambda failure: entry.counters.retried("cancel_lost")
                )
            raise
        finally:
            entry.in_flight -= 1
            entry.workspace_limiter.release(order.workspace)
            if member is not None:
                entry.picker.ended(pick.incarnation_key(member))

    @web.route("/v1/call/<operation>", methods=["POST"])
    @defer.inlineCallbacks
    def call(request, operation):
        if entry.lifecycle.is_stopping():
            entry.counters.refused("draining")
            return json_response(request, 503, {"outcome": "not_run"}, RETRY_AFTER_S)
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
            status, answer, retry_after_s = yield call_service(entry, order)
        finally:
            entry.in_flight -= 1
        answer["request_id"] = request_id
        return json_response(request, status, answer, retry_after_s)

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
    """Copy the stream of *request_id* to the caller; return the final line's dict.

    The request id and offset of each chunk are checked before it is written: a
    delayed or repeated response to ``read`` has an offset that was already sent and
    is dropped, so the caller receives each of its own tokens once and in order.
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
            if failures >= MAX_READ_FAILURES:
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
    """Route one service call.

    Returns ``(status, response dict, Retry-After in seconds or None)``.

    A non-idempotent call is sent only to the owner of its key. An agent of an evacuated
    zone gets no call, but may be the backup that holds the key. If the agent of an
    idempotent call cannot answer, the next agent in the rendezvous order of the key
    is tried: repeating the call is safe, and a caller should not receive "unknown"
    for a lookup that another agent can serve.
    """
    key = order.idempotency_key or order.request_id
    live = entry.view.live("service")
    if order.operation in config.NON_IDEMPOTENT:
        owner, backup = owners.owner_and_backup(
            live, entry.view.evacuated("service"), key
        )
        ranked = [] if owner is None else [owner]
        if backup is not None:
            order.backup_host, order.backup_port = backup.host, backup.port
    else:
        ranked = owners.owners(live, key)
    answer = 503, {"outcome": "not_run"}, RETRY_AFTER_S
    if not ranked:
        entry.counters.refused("no_service")
    for member in ranked[:MAX_ATTEMPTS]:
        answer = yield call_member(entry, member, order, key)
        if answer[1]["outcome"] == "done" or answer[0] == 400:
            return answer
        entry.counters.retried(f"call_{answer[1]['outcome']}")
    return answer


@defer.inlineCallbacks
def call_member(entry, member, order, key):
    """Make one attempt of a service call at *member*.

    Returns the same as :func:`call_service`.
    """
    try:
        result = yield entry.link(member).call("call", order)
    except ttypes.Refused as refused:
        entry.counters.refused(refused.reason)
        if refused.retry_after_ms == 0:
            return 400, {"outcome": "not_run", "reason": refused.reason}, None
        retry_after_s = max(1, refused.retry_after_ms // 1000)
        return 503, {"outcome": "not_run", "reason": refused.reason}, retry_after_s
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
            # The response is complete and belongs to this call, but is not valid JSON.
            body = result.body_json
        return result.status, {"outcome": "done", "body": body}, None
    if result.outcome == "not_run":
        entry.counters.refused("service_unreachable")
        return 503, {"outcome": "not_run"}, RETRY_AFTER_S
    entry.counters.incr("answered.unknown")
    return 504, {"outcome": "unknown", "key": key}, RETRY_AFTER_S
