"""Operators control a deployment by its document and query it with ``dunlinctl``."""

import json
import subprocess
import sys
import threading

import attrs

from dunlinpoint.config import document as config
from dunlinpoint.lab import client
from tests.integration.waits import wait_for


def ctl(deployment, *argv):
    controls = ",".join(f"{host}:{port}" for host, port in deployment.controls)
    done = subprocess.run(
        [sys.executable, "-m", "dunlinpoint.cli.ctl", *argv, "--controls", controls],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return done.returncode, done.stdout


def apply(deployment, doc, expected, path):
    path.write_text(config.dump(doc))
    return ctl(deployment, "apply", str(path), "--expect", str(expected))


def lowest_entry_version(deployment):
    ports = [p for ports in deployment.entries_by_zone.values() for p in ports]
    return min(client.get(port, "/v1/status")["document_version"] for port in ports)


def engines_reached(deployment, prefix):
    """Simulated engines that received a request whose id starts with *prefix*."""
    found = set()
    for name, process in deployment.by_name.items():
        if name.startswith("engine-"):
            requests = client.get(process.port, "/requests")
            if any(request_id.startswith(prefix) for request_id in requests):
                found.add(name.removesuffix("-backend"))
    return found


def test_documents_limit_and_drain(deployment, tmp_path):
    # Guards against a document that is in force but not obeyed: one workspace exceeds
    # its limit and delays the others, or an endpoint that operators drain still
    # receives requests.
    small = config.Workspace(name="small", max_in_flight=1)
    doc = attrs.evolve(config.DEFAULT, workspaces=[small])
    code, _ = apply(deployment, doc, 0, tmp_path / "limit.json")
    assert code == 0
    wait_for(lambda: lowest_entry_version(deployment) >= 1)
    port = deployment.entries_by_zone["z1"][0]
    answers = []

    def long_request(number):
        answers.append(
            client.generate(port, "#1 long", 200, f"limit-{number}", workspace="small")
        )

    threads = [threading.Thread(target=long_request, args=(n,)) for n in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    assert sorted(answer.status for answer in answers) == [200, 429]
    refused = next(answer for answer in answers if answer.status == 429)
    assert refused.final["outcome"] == "not_run" and "Retry-After" in refused.headers
    assert len(engines_reached(deployment, "limit-")) == 1

    code, out = ctl(deployment, "drain", "engine-z1-0")
    assert code == 0 and json.loads(out)["accepted"]
    wait_for(lambda: lowest_entry_version(deployment) >= 2)
    wait_for(lambda: '"engine-z1-0"' in draining_lines(deployment))
    for number in range(12):
        client.generate(port, f"#2 after drain {number}", 2, f"drained-{number}")
    assert engines_reached(deployment, "drained-") == {"engine-z1-1"}
    code, _ = ctl(deployment, "drain", "engine-z1-0", "--back")
    assert code == 0
    wait_for(lambda: '"engine-z1-0"' not in draining_lines(deployment))


def draining_lines(deployment):
    """The lines of ``dunlinctl members`` that list draining endpoints."""
    _, out = ctl(deployment, "members")
    lines = [line for line in out.splitlines() if json.loads(line)["draining"]]
    return "\n".join(lines)


def test_outcome_of_a_call_can_be_looked_up(deployment):
    port = deployment.entries_by_zone["z2"][0]
    client.call(port, "dues_charge", "lookup-1", {"vessel": "trawler-9"})
    code, out = ctl(deployment, "outcome", "lookup-1")
    assert code == 0 and json.loads(out)["outcome"] == "done"
    code, out = ctl(deployment, "outcome", "never-sent")
    assert code == 1 and json.loads(out)["outcome"] == "not_known"


def test_engine_stops_for_a_disconnected_caller(deployment):
    # Guards against engines that continue to generate for disconnected callers, because
    # the cancellation does not reach the engine. A caller closes its connection in the
    # middle of a long stream.
    port = deployment.entries_by_zone["z2"][0]
    connection = client.http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    body = json.dumps({"prompt": "#3 left", "max_tokens": 5000})
    connection.request("POST", "/v1/generate", body, {"x-request-id": "left-1"})
    response = connection.getresponse()
    response.read(100)
    response.close()
    connection.close()
    assert wait_for(
        lambda: client.get(port, "/v1/status")["counters"].get("caller_left")
    )
    (engine,) = engines_reached(deployment, "left-1")
    backend = deployment.by_name[f"{engine}-backend"].port
    wait_for(lambda: sum(client.get(backend, "/load")["per_expert"]) == 0)
