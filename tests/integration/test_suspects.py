"""A request that crashes every endpoint that runs it, through real processes.

Guards against a caller that crashes an endpoint with each retry, because nothing is
recorded about a request after its attempt. Endpoints crash when they start to run the
request and restart a second later; the caller sends the same request again, to any
entry.
"""

import http.client
import itertools
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
RESTART_DELAY_S = 1.0
HEARTBEAT_INTERVAL_S = 0.3
# More than entries take to poll a control that has started again.
REPUBLISH_S = 2.0
# Events of a whole stream.
EVENTS = 3
# Body of the request that crashes endpoints, sent on a new connection each time.
CRASHING_BODY = b'{"ends": "whoever runs it"}'
# Parts of prompts: one that crashes endpoints, one that sound requests share with it.
CRASHING_PART, SHARED_PART = "f00d", "5a1e"
# Path segments that select how the answer to a stream ends: marked by a last chunk, or
# with its connection.
CHUNKED, WITHOUT_LENGTH = "chunked", "without-length"
# Program of an endpoint: signs its answers. It exits when it reads CRASHING_BODY, and
# when it has sent the head of an answer to a prompt with CRASHING_PART.
ENDPOINT = f"""
import http.server, os, sys
ATTEMPT, SIGNATURE = {platform_lab.ATTEMPT!r}, {platform_lab.SIGNATURE!r}
class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    def log_message(self, *args):
        pass
    def do_POST(self):
        if self.rfile.read(int(self.headers["Content-Length"])) == {CRASHING_BODY!r}:
            os._exit(1)
        if self.path.startswith("/stream/"):
            self.stream(self.path.endswith("{CHUNKED}"))
            return
        self.begin()
        self.send_header("Content-Length", "0")
        self.end_headers()
    def begin(self):
        self.send_response(200)
        self.send_header(ATTEMPT, self.headers[ATTEMPT])
        self.send_header(SIGNATURE, sys.argv[2])
    def stream(self, is_chunked):
        self.begin()
        self.send_header("Content-Type", "text/event-stream")
        if is_chunked:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        if "{CRASHING_PART}:" in self.headers["X-Dunlinpoint-Prefix-Hash"]:
            os._exit(1)
        for number in range(1, {EVENTS} + 1):
            data = b"id: %d\\ndata: piece\\n\\n" % number
            if is_chunked:
                data = b"%x\\r\\n%s\\r\\n" % (len(data), data)
            self.wfile.write(data)
        if is_chunked:
            self.wfile.write(b"0\\r\\n\\r\\n")
        self.close_connection = True
address = "127.0.0.1", int(sys.argv[1])
http.server.ThreadingHTTPServer(address, Handler).serve_forever()
"""


@attrs.define(eq=False)
class Endpoint:
    """An endpoint's process, which is restarted under the same id after a crash."""

    name: str
    port: int
    popen: subprocess.Popen | None = None
    started_ms: int = 0
    crashes: int = 0

    def start(self):
        argv = [sys.executable, "-c", ENDPOINT, str(self.port), self.name]
        self.popen = subprocess.Popen(argv)
        self.started_ms = int(time.time() * 1000)

    def heartbeat_body(self):
        """The body of a heartbeat request."""
        return {
            "service": "desk",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            "seqNo": 0,
            "born": self.started_ms,
        }


