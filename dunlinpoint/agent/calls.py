"""Calls to the local plain service, and the keys of those that run once."""

import treq
from twisted.internet import defer, error
from twisted.web import _newclient

from dunlinpoint import clock
from dunlinpoint.agent import keys
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

SERVICE_TIMEOUT_MS = 5000


def record_message(record):
    """A ``KeyRecord`` of *record*, empty for ``None``."""
    if record is None:
        return ttypes.KeyRecord("", 0, "")
    return ttypes.KeyRecord(record.state, record.status, record.body_json)


def replay(order, record):
    """The answer to a repeated non-idempotent call, without running it."""
    if record.state == keys.DONE:
        return ttypes.CallResult(
            order.request_id, "done", record.body_json, record.status
        )
    return ttypes.CallResult(order.request_id, "unknown", "{}", 0)


@defer.inlineCallbacks
def forward(state, order):
    """Send one call to the local service; a ``CallResult``.

    ``not_run`` only when the connection was refused: the service never saw
    the call. Any failure after the request may have been written is
    ``unknown``, since the service may have done the deed.
    """
    url = f"{state.settings.backend}/call/{order.operation}"
    headers = {"Idempotency-Key": order.idempotency_key or order.request_id}
    try:
        response = yield treq.post(
            url,
            data=order.body_json.encode(),
            headers=headers,
            timeout=clock.seconds(SERVICE_TIMEOUT_MS),
        )
        body = yield response.text()
    except (error.ConnectionRefusedError, error.ConnectError):
        state.counters.incr("service_refused_connection")
        return ttypes.CallResult(order.request_id, "not_run", "{}", 0)
    except (
        _newclient.ResponseNeverReceived,
        _newclient.ResponseFailed,
        defer.CancelledError,
        error.TimeoutError,
    ):
        state.counters.incr("service_lost")
        return ttypes.CallResult(order.request_id, "unknown", "{}", 0)
    return ttypes.CallResult(order.request_id, "done", body, response.code)


@defer.inlineCallbacks
def claim_at_backup(state, order):
    """What the second keeper of the key knows, or ``None`` once it is claimed.

    Without its claim the call is refused: run now, it could run again after
    this agent is gone.
    """
    if not order.backup_host:
        return None
    link = state.backups.to(order.backup_host, order.backup_port)
    try:
        prior = yield link.call("claim", order.idempotency_key)
    except errors.WireError:
        # Released here only: the backup may hold what became of an earlier
        # try, and the claim's answer, which would have said so, is lost.
        state.keys.settle(order.idempotency_key, "")
        state.refuse("backup_unreachable")
    if not prior.state:
        return None
    # What ran there is over or lost: it cannot be running here.
    known = prior.state if prior.state == keys.DONE else keys.UNKNOWN
    state.keys.settle(order.idempotency_key, known, prior.status, prior.body_json)
    return state.keys.by_key[order.idempotency_key]


def settle(state, order, became, status=0, body_json=""):
    """Note what became of a call here and at the key's second keeper."""
    state.keys.settle(order.idempotency_key, became, status, body_json)
    if order.backup_host:
        record = ttypes.KeyRecord(became, status, body_json)
        link = state.backups.to(order.backup_host, order.backup_port)
        link.call("settle", order.idempotency_key, record).addErrback(
            lambda failure: state.counters.retried("settle_lost")
        )
