"""Services that never mark the ends of their answers.

Their endpoints send whole answers and close the connections in order. The entry checks
then whether the endpoint has crashed.
"""

import contextlib
import http.server
import itertools
import json
import socket
import threading
import time

import attrs
import pytest

from dunlinpoint.lab import deploy
from tests.integration import platform_lab, test_unmarked_ends, waits

SERVICES = ["solo", "full", "leaving"]
BODY = test_unmarked_ends.BODY
HEARTBEAT_INTERVAL_S = 0.3
# Longer than an entry waits before it checks an endpoint, and for a connection.
CHECK_S = 0.6
# Until all entries know of a change of an endpoint.
LEARNING_S = 1.5


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers with ``BODY``, without a length, and ends the connection."""

    protocol_version = "HTTP/1.0"

    def log_message(self, *args):
        pass

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header(platform_lab.ATTEMPT, self.headers[platform_lab.ATTEMPT])
        self.send_header(platform_lab.SIGNATURE, "i-solo")
        self.end_headers()
        self.wfile.write(BODY)


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """A platform with a route and a service for each of ``SERVICES``."""
    folder = tmp_path_factory.mktemp("close-delimited")
    for found in platform_lab.run(folder):
        doc = platform_lab.document(4)
        for name in SERVICES:
            route = platform_lab.route(f"/{name}/", "non_idempotent")
            doc["routes"].append(route | {"service": name})
            doc["services"].append(doc["services"][0] | {"name": name})
        status, text = found.admin("POST", "/api/config/replace", json.dumps(doc))
        assert status == 200, text
        yield found


def announce(platform, service, endpoint_id, port, number, state="ready"):
    """Send heartbeat *number* of an endpoint."""
    body = {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "z1",
        "slots": 4,
        "state": state,
        "seqNo": number,
    }
    path = f"/api/instances/{endpoint_id}/heartbeat"
    status, text = platform.admin("POST", path, json.dumps(body))
    assert status == 200, text


@contextlib.contextmanager
def announced(platform, service, port):
    """Announce the endpoint ``i-<service>`` at *port* meanwhile."""
    stopped = threading.Event()

    def run():
        for number in itertools.count(1):
            announce(platform, service, f"i-{service}", port, number)
            if stopped.wait(HEARTBEAT_INTERVAL_S):
                return

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join()


def first_answer(platform, path):
    """The first answer to a request for *path* that isn't refused."""

    def served():
        received = test_unmarked_ends.call(platform, path)
        return received if received.status != 503 else None

    return waits.wait_for(served)


@contextlib.contextmanager
def another_entry(platform):
    """The platform as callers of another entry see it."""
    port, ready = deploy.free_port(), deploy.free_port()
    process = platform_lab.start_another_entry(platform, port, ready)
    try:
        waits.wait_for(lambda: deploy.listening(port))
        yield attrs.evolve(platform, entry=process, entry_port=port)
    finally:
        process.kill()
        process.wait(10)


def test_an_endpoint_with_one_worker_serves_two_entries(platform):
    # Failure: the connection by which an entry checks that an endpoint has not crashed
    # stays open, the endpoint's only worker waits for a request on it, and the requests
    # of the other entry get a 504 at their deadline.
    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    with (
        announced(platform, "solo", server.server_port),
        another_entry(platform) as other,
    ):
        for entry in (platform, other):
            assert first_answer(entry, "/solo/x").body == BODY
            time.sleep(CHECK_S)
        for entry in (platform, other) * 3:
            received = test_unmarked_ends.call(entry, "/solo/x")
            assert (received.status, received.body) == (200, BODY), received
            time.sleep(CHECK_S)
    server.shutdown()


def read_request(connection):
    """The request id of the request that *connection* brings."""
    with connection.makefile("rb") as reader:
        reader.readline()
        lines = iter(reader.readline, b"\r\n")
        pairs = [line.decode().rstrip("\r\n").split(": ", 1) for line in lines]
        fields = {name.lower(): value for name, value in pairs}
        reader.read(int(fields["content-length"]))
    return fields[platform_lab.ATTEMPT.lower()]


def end_whole(connection, attempt, endpoint_id):
    """Send a whole answer on *connection*, which it ends in order."""
    run = test_unmarked_ends.unmarked_plain("close", len(BODY))
    connection.sendall(run.answer(attempt, endpoint_id, 0))
    time.sleep(test_unmarked_ends.PAUSE_S)
    connection.shutdown(socket.SHUT_WR)


def test_an_endpoint_whose_queue_is_full_has_not_crashed(platform):
    # Failure: an endpoint that goes on listening, but doesn't accept a connection in
    # time, is taken for crashed, and the caller of a request that ran gets a 502
    # instead of its whole answer.
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    port = listener.getsockname()[1]
    waiting = []

    def serve():
        connection, _ = listener.accept()
        with connection:
            attempt = read_request(connection)
            for _ in range(3):
                waiting.append(socket.socket())
                waiting[-1].setblocking(False)
                waiting[-1].connect_ex(("127.0.0.1", port))
            end_whole(connection, attempt, "i-full")

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    with announced(platform, "full", port):
        received = first_answer(platform, "/full/x")
    thread.join()
    for caller in waiting:
        caller.close()
    listener.close()
    test_unmarked_ends.assert_unmarked(received, 200, BODY, "i-full")


def serve_and_leave(platform, endpoint_id, listener):
    """Announce that an endpoint leaves, stop listening, and end its answer."""
    connection, _ = listener.accept()
    with connection:
        attempt = read_request(connection)
        port = listener.getsockname()[1]
        announce(platform, "leaving", endpoint_id, port, 1000, "draining")
        time.sleep(LEARNING_S)
        listener.close()
        end_whole(connection, attempt, endpoint_id)


def test_endpoints_that_leave_do_not_convict_a_request(platform):
    # Failure: an endpoint that leaves stops listening before it ends its last answers,
    # which counts as a crash. After three of them, a sound request is refused.
    for number in range(3):
        endpoint_id = f"i-leaving-{number}"
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        thread = threading.Thread(
            target=serve_and_leave,
            args=(platform, endpoint_id, listener),
            daemon=True,
        )
        thread.start()
        announce(platform, "leaving", endpoint_id, port, 1)
        first_answer(platform, "/leaving/x")
        thread.join()
        time.sleep(CHECK_S)
    refused = test_unmarked_ends.call(platform, "/leaving/x")
    assert refused.body == b"no_endpoint", refused
