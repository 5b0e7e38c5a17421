"""The processes of one run, each control and entry on its own loopback address.

Controls and entries run as ``python -m dunlinpoint.platform`` roles. Each backend is
reached through its own fault-injecting proxy, the process that entries know: a backend
crashes with it.
"""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

import attrs

from dunlinpoint.lab import client, deploy
from dunlinpoint.soak import cold, servers

CONTROLS = 3
ENTRIES = 2
BACKENDS = 4
ZONES = ("z1", "z2")
# The zone of the last backend; all others are in the other zone.
SMALL_ZONE = "z2"
HOST = "soak.example"
API_KEY = "key-1"
GRACE_S = 4
ENTRY_MEMORY_MB = 200
HEARTBEAT_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 2.0


def http_request(
    host, port, method, path, body=None, headers=None, timeout=CALL_TIMEOUT_S
):
    """One HTTP request on a new connection; ``(status, headers, body)``."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body, {"Host": HOST} | (headers or {}))
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


@attrs.define(eq=False)
class Node:
    """One control or entry process, and when faults or planned stops hit it."""

    name: str
    host: str
    role: str
    env: dict
    log_path: str
    popen: subprocess.Popen | None = None
    disturbed_s: list = attrs.field(factory=list)
    stopped_s: list = attrs.field(factory=list)
    start_count: int = 0

    def start(self):
        """Start the process; it must not be running."""
        env = os.environ | {f"DUNLIN_{k.upper()}": str(v) for k, v in self.env.items()}
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "dunlinpoint.platform", self.role],
                env=env,
                stdout=log,
                stderr=log,
            )
        self.env["bootstrap"] = "false"
        self.record_disturbance()
        self.start_count += 1

    def record_disturbance(self):
        """Record a fault on the process now; its time (monotonic, s)."""
        self.disturbed_s.append(time.monotonic())
        return self.disturbed_s[-1]

    def signal(self, number):
        """Send signal *number* to the process, if it is running."""
        self.record_disturbance()
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self):
        """Kill the process at the end of a run and wait; not recorded as a fault."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait(10)


