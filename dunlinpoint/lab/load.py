"""The load and experiment tool: runs a local deployment under load and reports.

``python -m dunlinpoint.lab.load [--profile NAME] [--requests N]`` starts the named
profile's processes on loopback. It sends model requests whose expert topics drift
(Hoshizora's pass windows, the Port Dues morning rush) and plain-service calls, and
applies a new document through ``dunlinctl``. It prints one JSON summary: requests
with a complete answer of their own, latency percentiles (HDR histogram), step-time
skew, duplicated executions, and the seconds until the new document was in force on
all processes.

The number of requests and the run time are bounded; every process is stopped by pid.
"""

import argparse
import concurrent.futures
import json
import os
import subprocess
import sys
import tempfile
import time

import hdrh.histogram

from dunlinpoint.config import document as config
from dunlinpoint.lab import client, deploy

PROFILES = {
    "default": {
        "zones": ["z1", "z2"],
        "controls": 3,
        "entries": 1,
        "engines": 2,
        "services": 1,
        "drift": "pass_windows",
    },
    "port-dues": {
        "zones": ["sullivans-cove", "macquarie-point", "kingston"],
        "controls": 3,
        "entries": 2,
        "engines": 2,
        "services": 1,
        "drift": "morning_rush",
    },
}
WORKERS = 16
IN_FORCE_TIMEOUT_S = 10


def topic(drift, i, total):
    """The expert topic of request *i* of *total* under the pattern *drift*."""
    phase = i / max(1, total)
    if drift == "morning_rush":
        return 0 if phase < 0.5 else 8
    return int(phase * 4) * 4


def run_ctl(controls, *argv):
    done = subprocess.run(
        [sys.executable, "-m", "dunlinpoint.cli.ctl", *argv, "--controls", controls],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return done.stdout


def drive(deployment, profile, count):
    """Send *count* model requests and *count* // 4 slot confirmations.

    Returns the number of model requests with a complete answer of their own, the
    latency histogram (ms) and the answers to the confirmations.
    """
    ports = [p for ports in deployment.entries_by_zone.values() for p in ports]
    latency = hdrh.histogram.HdrHistogram(1, 60_000, 3)
    answers = {}

    def send_request(i):
        start_s = time.monotonic()
        prompt = f"#{topic(profile['drift'], i, count)} request {i}"
        answer = client.generate(ports[i % len(ports)], prompt, 8, f"req-{i}")
        latency.record_value(max(1, int((time.monotonic() - start_s) * 1000)))
        return i, answer

    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for i, answer in pool.map(send_request, range(count)):
            answers[i] = answer
        calls = list(
            pool.map(
                lambda i: client.call(
                    ports[i % len(ports)], "slot_confirm", f"slot-{i}", {"slot": i}
                ),
                range(count // 4),
            )
        )
    own_answers = sum(
        1
        for i, a in answers.items()
        if a.final.get("outcome") == "done"
        and {line["request_id"] for line in a.lines} == {f"req-{i}"}
    )
    return own_answers, latency, calls


def run_experiment(deployment, profile, count):
    """Run the experiment; returns the summary as a dict."""
    controls = ",".join(f"{h}:{p}" for h, p in deployment.controls)
    own_answers, latency, calls = drive(deployment, profile, count)
    executions = deployment.executions()
    keys = [e["key"] for e in executions]
    step_reports = []
    for name, process in deployment.by_name.items():
        if name.startswith("engine-") and name.endswith("-backend"):
            report = client.get(process.port, "/steps")
            step_reports.append(report)
    path = os.path.join(deployment.folder, "next.json")
    with open(path, "w") as out:
        out.write(config.dump(config.DEFAULT))
    shown = [json.loads(line) for line in run_ctl(controls, "show").splitlines()]
    current = max(s.get("version", 0) for s in shown)
    start_s = time.monotonic()
    applied = json.loads(run_ctl(controls, "apply", path, "--expect", str(current)))
    in_force_s = None
    while time.monotonic() - start_s < IN_FORCE_TIMEOUT_S:
        ports = [p for ps in deployment.entries_by_zone.values() for p in ps]
        seen = {client.get(p, "/v1/status")["document_version"] for p in ports}
        seen |= {
            json.loads(line)["version"]
            for line in run_ctl(controls, "members").splitlines()
        }
        if seen == {applied.get("version")}:
            in_force_s = round(time.monotonic() - start_s, 2)
            break
        time.sleep(0.1)
    return {
        "requests": count,
        "answered_own_whole": own_answers,
        "latency_ms": {q: latency.get_value_at_percentile(q) for q in (50, 95, 99)},
        "calls": len(calls),
        "calls_done": sum(1 for c in calls if c.final.get("outcome") == "done"),
        "executions_doubled": len(keys) - len(set(keys)),
        "mixed_map_steps": sum(len(s["mixed_steps"]) for s in step_reports),
        "step_skew_ms_p99": max((s["skew_ms_p99"] for s in step_reports), default=0),
        "document_applied": applied,
        "document_in_force_everywhere_s": in_force_s,
    }


def wait_members(deployment, timeout_s=15):
    """Wait until every entry sees every agent.

    Raises ``RuntimeError`` after *timeout_s* seconds.
    """
    agents = sum(1 for name in deployment.by_name if name.startswith("agent-"))
    ports = [p for ps in deployment.entries_by_zone.values() for p in ps]
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if all(client.get(p, "/v1/status")["members"] >= agents for p in ports):
            return
        time.sleep(0.05)
    raise RuntimeError(f"entries did not see {agents} agents in {timeout_s} s")


def main(argv=None):
    """Parse the tool's flags, run the experiment, print the summary."""
    parser = argparse.ArgumentParser(prog="dunlinpoint-lab")
    parser.add_argument("--profile", default="default", choices=sorted(PROFILES))
    parser.add_argument("--requests", type=int, default=200)
    args = parser.parse_args(argv)
    if not 1 <= args.requests <= 5000:
        parser.error("--requests must be 1 to 5000")
    profile = PROFILES[args.profile]
    folder = tempfile.mkdtemp(prefix="dunlinpoint-lab-")
    deployment = deploy.Deployment.from_profile(profile, folder)
    deployment.start()
    try:
        wait_members(deployment)
        print(json.dumps(run_experiment(deployment, profile, args.requests), indent=2))
    finally:
        deployment.stop_all()


if __name__ == "__main__":
    main()
