"""The platform's header names and paths, as its PROTOCOL page defines them."""

from dunlinpoint.forward import names

HEADERS = names.HeaderNames(
    request_id=b"X-Dunlinpoint-Attempt-Id",
    deadline_ms=b"X-Dunlinpoint-Deadline-Ms",
    signature=b"X-Dunlinpoint-Server-Signature",
    workspace=b"X-Dunlinpoint-Tenant",
    endpoint_id=b"X-Dunlinpoint-Target-Instance",
    instance_id=b"X-Dunlinpoint-Instance-Id",
    not_run=b"X-Dunlinpoint-Not-Executed",
    priority=b"X-Dunlinpoint-Request-Priority",
    fault_at=b"At-Server",
)
READY_PATH = "/api/readyz"
HEARTBEAT_PATH = "/api/instances/<endpoint_id>/heartbeat"
DEREGISTER_PATH = "/api/instances/<endpoint_id>/deregister"
REPLACE_PATH = "/api/config/replace"
READ_PATH = "/api/config/read"
EVACUATION_BEGIN_PATH = "/api/evacuations/<zone>/begin"
EVACUATION_FINISH_PATH = "/api/evacuations/<zone>/finish"
