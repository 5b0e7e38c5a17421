"""The processes of one local deployment on loopback.

A profile lists the zones, the numbers of entries, engine agents and service agents in
each, and the number of control instances (each with a data folder). Every process
gets a free port and its own log file in the deployment's folder, and is stopped by
its pid.
"""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time

import attrs

READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20


# Below the kernel's range of ephemeral ports. A port in that range could be taken by
# another process between its choice here and the listen call: the listening process
# then exited, while the port answered for the other one.
MIN_PORT, MAX_PORT = 20_000, 32_000
_ports = itertools.count(os.getpid() * 61)


def free_port():
    """An unused TCP port on 127.0.0.1; a port recurs only after all others."""
    while True:
        port = MIN_PORT + next(_ports) % (MAX_PORT - MIN_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def listening(port):
    """Whether something accepts connections on 127.0.0.1:*port*."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=0.2):
            return True
    except OSError:
        return False


@attrs.define
class Process:
    """One process of the deployment; *popen* is ``None`` until it is started."""

    name: str
    argv: list
    port: int
    log_path: str
    popen: subprocess.Popen | None = None

    def start(self):
        log = open(self.log_path, "ab")
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "dunlinpoint", *self.argv],
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """The exit code, or ``None`` if it is still running after *timeout_s*."""
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None


@attrs.define
class Deployment:
    """Processes by name, and the addresses that callers and tools need.

    ``steer_by_agent`` maps an agent to the HTTP port of the proxy in front of it.
    """

    folder: str
    by_name: dict = attrs.field(factory=dict)
    controls: list = attrs.field(factory=list)
    entries_by_zone: dict = attrs.field(factory=dict)
    steer_by_agent: dict = attrs.field(factory=dict)

    @classmethod
    def from_profile(cls, profile, folder):
        """The deployment that *profile* (a dict) describes, not yet started."""
        os.makedirs(folder, exist_ok=True)
        deployment = cls(folder)
        zones = profile["zones"]
        control_ports = [free_port() for _ in range(profile.get("controls", 3))]
        deployment.controls = [("127.0.0.1", p) for p in control_ports]
        controls_flag = ",".join(f"127.0.0.1:{p}" for p in control_ports)
        for i, port in enumerate(control_ports):
            peers = ",".join(
                f"127.0.0.1:{p}" for j, p in enumerate(control_ports) if j != i
            )
            deployment.add(
                f"control-{i}",
                port,
                ["control", "--control-id", f"c{i}", "--zone", zones[i % len(zones)]]
                + ["--port", str(port), "--peers", peers]
                + ["--data", os.path.join(folder, f"control-{i}")],
            )
        weights_port = free_port()
        deployment.add(
            "weights", weights_port, ["weights", "--port", str(weights_port)]
        )
        profile = profile | {"weights": f"http://127.0.0.1:{weights_port}"}
        for zone in zones:
            for i in range(profile.get("engines", 2)):
                deployment.add_endpoint(zone, "engine", i, controls_flag, profile)
            for i in range(profile.get("services", 1)):
                deployment.add_endpoint(zone, "service", i, controls_flag, profile)
            for i in range(profile.get("entries", 1)):
                port = free_port()
                deployment.entries_by_zone.setdefault(zone, []).append(port)
                deployment.add(
                    f"entry-{zone}-{i}",
                    port,
                    ["entry", "--zone", zone, "--port", str(port)]
                    + ["--controls", controls_flag],
                )
        return deployment

    def add(self, name, port, argv):
        log_path = os.path.join(self.folder, f"{name}.log")
        self.by_name[name] = Process(name, argv, port, log_path)

    def add_endpoint(self, zone, kind, i, controls_flag, profile):
        backend_port = free_port()
        name = f"{kind}-{zone}-{i}"
        if kind == "engine":
            argv = ["engine", "--port", str(backend_port)]
            argv += ["--ranks", str(profile.get("ranks", 4))]
            argv += ["--experts", str(profile.get("experts", 16))]
        else:
            record = os.path.join(self.folder, f"{name}.executions")
            argv = ["service", "--port", str(backend_port), "--record", record]
        self.add(f"{name}-backend", backend_port, argv)
        port = free_port()
        argv = ["agent", "--endpoint-id", name, "--zone", zone, "--port", str(port)]
        argv += ["--kind", kind, "--backend", f"http://127.0.0.1:{backend_port}"]
        argv += ["--controls", controls_flag, "--group", "planner"]
        if kind == "engine":
            argv += ["--weights", profile["weights"]]
        if profile.get("proxied"):
            listen, steer = free_port(), free_port()
            self.add(
                f"proxy-{name}",
                steer,
                ["proxy", "--listen", str(listen), "--steer", str(steer)]
                + ["--target", f"127.0.0.1:{port}"],
            )
            self.steer_by_agent[f"agent-{name}"] = steer
            argv += ["--announce", f"127.0.0.1:{listen}"]
        self.add(f"agent-{name}", port, argv)

    def start(self):
        """Start every process; wait until each listens and the controls vote.

        Raises ``RuntimeError`` if a process exits or a wait times out.
        """
        for process in self.by_name.values():
            process.start()
        self.wait_listening(self.by_name.values())
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self.settled(self.controls):
            if time.monotonic() > deadline:
                raise RuntimeError("controls do not vote within the ready timeout")

    def settled(self, controls):
        """Whether each of *controls* votes on changes, according to ``dunlinctl``."""
        flag = ",".join(f"{host}:{port}" for host, port in controls)
        done = subprocess.run(
            [sys.executable, "-m", "dunlinpoint.cli.ctl", "show", "--controls", flag],
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_S,
        )
        lines = [json.loads(line) for line in done.stdout.splitlines()]
        return len(lines) == len(controls) and all(x.get("settled") for x in lines)

    def wait_listening(self, processes):
        deadline = time.monotonic() + READY_TIMEOUT_S
        for process in processes:
            while not listening(process.port):
                if process.popen.poll() is not None:
                    raise RuntimeError(f"{process.name} exited: see {process.log_path}")
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{process.name} is not listening")
                time.sleep(0.05)
            if process.popen.poll() is not None:
                raise RuntimeError(f"{process.name} exited: see {process.log_path}")

    def restart(self, name):
        """Start process *name* again after it stopped; wait until it listens."""
        process = self.by_name[name]
        process.start()
        self.wait_listening([process])

    def stop(self, name, number=signal.SIGTERM):
        """Send signal *number* to process *name*; its exit code.

        ``None`` if it is still running after ``STOP_TIMEOUT_S``.
        """
        process = self.by_name[name]
        process.signal(number)
        return process.wait()

    def stop_all(self):
        """Stop every process that this deployment started, by pid."""
        for process in self.by_name.values():
            process.signal(signal.SIGTERM)
        for process in self.by_name.values():
            if process.popen is not None and process.wait(5) is None:
                process.signal(signal.SIGKILL)
                process.wait(5)

    def executions(self):
        """All executions that the service emulators recorded, ordered by file name."""
        found = []
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".executions"):
                with open(os.path.join(self.folder, name)) as record:
                    found += [json.loads(line) for line in record if line.strip()]
        return found
