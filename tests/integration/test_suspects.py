"""A request that ends every endpoint that runs it, through real processes.

Symptom: one caller takes down an endpoint each time it comes back. Sequence: endpoints
end when they begin to run the request and are back a second later; the caller brings
the same request again, at any entry. Cause: nothing is remembered of a request once its
attempt is over.
"""

import json
import subprocess
import sys
import threading
import time

import attrs
import pytest

from dunlinpoint.lab import deploy
from tests.integration import platform_lab
from tests.integration.waits import wait_for

ENDPOINTS = 4
ENTRIES = 2
BACK_S = 1.0
BEAT_S = 0.3
# What a caller sends, on a connection of its own each time.
GUILTY = b'{"ends": "whoever runs it"}'
# Answers each request with its mark, and ends when it reads a guilty one.
ENDPOINT = f"""
import http.server, os, sys
class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    def log_message(self, *args):
        pass
    def do_POST(self):
        if self.rfile.read(int(self.headers["Content-Length"])) == {GUILTY!r}:
            os._exit(1)
        self.send_response(200)
        for name in ("{platform_lab.ATTEMPT}", "Content-Length"):
            value = "0" if name == "Content-Length" else self.headers[name]
            self.send_header(name, value)
        self.send_header("{platform_lab.SIGNATURE}", sys.argv[2])
        self.end_headers()
place = "127.0.0.1", int(sys.argv[1])
http.server.ThreadingHTTPServer(place, Handler).serve_forever()
"""


@attrs.define(eq=False)
class Endpoint:
    """One endpoint's process, started again under its id after it has ended."""

    name: str
    port: int
    popen: subprocess.Popen | None = None
    born_ms: int = 0
    ends: int = 0

    def start(self):
        argv = [sys.executable, "-c", ENDPOINT, str(self.port), self.name]
        self.popen = subprocess.Popen(argv)
        self.born_ms = int(time.time() * 1000)

    def beat(self):
        """The body of a heartbeat."""
        return {
            "service": "desk",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            "seqNo": 0,
            "born": self.born_ms,
        }


@attrs.define(eq=False)
class Lab:
    """A control, its entries and endpoints."""

    folder: object
    admin_port: int
    common: dict
    control: subprocess.Popen
    endpoints: list
    entry_ports: list = attrs.field(factory=list)
    entries: list = attrs.field(factory=list)
    ended: threading.Event = attrs.field(factory=threading.Event)

    def start_entry(self, index):
        """Start the entry *index*, and wait until it serves."""
        port, ready = self.entry_ports[index]
        self.entries[index] = platform_lab.start(
            self.folder,
            "entry",
            listen=f"127.0.0.1:{port}",
            ready=f"127.0.0.1:{ready}",
            grace_s=2,
            **self.common,
        )
        wait_for(lambda: deploy.listening(ready))
        wait_for(
            lambda: platform_lab.ask(ready, "GET", "/api/readyz")[0] == 200,
        )

    def ask(self, entry, attempt, body, prefix="/often/", key="key-1"):
        headers = {
            platform_lab.ATTEMPT: attempt,
            "X-Dunlinpoint-Deadline-Ms": "3000",
            "Authorization": f"Bearer {key}",
        }
        port = self.entry_ports[entry][0]
        status, _, text = platform_lab.ask(port, "POST", prefix + "x", body, headers)
        return status, text

    def admin(self, path, body):
        return platform_lab.ask(self.admin_port, "POST", path, json.dumps(body))[0]

    def keep_up(self):
        """Heartbeats of the endpoints that run; a new start of those that ended."""
        back_s = {}
        while not self.ended.wait(BEAT_S):
            for endpoint in self.endpoints:
                if endpoint.popen.poll() is not None and endpoint not in back_s:
                    endpoint.ends += 1
                    back_s[endpoint] = time.monotonic() + BACK_S
                if back_s.get(endpoint, 0) > time.monotonic():
                    continue
                if back_s.pop(endpoint, None):
                    endpoint.start()
                path = f"/api/instances/{endpoint.name}/heartbeat"
                try:
                    self.admin(path, endpoint.beat())
                except OSError:
                    return

    def ends(self):
        """How many endpoints have ended so far."""
        return sum(endpoint.ends for endpoint in self.endpoints)

    def stop(self):
        self.ended.set()
        for process in [self.control, *self.entries]:
            process.kill()
            process.wait(10)
        for endpoint in self.endpoints:
            endpoint.popen.kill()
            endpoint.popen.wait(10)


