"""Blocking HTTP calls to entries, for the load tool's checks and tests.

Answers are parsed into :class:`Answer`: status, headers and the streamed JSON lines.
"""

import http.client
import json

import attrs

TIMEOUT_S = 30


@attrs.define
class Answer:
    """An entry's answer; *lines* holds its decoded JSON lines."""

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
    """POST *body* as JSON to 127.0.0.1:*port*; returns the ``Answer``."""
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
    """GET *path* from 127.0.0.1:*port*; returns the decoded JSON body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def generate(port, prompt, max_tokens=8, request_id=None, workspace="ws-0"):
    """Send one model request through the entry at *port*; its ``Answer``."""
    headers = {"x-request-id": request_id} if request_id else {}
    body = {"workspace": workspace, "prompt": prompt, "max_tokens": max_tokens}
    return post(port, "/v1/generate", body, headers)


def call(port, operation, key, body):
    """Send one plain-service call through the entry at *port*; its ``Answer``."""
    return post(port, f"/v1/call/{operation}", body, {"idempotency-key": key})


def fault(proxy_port, mode, direction="both", delay_ms=0):
    """Set the fault of the proxy whose HTTP interface listens on *proxy_port*."""
    body = {"mode": mode, "direction": direction, "delay_ms": delay_ms}
    return post(proxy_port, "/fault", body).final
