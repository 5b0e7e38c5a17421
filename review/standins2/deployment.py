"""A small deployment on loopback addresses, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "plan.example"
HEARTBEAT_S = 1.2
START_LIMIT_S = 25
# The bounds, limits and intervals of the site file hoshizora-kyushu.
FIELDS = {
    "zones": dict.fromkeys(ZONES, "region-a"),
    "heartbeatMs": 1200,
    "limits": {"memoryMb": 300},
    "bounds": {
        "revokeMs": 5000,
        "graceS": 8,
        "retryBudgetRatio": 0.2,
        "retryWindowS": 10,
        "retrySlack": 88,
    },
}


def fill(text, fields):
    """Fill the placeholders that the project's deploy file uses."""

    def value(match):
        name, _, form = match[1].partition("|")
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        if isinstance(found, bool):
            return str(found).lower()
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^}]*)\}\}", value, text)


async def http(ip, port, method, path, body=b"", headers=(), timeout_s=2.0):
    """One request on a new connection: (status, body); status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            status = int((await reader.readline()).split()[1])
            return status, await read_body(reader)
    except (OSError, TimeoutError, EOFError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def read_body(reader):
    """The body of an answer, after its status line."""
    length, is_chunked = None, False
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.lower().partition(b":")
        if name == b"content-length":
            length = int(value)
        is_chunked = is_chunked or (name == b"transfer-encoding")
    if not is_chunked:
        return await (reader.read() if length is None else reader.readexactly(length))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    return body


class Node:
    """One process of the system on its own machine (a loopback address)."""

    def __init__(self, deployment, role, name, ip, zone):
        self.deployment, self.role = deployment, role
        self.name, self.ip, self.zone = name, ip, zone
        self.bootstrap, self.process = True, None
        self.settings = os.path.join(deployment.folder, f"{name}.settings")

    def fields(self):
        """The fields of the settings file."""
        own = self.deployment
        listen = {
            "frontend": f"{self.ip}:{own.port}",
            "ready": f"{self.ip}:{own.ready_port}",
            "controlPlane": f"{self.ip}:{own.admin_port}",
        }
        return FIELDS | {
            "zone": self.zone,
            "ip": self.ip,
            "listen": listen,
            "seeds": own.seeds,
            "internalPorts": [own.inner_port, own.inner_port + 15],
            "bootstrap": self.bootstrap,
            "dataDir": os.path.join(own.folder, f"data-{self.name}"),
        }

    def write_settings(self):
        """Write the settings file from the template, with the seeds of now."""
        template = (ROOT / self.deployment.roles[self.role]["template"]).read_text()
        with open(self.settings + ".new", "w") as out:
            out.write(fill(template, self.fields()))
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        """Start the process with the command and the environment of its role."""
        role = self.deployment.roles[self.role]
        self.write_settings()
        env = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env |= {n: fill(text, self.fields()) for n, text in role["env"].items()}
        # Metrics would take one more port of the machine.
        env |= {"DUNLIN_METRICS": "", "DUNLINPOINT_NODE_FILE": self.settings}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command, *args = role["run"].split()
        command = sys.executable if command == "python3" else command
        with open(
            os.path.join(self.deployment.folder, f"{self.name}.log"), "ab"
        ) as log:
            self.process = subprocess.Popen(
                [command, *args], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.bootstrap = False

    def terminate(self):
        """Send SIGTERM."""
        self.process.terminate()

    def kill(self):
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


def free_ports(ips, count):
    """*count* ports that are free on all *ips*."""
    found = []
    while len(found) < count:
        port = random.randint(20_000, 31_000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return found


class Deployment:
    """Core machines, frontends and servers, and the record of what happened."""

    def __init__(self, cores, fronts, spare_cores=0):
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(ROOT / "deploy" / "system.toml", "rb") as source:
            self.roles = tomllib.load(source)["roles"]
        net = f"127.{random.randint(20, 219)}.{random.randint(1, 250)}"
        core_ips = [f"{net}.{i + 1}" for i in range(cores + spare_cores)]
        front_ips = [f"{net}.{i + 101}" for i in range(fronts)]
        self.server_ip = f"{net}.201"
        ports = free_ports([*core_ips, *front_ips], 4)
        self.port, self.ready_port, self.admin_port, self.inner_port = ports
        self.seeds = [f"{ip}:{self.admin_port}" for ip in core_ips[:3]]
        all_cores = [
            Node(self, "control", f"core-{i + 1}", ip, ZONES[i % 3])
            for i, ip in enumerate(core_ips)
        ]
        # The machines that the operator's list names.
        self.cores, self.spare_cores = all_cores[:cores], all_cores[cores:]
        self.fronts = [
            Node(self, "entry", f"front-{i + 1}", ip, ZONES[i % 3])
            for i, ip in enumerate(front_ips)
        ]
        self.nodes = [*all_cores, *self.fronts]
        self.servers, self.lines, self.began_s = [], [], time.monotonic()
        self.beats = None

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began_s:8.3f} {text}")

    def write_record(self, folder):
        """Write the record to *folder*."""
        path = os.path.join(folder, "record.txt")
        with open(path, "w") as out:
            out.write("\n".join(self.lines) + "\n")

    async def start(self, servers, configuration):
        """Start everything; whether it serves in time."""
        for number in range(servers):
            server = Server(self, number)
            await server.start()
            self.servers.append(server)
        for node in [*self.cores, *self.fronts]:
            node.start()
        self.beats = asyncio.create_task(self.send_heartbeats())
        end_s = time.monotonic() + START_LIMIT_S
        while not await self.replace(configuration):
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(0.3)
        for front in self.fronts:
            while (await http(front.ip, self.ready_port, "GET", "/api/readyz"))[
                0
            ] != 200:
                if time.monotonic() > end_s:
                    return False
                await asyncio.sleep(0.2)
        # Servers announce themselves every 1.2 s.
        await asyncio.sleep(4)
        return True

    async def replace(self, configuration):
        """Send *configuration* to the core machines in turn until one acknowledges."""
        body, version = json.dumps(configuration).encode(), configuration["version"]
        for core in self.cores:
            status, _ = await http(
                core.ip, self.admin_port, "POST", "/api/config/replace", body
            )
            self.note(f"config version {version} sent to {core.name}: {status}")
            if status == 200:
                return True
        return False

    async def read(self, core):
        """The version that *core* reads back, or ``None``."""
        status, body = await http(core.ip, self.admin_port, "GET", "/api/config/read")
        version = json.loads(body)["version"] if status == 200 else None
        self.note(f"config read at {core.name}: {status}, version {version}")
        return version

    async def send_heartbeats(self):
        """Send the servers' heartbeats until the end."""
        while True:
            await asyncio.gather(*[server.send_heartbeat() for server in self.servers])
            await asyncio.sleep(HEARTBEAT_S)

    async def call(self, front, request_id, path, key):
        """One client's request; its status."""
        headers = [
            ("X-Dunlinpoint-Attempt-Id", request_id),
            ("X-Dunlinpoint-Deadline-Ms", "2000"),
        ]
        if key is not None:
            headers.append(("Authorization", f"Bearer {key}"))
        status, body = await http(
            front.ip, self.port, "POST", path, b"{}", headers, timeout_s=3
        )
        self.note(
            f"request {request_id} at {front.name}, key {key}: {status} {body[:30]}"
        )
        return status

    def stop(self):
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            node.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Server:
    """One server of the service "desk"."""

    def __init__(self, deployment, number):
        self.deployment, self.server_id = deployment, f"i-{number + 1}"
        self.zone, self.core_index = ZONES[number % 3], number
        self.sequence, self.port, self.listener = 0, 0, None
        self.ran = {}

    async def start(self):
        """Listen on a free port."""
        ip = self.deployment.server_ip
        self.listener = await asyncio.start_server(self.serve, ip, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def send_heartbeat(self):
        """Send a heartbeat to the core machine in use, or to the next ones."""
        own = self.deployment
        self.sequence += 1
        body = {
            "service": "desk",
            "address": f"{own.server_ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": self.sequence,
        }
        path = f"/api/instances/{self.server_id}/heartbeat"
        for _ in own.cores:
            core = own.cores[self.core_index % len(own.cores)]
            data = json.dumps(body).encode()
            status, _ = await http(core.ip, own.admin_port, "POST", path, data, (), 1.0)
            if status == 200:
                return
            self.core_index += 1

    async def serve(self, reader, writer):
        """Serve the requests of one connection, one at a time."""
        try:
            while line := await reader.readline():
                headers = {}
                while (header := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = header.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(await self.answer(line.split()[1].decode(), headers))
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # The other side has gone, or the script ends.
            pass
        finally:
            writer.close()

    async def answer(self, path, headers):
        """The answer to a request, which is run unless it is another server's."""
        request_id = headers.get("x-dunlinpoint-attempt-id", "")
        lines = [f"X-Dunlinpoint-Attempt-Id: {request_id}"]
        if headers.get("x-dunlinpoint-target-instance") != self.server_id:
            lines = ["HTTP/1.1 421 Misdirected Request", *lines]
            lines += ["X-Dunlinpoint-Not-Executed: 1", "Content-Length: 0", "", ""]
            return "\r\n".join(lines).encode()
        tenant = headers.get("x-dunlinpoint-tenant")
        self.ran[request_id] = tenant
        self.deployment.note(
            f"server {self.server_id} runs {request_id} {path}, tenant {tenant}"
        )
        await asyncio.sleep(0.02)
        body = f"done {request_id}"
        lines = ["HTTP/1.1 200 OK", *lines]
        lines += [f"X-Dunlinpoint-Server-Signature: {self.server_id}"]
        lines += [f"Content-Length: {len(body)}", "", body]
        return "\r\n".join(lines).encode()


def route(prefix, kind, timeout_ms=8000):
    """A route to the service "desk"."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "sloMs": 400,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 2 if kind == "idempotent" else 1,
        "public": False,
    }


def configuration(version, tenants, timeout_ms=8000):
    """A complete configuration; *tenants* maps a name to its keys."""
    return {
        "version": version,
        "routes": [
            route("/often/", "idempotent", timeout_ms),
            route("/once/", "non_idempotent", timeout_ms),
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
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": name, "apiKeys": keys, "priority": 1}
            for name, keys in tenants.items()
        ],
    }


def play(run, folder, deployment):
    """Run *run* on *deployment* and exit with 1 if the rule was broken, 0 or 2."""

    async def all_of_it():
        try:
            async with asyncio.timeout(110):
                return await run(deployment)
        except TimeoutError:
            deployment.note("the script took too long")
            return 2

    result = 2
    try:
        result = asyncio.run(all_of_it())
    except OSError as exc:
        deployment.note(f"could not run: {exc!r}")
    finally:
        deployment.stop()
        deployment.note(f"exit code {result}")
        deployment.write_record(folder)
    print("\n".join(deployment.lines[-4:]))
    sys.exit(result)
