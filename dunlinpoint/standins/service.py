"""An emulator of a plain service: antenna slots and harbour dues.

Non-idempotent calls (``slot_confirm``, ``slot_release``, ``dues_charge``) are
executed every time they arrive, as in the real services, so a duplicated call appears
as two executions with one idempotency key. Idempotent calls (``slot_lookup``,
``clearance_check``) only read.

Every execution is recorded in order. With a record file, each is also appended to it
as one JSON line, so that a test can read them after the process has exited.

HTTP: ``POST /call/<operation>`` with an ``Idempotency-Key`` header and a
JSON body; ``GET /executions``.
"""

import json
import os

import attrs
from klein import Klein
from twisted.internet import task

NON_IDEMPOTENT = frozenset({"slot_confirm", "slot_release", "dues_charge"})
IDEMPOTENT = frozenset({"slot_lookup", "clearance_check"})


@attrs.define
class Service:
    """Executions so far, slots by name, and the path of the record file."""

    record_path: str | None = None
    delay_ms: int = 0
    executions: list = attrs.field(factory=list)
    slots: dict = attrs.field(factory=dict)

    def execute(self, operation, key, payload):
        """Execute one call; returns its HTTP status and JSON-ready body."""
        if operation not in NON_IDEMPOTENT | IDEMPOTENT:
            return 404, {"error": f"no operation {operation}"}
        entry = {"operation": operation, "key": key, "payload": payload}
        self.executions.append(entry)
        if self.record_path:
            with open(self.record_path, "a") as record:
                record.write(json.dumps(entry) + "\n")
                record.flush()
                os.fsync(record.fileno())
        slot = payload.get("slot", "")
        if operation == "slot_confirm":
            self.slots[slot] = payload.get("customer", "")
        elif operation == "slot_release":
            self.slots.pop(slot, None)
        result = {"operation": operation, "key": key, "slot": self.slots.get(slot)}
        return 200, result


def app(service, reactor):
    """The service's HTTP interface as a Klein app."""
    web = Klein()

    @web.route("/call/<operation>", methods=["POST"])
    def call(request, operation):
        key = (request.getHeader("idempotency-key") or "").strip()
        payload = json.loads(request.content.read() or b"{}")

        def run():
            status, body = service.execute(operation, key, payload)
            request.setResponseCode(status)
            return json.dumps(body)

        return task.deferLater(reactor, service.delay_ms / 1000, run)

    @web.route("/executions", methods=["GET"])
    def executions(request):
        return json.dumps(service.executions)

    return web
