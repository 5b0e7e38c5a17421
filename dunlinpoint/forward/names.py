"""Header names of a dialect of HTTP, so that forwarding knows none itself.

``DEFAULT`` is this project's own dialect; a deployment that speaks another
brings its own :class:`HeaderNames`.
"""

import attrs


@attrs.frozen
class HeaderNames:
    """Header names (``bytes``, as sent) by what they carry.

    - ``request_id``: names one try of a caller; an endpoint echoes it.
    - ``deadline_ms``: how long the caller still waits, in milliseconds.
    - ``signature``: an endpoint's mark on an answer that is its own.
    - ``workspace``: the caller's workspace, set by the entry only.
    - ``endpoint_id``: the endpoint a request is meant for; another refuses.
    - ``not_run``: an endpoint's word that it did not run the request.
    - ``priority``: 0 (first) to 9.
    - ``fault_at``: the endpoint at fault in a refusal, if it is another one.
    """

    request_id: bytes = b"X-Request-Id"
    deadline_ms: bytes = b"X-Deadline-Ms"
    signature: bytes = b"X-Endpoint-Signature"
    workspace: bytes = b"X-Workspace"
    endpoint_id: bytes = b"X-Endpoint-Id"
    not_run: bytes = b"X-Not-Run"
    priority: bytes = b"X-Priority"
    fault_at: bytes = b"X-Fault-At"
    last_event_id: bytes = b"Last-Event-Id"


DEFAULT = HeaderNames()
