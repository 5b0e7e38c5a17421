"""Starts the product's processes as the deploy file says, on loopback addresses.

The settings file and the environment of a process are made from the fields of a small
deployment, with the placeholders that DEPLOY.md tells. Times are of the real clock.
"""

import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "revokeStrict": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 88,
    "recoveryS": 12,
    "iterationMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "fencingEnforced": False,
}


LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def desk_config(version, tenants):
    """A valid configuration of one service whose requests may run once at most.

    *tenants* are pairs of a name and a list of keys. Each version has a time-out of its
    own, so that no two have the same content.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "desk.example",
                "pathPrefix": "/confirm/",
                "routeKind": "non_idempotent",
                "timeoutMs": 1000 + version,
                "sloMs": 100,
                "priority": 1,
                "service": "desk",
                "maxAttempts": 2,
                "public": False,
                "sticky": False,
                "resumable": False,
            }
        ],
        "services": [
            {
                "name": "desk",
                "healthPath": "/healthz",
                "maxConns": 96,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": LIMITS,
        "tenants": [
            {"name": name, "apiKeys": keys, "priority": 1} for name, keys in tenants
        ],
    }


class CannotRun(Exception):
    """The case could not be set up."""


def lookup(fields, path):
    """The value of the dotted *path* in *fields*, or ``None``."""
    value = fields
    for part in path.split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        else:
            return None
    return value


def render(text, fields):
    """*text* with its placeholders filled in from *fields*."""

    def fill(match):
        value = lookup(fields, match[1])
        if match[2] or isinstance(value, dict):
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    return PLACEHOLDER.sub(fill, text)


def free_port(host):
    """A TCP port that is free on *host*."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """The record of a run: what was sent, answered and run, with times."""

    def __init__(self, path):
        self.began_s = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def now_s(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self.began_s

    def write(self, text):
        """Write one line with the time."""
        with self.lock:
            self.file.write(f"{self.now_s():8.3f} {text}\n")
            self.file.flush()


class Node:
    """A machine of the deployment and its process."""

    def __init__(self, deployment, name, role, host, fields):
        self.deployment = deployment
        self.name, self.role, self.host = name, role, host
        self.fields = fields
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.process = None

    def start(self):
        """Start the process with the deploy file's command."""
        spec = self.deployment.roles[self.role]
        settings = self.folder / "boot"
        template = (ROOT / spec["template"]).read_text()
        settings.write_text(render(template, self.fields))
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env = kept | {n: render(t, self.fields) for n, t in spec["env"].items()}
        env["DUNLINPOINT_NODE_FILE"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                render(spec["run"], self.fields).split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.fields["bootstrap"] = False
        self.deployment.record.write(f"{self.name} started, pid {self.process.pid}")

    def send_signal(self, number):
        """Send signal *number* to the process."""
        name = signal.Signals(number).name
        self.deployment.record.write(f"{self.name} gets {name}")
        self.process.send_signal(number)

    def wait(self, timeout_s):
        """Wait for the end of the process."""
        status = self.process.wait(timeout_s)
        self.deployment.record.write(f"{self.name} ended, status {status}")

    def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.wait(10)

    def lose_disk(self):
        """Empty the data folder of a process that has ended."""
        shutil.rmtree(self.fields["dataDir"])
        self.deployment.record.write(f"{self.name} has lost its disk")

    def log_text(self):
        """What the process has logged."""
        return (self.folder / "log").read_text(errors="replace")


class Deployment:
    """A small deployment: three zones, three core machines, some entries."""

    zones = ("zone-a", "zone-b", "zone-c")

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.roles = deploy["roles"]
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the deploy file's build")
        # Runs at the same time have different addresses.
        self.net = f"127.{20 + os.getpid() // 250 % 200}.{os.getpid() % 250}"
        first = self.address(1)
        self.control_port = free_port(first)
        self.inner_port = free_port(first)
        self.front_port = free_port(first)
        self.ready_port = free_port(first)
        self.nodes = []

    def address(self, number):
        """The loopback address with this last part."""
        return f"{self.net}.{number}"

    def fields(self, host, zone, **more):
        """The settings fields of a machine."""
        return {
            "ip": host,
            "zone": zone,
            "zones": dict.fromkeys(self.zones, "region"),
            "listen": {
                "controlPlane": f"{host}:{self.control_port}",
                "frontend": f"{host}:{self.front_port}",
                "ready": f"{host}:{self.ready_port}",
            },
            "internalPorts": [self.inner_port, self.inner_port],
            "seeds": [f"{self.address(i)}:{self.control_port}" for i in (1, 2, 3)],
            "bootstrap": False,
            "limits": {"memoryMb": 300},
            "heartbeatMs": 1200,
            "bounds": dict(BOUNDS),
        } | more

    def add_core(self, number, zone, bootstrap):
        """Add the core machine with the address *number*, not started yet."""
        host, name = self.address(number), f"core-{number}"
        data = self.folder / f"{name}-data"
        fields = self.fields(host, zone, dataDir=str(data), bootstrap=bootstrap)
        node = Node(self, name, "control", host, fields)
        self.nodes.append(node)
        return node

    def add_entry(self, number, zone):
        """Add the frontend machine with the address *number*, not started yet."""
        host = self.address(number)
        node = Node(self, f"front-{number}", "entry", host, self.fields(host, zone))
        self.nodes.append(node)
        return node

    def stop(self):
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)


def call(host, port, method, path, body=None, headers=None, timeout_s=1.0):
    """One HTTP call on a new connection; ``(status, body)``, or ``(None, why)``."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as exc:
        return None, repr(exc)
    finally:
        connection.close()


class Operator:
    """Sends configurations to the nodes that serve the control plane."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.acknowledged = {}

    def send_once(self, node, config):
        """Send *config* to *node* once; whether it was acknowledged."""
        status, _ = call(
            node.host,
            self.deployment.control_port,
            "POST",
            "/api/config/replace",
            json.dumps(config),
            {"Content-Type": "application/json"},
        )
        version = config["version"]
        self.deployment.record.write(f"version {version} to {node.name}: {status}")
        if status == 200:
            self.acknowledged[version] = config
        return status == 200

    def send(self, nodes, config, timeout_s=10.0):
        """Send *config* to *nodes* in turn until one acknowledges it; that node."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for node in nodes:
                if self.send_once(node, config):
                    return node
            time.sleep(0.2)
        return None

    def read(self, node):
        """The configuration that *node* answers, or ``None``."""
        status, body = call(
            node.host, self.deployment.control_port, "GET", "/api/config/read"
        )
        if status != 200:
            self.deployment.record.write(f"read at {node.name}: {status}")
            return None
        config = json.loads(body)
        version = config["version"]
        self.deployment.record.write(f"read at {node.name}: version {version}")
        return config


def run_case(folder, play):
    """Run ``play(deployment, trouble)``; exit with 1 if it returns a broken rule.

    *play* returns what broke a rule, or ``None``. Exit code 2: it could not run.
    """
    # A run that is stopped from outside ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("with the disruption" if trouble else "without the disruption")
    deployment = None
    try:
        deployment = Deployment(record)
        broken = play(deployment, trouble)
    except Exception as exc:
        record.write(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        sys.exit(2)
    finally:
        if deployment is not None:
            deployment.stop()
    verdict = f"broken: {broken}" if broken else "held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
