"""Calls to the local plain service, and the keys of non-idempotent ones."""

from twisted.internet import defer, error
from twisted.web import _newclient

from dunlinpoint import clock, http_calls, http_client
from dunlinpoint.agent import keys, unmarked_ends
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

SERVICE_TIMEOUT_MS = 5000


def record_message(record):
    """The ``KeyRecord`` message of *record*; an empty one for ``None``."""
    if record is None:
        return ttypes.KeyRecord("", 0, "")
    return ttypes.KeyRecord(record.state, record.status, record.body_json)


def replay(order, record):
    """The ``CallResult`` of a repeated non-idempotent call, which isn't run again."""
    if record.state == keys.DONE:
        return ttypes.CallResult(
            order.request_id, "done", record.body_json, record.status
        )
    return ttypes.CallResult(order.request_id, "unknown", "{}", 0)


@defer.inlineCallbacks
def forward(state, order):
    """Send one call to the local service; fires with a ``CallResult``.

    The outcome is ``not_run`` only if the connection was refused, as the service
    cannot have seen the call then. After any failure at which the request may
    have been written it is ``unknown``, since the service may have executed it; also if
    nothing marked the end of its answer and it has crashed.
    """
    backend = state.settings.backend
    url = f"{backend}/call/{order.operation}"
    headers = {"Idempotency-Key": order.idempotency_key or order.request_id}
    try:
        response = yield http_calls.default().post(
            url,
            data=order.body_json.encode(),
            headers=headers,
            timeout=clock.seconds(SERVICE_TIMEOUT_MS),
            unbuffered=True,
        )
        body = yield http_client.read(
            state.clock.reactor,
            response,
            timeout_ms=SERVICE_TIMEOUT_MS,
            is_whole=unmarked_ends.checker(state, backend, request=order.request_id),
        )
    except (error.ConnectionRefusedError, error.ConnectError):
        state.counters.incr("service_refused_connection")
        return ttypes.CallResult(order.request_id, "not_run", "{}", 0)
    except (
        _newclient.ResponseNeverReceived,
        _newclient.ResponseFailed,
        defer.CancelledError,
        error.TimeoutError,
        http_client.AnswerError,
    ):
        state.counters.incr("service_lost")
        return ttypes.CallResult(order.request_id, "unknown", "{}", 0)
    text = body.decode(errors="replace")
    return ttypes.CallResult(order.request_id, "done", text, response.code)


@defer.inlineCallbacks
def claim_at_backup(state, order):
    """The record of the key at its backup agent, or ``None`` if newly claimed there.

    Also ``None`` if the order names no backup. If the backup doesn't answer, the
    call is refused (raises ``Refused``): without the backup's claim it could run a
    second time after the loss of this agent.
    """
    if not order.backup_host:
        return None
    link = state.backups.to(order.backup_host, order.backup_port)
    try:
        prior = yield link.call("claim", order.idempotency_key)
    except errors.WireError:
        # Released here only: the backup may hold the outcome of an earlier
        # attempt, which the lost reply would have contained.
        state.keys.record_outcome(order.idempotency_key, "")
        state.refuse("backup_unreachable")
    if not prior.state:
        return None
    # The backup's record is of an earlier attempt, which has ended or was lost:
    # this agent had no record of the key, so it isn't running the call.
    known = prior.state if prior.state == keys.DONE else keys.UNKNOWN
    state.keys.record_outcome(
        order.idempotency_key, known, prior.status, prior.body_json
    )
    return state.keys.by_key[order.idempotency_key]


def record_outcome(state, order, key_state, status=0, body_json=""):
    """Record the outcome of a call here and at the key's backup agent.

    *key_state* is the new state of the key; an empty one releases it. The backup's
    reply isn't awaited; a failure is only counted (``settle_lost``).
    """
    state.keys.record_outcome(order.idempotency_key, key_state, status, body_json)
    if order.backup_host:
        record = ttypes.KeyRecord(key_state, status, body_json)
        link = state.backups.to(order.backup_host, order.backup_port)
        link.call("settle", order.idempotency_key, record).addErrback(
            lambda failure: state.counters.retried("settle_lost")
        )
