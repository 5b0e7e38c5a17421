"""Configurable HTTP header names for the forwarding code.

``DEFAULT`` holds this project's own names; a deployment with other headers
passes its own :class:`HeaderNames`.
"""

import attrs


@attrs.frozen
class HeaderNames:
    """Header names as ``bytes``, in the case in which they are sent.

    - ``request_id``: identifies one attempt of a caller; the endpoint echoes it.
    - ``deadline_ms``: time left until the caller's deadline, in milliseconds.
    - ``signature``: set by an endpoint on each response that it generated itself.
    - ``workspace``: the caller's workspace; set only by the entry.
    - ``endpoint_id``: the intended endpoint; any other endpoint refuses the request.
    - ``not_run``: set by an endpoint that did not run the request.
    - ``priority``: 0 (most urgent) to 9.
    - ``fault_at``: the endpoint that caused a refusal, if it is a different one.
    - ``instance_id``: the id of an endpoint that answers a health check.
    - ``last_event_id``: id of the last event that the caller has received.
    """

    request_id: bytes = b"X-Request-Id"
    deadline_ms: bytes = b"X-Deadline-Ms"
    signature: bytes = b"X-Endpoint-Signature"
    workspace: bytes = b"X-Workspace"
    endpoint_id: bytes = b"X-Endpoint-Id"
    not_run: bytes = b"X-Not-Run"
    priority: bytes = b"X-Priority"
    fault_at: bytes = b"X-Fault-At"
    instance_id: bytes = b"X-Instance-Id"
    last_event_id: bytes = b"Last-Event-Id"


DEFAULT = HeaderNames()
