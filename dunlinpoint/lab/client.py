"""Plain blocking HTTP calls to entries, for the load tool's checks and tests.

Answers are parsed into :class:`Answer`: status, headers, the streamed
lines, and the final line.
"""

import http.client
import json

import attrs

TIMEOUT_S = 30


@attrs.define
class Answer:
    """One entry answer."""

    status: int
    headers: dict
    lines: list

    @property
    def final(self):
        return self.lines[-1] if self.lines else {}

    @property
    def tokens(self):
        return [line["t"] for line in self.lines if "t" in line]


def post(port, path, body, headers=None):
    """POST JSON *body* to the entry at *port*; the ``Answer``."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.request(
            "POST",
            path,
            json.dumps(body),
            {"content-type": "application/json"} | (headers or {}),
        )
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    lines = [json.loads(line) for line in text.splitlines() if line.strip()]
    return Answer(response.status, dict(response.getheaders()), lines)


def get(port, path):
    """GET *path* from *port*; the JSON body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def generate(port, prompt, max_tokens=8, request_id=None, workspace="ws-0"):
    """One model request through the entry at *port*."""
    headers = {"x-request-id": request_id} if request_id else {}
    body = {"workspace": workspace, "prompt": prompt, "max_tokens": max_tokens}
    return post(port, "/v1/generate", body, headers)


def call(port, operation, key, body):
    """One plain-service call through the entry at *port*."""
    return post(port, f"/v1/call/{operation}", body, {"idempotency-key": key})


def fault(steer_port, mode, direction="both", delay_ms=0):
    """Put a fault in force at the proxy steered on *steer_port*."""
    order = {"mode": mode, "direction": direction, "delay_ms": delay_ms}
    return post(steer_port, "/fault", order).final
