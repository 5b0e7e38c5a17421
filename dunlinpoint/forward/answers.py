"""Final answers: our own, and an endpoint's passed on.

Every one is written at once. Our own tell the caller when to come back where
the request has not run; none of ours bears an endpoint's signature.
"""

from dunlinpoint import logs

log = logs.logger("entry")

RETRY_AFTER_MS = 150
# How lately a majority of controls must have vouched for the document before
# a request is denied by it.
DENY_VOUCHED_MS = 2000
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
}


def header(request, name):
    """The last value of a request header as text, or ``None``."""
    value = request.getHeader(name)
    if isinstance(value, bytes):
        return value.decode("latin-1")
    return value


def answer(forward, request, status, reason, retry_ms=None, **why):
    """End *request* with a final answer of our own, at once.

    *why* holds the log line's fields beyond those every such answer has.
    """
    if 500 <= status or status in (408, 429):
        forward.counters.refused(reason)
    else:
        forward.counters.incr(f"denied.{reason}")
    vouched = forward.view.confirmed_ms
    log.warning(
        "answered_ourselves",
        request=header(request, forward.names.request_id),
        status=status,
        reason=reason,
        retry_ms=retry_ms if retry_ms is None else round(retry_ms),
        version=forward.table.version,
        vouched_ms=None if vouched is None else forward.clock.now() - vouched,
        in_flight=forward.in_flight,
        **why,
    )
    body = reason.encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"text/plain")
    request.setHeader(b"content-length", b"%d" % len(body))
    if retry_ms is not None:
        request.setHeader(b"retry-after", b"%.3f" % (retry_ms / 1000))
    finish(forward, request, body)


def not_run(forward, request, reason):
    """Refuse a request that certainly did not run, and say when to come back."""
    answer(forward, request, 503, reason, RETRY_AFTER_MS)


def deny(forward, request, status, reason):
    """Refuse what the document does not allow, if it is surely the newest.

    Just started, or cut off from the controls, an entry may hold a document
    that a newer one has replaced; a caller told 404 for a route just added
    does not come back, one told 503 does.
    """
    vouched = forward.view.confirmed_ms
    if forward.clock.now() - vouched > DENY_VOUCHED_MS:
        not_run(forward, request, f"{reason}_unsure")
    else:
        answer(forward, request, status, reason)


def finish(forward, request, body=b""):
    """Write *body*, end the answer, and close the connection while draining."""
    if forward.lifecycle.is_draining():
        request.channel.persistent = False
        if not request.startedWriting:
            request.setHeader(b"connection", b"close")
    if body:
        request.write(body)
    request.finish()


def copy_head(request, head, length):
    """The endpoint's status and headers as the caller's answer."""
    request.setResponseCode(head.code, head.phrase)
    for name, values in head.headers.getAllRawHeaders():
        if name.lower() not in HOP_BY_HOP and name.lower() != b"content-length":
            request.responseHeaders.setRawHeaders(name, values)
    if length is not None:
        request.setHeader(b"content-length", b"%d" % length)