@pytest.fixture
def lab(tmp_path):
    admin_port, inner = deploy.free_port(), deploy.free_port()
    seeds = f"127.0.0.1:{admin_port}"
    common = {"zone": "z1", "seeds": seeds, "inner_ports": inner, "revoke_ms": 5000}
    control = platform_lab.start(
        tmp_path,
        "control",
        ip="127.0.0.1",
        listen=seeds,
        data=tmp_path / "control",
        bootstrap="true",
        **common,
    )
    endpoints = [Endpoint(f"i-{n}", deploy.free_port()) for n in range(ENDPOINTS)]
    found = Lab(tmp_path, admin_port, common, control, endpoints)
    for endpoint in endpoints:
        endpoint.start()
    try:
        wait_for(lambda: deploy.listening(admin_port))
        threading.Thread(target=found.keep_up, daemon=True).start()
        document = platform_lab.document(3, keys=("key-1",))
        document["tenants"].append({"name": "brand-b", "apiKeys": ["key-2"]})
        wait_for(lambda: found.admin("/api/config/replace", document) == 200)
        for index in range(ENTRIES):
            found.entry_ports.append((deploy.free_port(), deploy.free_port()))
            found.entries.append(None)
            found.start_entry(index)
            wait_for(lambda i=index: found.ask(i, "warm", b"{}")[0] == 200)
        yield found
    finally:
        found.stop()


def bring(lab, entry, number, prefix="/often/"):
    """One attempt of the guilty request, and the time that endpoints need after it."""
    answer = lab.ask(entry, f"g-{number}", GUILTY, prefix)
    time.sleep(BACK_S + 3 * BEAT_S)
    return answer


def test_three_endpoints_end_whichever_entries_the_caller_goes_to(lab):
    answers = [bring(lab, number % ENTRIES, number) for number in range(5)]
    assert lab.ends() == 3, answers
    assert answers[-2:] == [(503, b"convicted")] * 2
    assert lab.ask(0, "other-body", b"{}")[0] == 200


def test_a_caller_that_may_run_it_once_ends_three_endpoints_as_well(lab):
    answers = [bring(lab, number % ENTRIES, number, "/once/") for number in range(5)]
    assert lab.ends() == 3, answers
    assert [status for status, _ in answers] == [502, 502, 502, 503, 503]


def test_an_entry_that_starts_is_told_of_convictions(lab):
    # Sequence: the caller goes to one entry until it is refused there; the other one is
    # killed and starts again, and knows nothing of its own.
    for number in range(3):
        bring(lab, 0, number)
    assert lab.ends() == 3
    lab.entries[1].kill()
    lab.entries[1].wait(10)
    lab.start_entry(1)
    wait_for(lambda: lab.ask(1, "warm", b"{}")[0] == 200)
    assert bring(lab, 1, 3) == (503, b"convicted")
    assert lab.ends() == 3


def test_another_caller_is_not_refused_for_it(lab):
    # Symptom feared: a caller has what others ask refused by asking the same.
    for number in range(3):
        bring(lab, 0, number)
    assert lab.ask(0, "a", GUILTY)[1] == b"convicted"
    before = lab.ends()
    lab.ask(0, "b", GUILTY, "/once/", key="key-2")
    wait_for(lambda: lab.ends() == before + 1)