@attrs.define(eq=False)
class Cluster:
    """The processes, backends and records of one run."""

    folder: str
    seed: int
    controls: list = attrs.field(factory=list)
    entries: list = attrs.field(factory=list)
    backends: list = attrs.field(factory=list)
    proxies: list = attrs.field(factory=list)
    executions: list = attrs.field(factory=list)
    arrivals: list = attrs.field(factory=list)
    admin_port: int = 0
    port: int = 0
    link_faults_s: list = attrs.field(factory=list)
    link_faults_s_by_id: dict = attrs.field(factory=dict)
    cold_per_s: float = 0
    unmarked_percent: int = servers.UNMARKED_PERCENT
    stop_event: threading.Event = attrs.field(factory=threading.Event)

    @classmethod
    def from_seed(cls, folder, seed):
        """The processes of *seed*'s run, not yet started."""
        cluster = cls(folder, seed)
        cluster.admin_port, cluster.port = deploy.free_port(), deploy.free_port()
        inner, ready = deploy.free_port(), deploy.free_port()
        # Concurrent runs must not reach one another, so each has its own addresses.
        net = f"127.{1 + os.getpid() % 200}.{seed % 250}"
        seeds = ",".join(f"{net}.{i + 1}:{cluster.admin_port}" for i in range(CONTROLS))
        common = {
            "seeds": seeds,
            "inner_ports": inner,
            "beat_ms": int(HEARTBEAT_INTERVAL_S * 1000),
        }
        for i in range(CONTROLS):
            host = f"{net}.{i + 1}"
            env = common | {"zone": ZONES[i % 2], "ip": host, "bootstrap": "true"}
            env |= {"listen": f"{host}:{cluster.admin_port}"}
            env |= {"zones": json.dumps(dict.fromkeys(ZONES, "region"))}
            env |= {"data": os.path.join(folder, f"data-{i}")}
            cluster.add(cluster.controls, f"control-{i}", host, "control", env)
        for i in range(ENTRIES):
            host = f"{net}.{i + 101}"
            env = common | {"zone": ZONES[i % 2], "listen": f"{host}:{cluster.port}"}
            env |= {"ready": f"{host}:{ready}", "grace_s": GRACE_S, "revoke_ms": 5000}
            env |= {"cold_overage": cold.OVERAGE, "cold_tolerance": cold.TOLERANCE}
            env |= {"memory_mb": ENTRY_MEMORY_MB}
            cluster.add(cluster.entries, f"entry-{i}", host, "entry", env)
        return cluster

    def add(self, nodes, name, host, role, env):
        """Add a control or entry process to *nodes*."""
        log = os.path.join(self.folder, f"{name}.log")
        nodes.append(Node(name, host, role, env, log))

    def start(self):
        """Start backends, proxies, nodes and heartbeats, without waiting for them."""
        rng = random.Random(self.seed)
        for i in range(BACKENDS):
            self.start_backend(f"i-{i}", random.Random(rng.random()))
        for node in self.controls + self.entries:
            node.start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def start_backend(self, server_id, rng):
        """Start one backend and the proxy in front of it."""
        backend = servers.Backend(
            server_id, "desk", rng, self.executions, arrivals=self.arrivals
        )
        backend.unmarked_percent = self.unmarked_percent
        backend.start()
        self.backends.append(backend)
        self.proxies.append(self.start_proxy(backend))

    def start_proxy(self, backend):
        """Start a proxy in front of *backend*; it and its two ports."""
        server_id = backend.server_id
        listen_port, fault_port = deploy.free_port(), deploy.free_port()
        log = os.path.join(self.folder, f"proxy-{server_id}.log")
        argv = ["proxy", "--listen", str(listen_port), "--steer", str(fault_port)]
        argv += ["--target", f"127.0.0.1:{backend.port}"]
        proxy = deploy.Process(f"proxy-{server_id}", argv, listen_port, log)
        proxy.start()
        return proxy, listen_port, fault_port

    def order_crash(self, index):
        """Let a backend crash in its next stream; a function that restarts it.

        The backend in the small zone and those that drain go on. ``None`` if there is
        no other.
        """
        others = [
            i
            for i, backend in enumerate(self.backends)
            if self.zone_of(backend.server_id) != SMALL_ZONE and not backend.draining
        ]
        if not others:
            return None
        index = others[index % len(others)]
        self.backends[index].crash = lambda: self.crash(index)
        return lambda: self.restart(index)

    def crash(self, index):
        """Kill the process of a backend."""
        backend = self.backends[index]
        backend.stopped = True
        backend.crashed_s.append(time.monotonic())
        self.proxies[index][0].signal(signal.SIGKILL)

    def restart(self, index):
        """Start a backend that has crashed on another port, as a new incarnation."""
        backend = self.backends[index]
        backend.crash = None
        if not backend.stopped:
            return
        self.proxies[index][0].wait()
        self.proxies[index] = self.start_proxy(backend)
        backend.born_ms = int(time.time() * 1000)
        threading.Thread(target=self.go_on, args=(index,), daemon=True).start()

    def go_on(self, index):
        """Send heartbeats of a backend again, once its proxy listens on both ports."""
        while not deploy.listening(self.proxies[index][2]):
            if self.stop_event.wait(0.05):
                return
        self.backends[index].stopped = False

    def zone_of(self, server_id):
        """The zone of a backend."""
        return SMALL_ZONE if server_id == f"i-{BACKENDS - 1}" else ZONES[0]

    def set_link_fault(self, index, mode, direction="both", delay_ms=0):
        """Set the fault on the link to backend *index*."""
        now_s, backend = time.monotonic(), self.backends[index]
        self.link_faults_s.append(now_s)
        self.link_faults_s_by_id.setdefault(backend.server_id, []).append(now_s)
        try:
            client.fault(self.proxies[index][2], mode, direction, delay_ms)
        except OSError:
            # A proxy that starts again forwards at once.
            if not backend.stopped:
                raise

    def post_to_any_control(self, path, body):
        """Post to the controls in turn; whether one acknowledged."""
        for node in self.controls:
            try:
                if (
                    http_request(node.host, self.admin_port, "POST", path, body)[0]
                    == 200
                ):
                    return True
            except (OSError, http.client.HTTPException):
                continue
        return False

    def send_heartbeats(self):
        """Send the backends' heartbeats until the run ends."""
        while not self.stop_event.wait(HEARTBEAT_INTERVAL_S):
            for backend, (_, listen_port, _) in zip(
                self.backends, self.proxies, strict=False
            ):
                if not backend.stopped:
                    self.send_heartbeat(backend, listen_port)

    def send_heartbeat(self, backend, port):
        """Send one heartbeat; whether a control acknowledged it."""
        backend.sequence += 1
        sent_s = time.monotonic()
        heartbeat = {
            "service": backend.service,
            "address": f"127.0.0.1:{port}",
            "zone": self.zone_of(backend.server_id),
            "slots": 8,
            "state": "draining" if backend.draining else "ready",
            "seqNo": backend.sequence,
            "coldLeftMs": backend.cold.left_ms(sent_s),
            "born": backend.born_ms,
        }
        path = f"/api/instances/{backend.server_id}/heartbeat"
        is_acknowledged = self.post_to_any_control(path, json.dumps(heartbeat))
        if is_acknowledged:
            backend.cold.reported(sent_s, time.monotonic())
        return is_acknowledged

    def stop(self):
        """Stop every process and backend that this run started."""
        self.stop_event.set()
        for node in self.controls + self.entries:
            node.kill()
        for proxy, _, _ in self.proxies:
            proxy.signal(signal.SIGKILL)
            proxy.wait(10)
        for backend in self.backends:
            backend.stop()