@attrs.define(eq=False)
class Lab:
    """A control with its entries and endpoints."""

    folder: object
    admin_port: int
    common: dict
    control: subprocess.Popen
    endpoints: list
    entry_ports: list = attrs.field(factory=list)
    entries: list = attrs.field(factory=list)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start_entry(self, index):
        """Start entry number *index* and wait until it is ready."""
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

    def restart_control(self):
        """Kill the control and start it again on its disk."""
        self.control.kill()
        self.control.wait(10)
        self.control = start_control(self.folder, self.common)
        wait_for(lambda: deploy.listening(self.admin_port))

    def restart_entry(self, index):
        """Kill entry number *index* and start it again."""
        self.entries[index].kill()
        self.entries[index].wait(10)
        self.start_entry(index)

    def ask(self, entry, attempt, body, prefix="/often/", key="key-1"):
        headers = {
            platform_lab.ATTEMPT: attempt,
            "X-Dunlinpoint-Deadline-Ms": "3000",
            "Authorization": f"Bearer {key}",
        }
        port = self.entry_ports[entry][0]
        status, _, text = platform_lab.ask(port, "POST", prefix + "x", body, headers)
        return status, text

    def ask_stream(self, entry, number, parts, ending):
        """Send a stream request unlike all others.

        Its prompt consists of *parts* and a part of its own. Returns the status, the
        body, and whether it ended as complete.
        """
        parts = [*parts, f"{number:08x}"]
        headers = {
            platform_lab.ATTEMPT: f"stream-{number}",
            "X-Dunlinpoint-Deadline-Ms": "3000",
            "X-Dunlinpoint-Prefix-Hash": ",".join(f"{part}:40" for part in parts),
            "Authorization": "Bearer key-1",
        }
        port = self.entry_ports[entry][0]
        path, body = f"/stream/{ending}", f"prompt {number}"
        try:
            status, _, text = platform_lab.ask(port, "POST", path, body, headers)
        except http.client.IncompleteRead as exc:
            return 200, exc.partial, False
        return status, text, True

    def admin(self, path, body):
        return platform_lab.ask(self.admin_port, "POST", path, json.dumps(body))[0]

    def supervise_endpoints(self):
        """Send the heartbeats of running endpoints, and restart crashed ones."""
        restart_s = {}
        while not self.stopped.wait(HEARTBEAT_INTERVAL_S):
            for endpoint in self.endpoints:
                if endpoint.popen.poll() is not None and endpoint not in restart_s:
                    endpoint.crashes += 1
                    restart_s[endpoint] = time.monotonic() + RESTART_DELAY_S
                if restart_s.get(endpoint, 0) > time.monotonic():
                    continue
                if restart_s.pop(endpoint, None):
                    endpoint.start()
                path = f"/api/instances/{endpoint.name}/heartbeat"
                try:
                    self.admin(path, endpoint.heartbeat_body())
                except OSError:
                    # The control is being restarted, or the test is over.
                    continue

    def is_any_down(self):
        """Whether an endpoint has crashed and not restarted yet."""
        return any(endpoint.popen.poll() is not None for endpoint in self.endpoints)

    def crash_count(self):
        """Number of endpoint crashes so far."""
        return sum(endpoint.crashes for endpoint in self.endpoints)

    def stop(self):
        self.stopped.set()
        for process in [self.control, *self.entries]:
            process.kill()
            process.wait(10)
        for endpoint in self.endpoints:
            endpoint.popen.kill()
            endpoint.popen.wait(10)


def start_control(folder, common, **settings):
    return platform_lab.start(
        folder,
        "control",
        ip="127.0.0.1",
        listen=common["seeds"],
        data=folder / "control",
        **settings,
        **common,
    )


@pytest.fixture
def lab(tmp_path):
    admin_port, inner = deploy.free_port(), deploy.free_port()
    seeds = f"127.0.0.1:{admin_port}"
    common = {"zone": "z1", "seeds": seeds, "inner_ports": inner, "revoke_ms": 5000}
    control = start_control(tmp_path, common, bootstrap="true")
    endpoints = [Endpoint(f"i-{n}", deploy.free_port()) for n in range(ENDPOINTS)]
    found = Lab(tmp_path, admin_port, common, control, endpoints)
    for endpoint in endpoints:
        endpoint.start()
    try:
        wait_for(lambda: deploy.listening(admin_port))
        threading.Thread(target=found.supervise_endpoints, daemon=True).start()
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


def send_crashing_request(lab, entry, number, prefix="/often/"):
    """Send the crashing request; returns once the endpoint has had time to restart."""
    answer = lab.ask(entry, f"g-{number}", CRASHING_BODY, prefix)
    time.sleep(RESTART_DELAY_S + 3 * HEARTBEAT_INTERVAL_S)
    return answer


def test_three_endpoints_crash_whichever_entries_the_caller_uses(lab):
    answers = [
        send_crashing_request(lab, number % ENTRIES, number) for number in range(5)
    ]
    assert lab.crash_count() == 3, answers
    assert answers[-2:] == [(503, b"convicted")] * 2
    assert lab.ask(0, "other-body", b"{}")[0] == 200


def test_a_non_idempotent_request_also_crashes_three_endpoints(lab):
    answers = [
        send_crashing_request(lab, number % ENTRIES, number, "/once/")
        for number in range(5)
    ]
    assert lab.crash_count() == 3, answers
    assert [status for status, _ in answers] == [502, 502, 502, 503, 503]


def test_a_restarted_entry_receives_convictions(lab):
    # The caller uses one entry until it is refused there. The other entry is killed and
    # restarts without any record of its own.
    for number in range(3):
        send_crashing_request(lab, 0, number)
    assert lab.crash_count() == 3
    lab.restart_entry(1)
    wait_for(lambda: lab.ask(1, "warm", b"{}")[0] == 200)
    assert send_crashing_request(lab, 1, 3) == (503, b"convicted")
    assert lab.crash_count() == 3


def test_an_entry_receives_convictions_after_all_controls_and_it_have_started_again(
    lab,
):
    # Guards against a request that crashes three more endpoints because the controls
    # have been killed since its conviction, and an entry starts that asks them.
    for number in range(3):
        send_crashing_request(lab, 0, number)
    lab.restart_control()
    wait_for(lambda: lab.ask(1, "warm-control", b"{}")[0] == 200)
    time.sleep(REPUBLISH_S)
    lab.restart_entry(1)
    wait_for(lambda: lab.ask(1, "warm-entry", b"{}")[0] == 200)
    assert send_crashing_request(lab, 1, 3) == (503, b"convicted")
    assert lab.crash_count() == 3


def test_another_caller_is_not_refused_for_the_same_request(lab):
    # Guards against a caller that gets the requests of others refused by sending the
    # same request.
    for number in range(3):
        send_crashing_request(lab, 0, number)
    assert lab.ask(0, "a", CRASHING_BODY)[1] == b"convicted"
    before = lab.crash_count()
    lab.ask(0, "b", CRASHING_BODY, "/once/", key="key-2")
    wait_for(lambda: lab.crash_count() == before + 1)


# Most endpoints that may end under one part, and most requests with it that may be sent
# to endpoints afterwards, as the users' rules state them.
MAX_ENDED, MAX_SENT_AFTERWARDS = 5, 3


@pytest.mark.parametrize("ending", [CHUNKED, WITHOUT_LENGTH])
def test_a_prompt_part_that_crashes_endpoints_is_refused_and_sound_requests_served(
    lab, ending
):
    # Guards against requests that share one part of their prompts and crash endpoint
    # after endpoint, as no two of them are alike, and sound requests of the same
    # caller with the other part that are refused for it.
    numbers = itertools.count()

    def ask(parts):
        number = next(numbers)
        return lab.ask_stream(number % ENTRIES, number, parts, ending)

    whole = ask([SHARED_PART, "b0"])
    status, body, is_complete = whole
    assert status == 200 and body.count(b"data:") == EVENTS
    assert is_complete
    faulty = []
    for _ in range(2 * (MAX_ENDED + MAX_SENT_AFTERWARDS)):
        faulty.append(ask([SHARED_PART, CRASHING_PART])[0])
        if lab.is_any_down():
            time.sleep(RESTART_DELAY_S + 3 * HEARTBEAT_INTERVAL_S)
    sound = [ask([SHARED_PART, f"b{number}"]) for number in range(10)]
    assert lab.crash_count() <= MAX_ENDED + MAX_SENT_AFTERWARDS, faulty
    assert set(faulty[-MAX_ENDED:]) == {503}
    assert sound.count(whole) >= len(sound) / 2, sound
