"""The load and experiment tool: run a local deployment, drive it, report.

``python -m dunlinpoint.lab.load [--profile NAME] [--requests N]`` starts
the named profile's processes on loopback, sends model requests whose
expert topics drift (Hoshizora's pass windows, the Port Dues morning rush)
and plain-service calls, applies a new document through ``dunlinctl``,
and prints one JSON summary: requests answered once each, latency
percentiles (HDR histogram), step-time skew, executions per key, and the
seconds until the new document was in force everywhere.

The request count and the time are bounded; every process is ended by pid.
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
IN_FORCE_BOUND_S = 10


def topic(drift, i, total):
    """The expert topic of request *i* of *total* under a drift pattern."""
    phase = i / max(1, total)
    if drift == "morning_rush":
        return 0 if phase < 0.5 else 8
    return int(phase * 4) * 4


def ctl(controls, *argv):
    done = subprocess.run(
        [sys.executable, "-m", "dunlinpoint.cli.ctl", *argv, "--controls", controls],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return done.stdout


def drive(deployment, profile, count):
    """Send *count* model requests and *count* // 4 slot confirmations."""
    ports = [p for ports in deployment.entries_by_zone.values() for p in ports]
    latency = hdrh.histogram.HdrHistogram(1, 60_000, 3)
    answers = {}

    def one(i):
        began = time.monotonic()
        prompt = f"#{topic(profile['drift'], i, count)} request {i}"
        answer = client.generate(ports[i % len(ports)], prompt, 8, f"req-{i}")
        latency.record_value(max(1, int((time.monotonic() - began) * 1000)))
        return i, answer

    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for i, answer in pool.map(one, range(count)):
            answers[i] = answer
        calls = list(
            pool.map(
                lambda i: client.call(
                    ports[i % len(ports)], "slot_confirm", f"slot-{i}", {"slot": i}
                ),
                range(count // 4),
            )
        )
    own = sum(
        1
        for i, a in answers.items()
        if a.final.get("outcome") == "done"
        and {line["request_id"] for line in a.lines} == {f"req-{i}"}
    )
    return own, latency, calls


def summary(deployment, profile, count):
    """Run the experiment; the summary dict."""
    controls = ",".join(f"{h}:{p}" for h, p in deployment.controls)
    own, latency, calls = drive(deployment, profile, count)
    executions = deployment.executions()
    keys = [e["key"] for e in executions]
    skews = []
    for name, process in deployment.by_name.items():
        if name.startswith("engine-") and name.endswith("-backend"):
            report = client.get(process.port, "/steps")
            skews.append(report)
    path = os.path.join(deployment.folder, "next.json")
    with open(path, "w") as out:
        out.write(config.dump(config.DEFAULT))
    shown = [json.loads(line) for line in ctl(controls, "show").splitlines()]
    current = max(s.get("version", 0) for s in shown)
    began = time.monotonic()
    applied = json.loads(ctl(controls, "apply", path, "--expect", str(current)))
    in_force_s = None
    while time.monotonic() - began < IN_FORCE_BOUND_S:
        ports = [p for ps in deployment.entries_by_zone.values() for p in ps]
        seen = {client.get(p, "/v1/status")["document_version"] for p in ports}
        seen |= {
            json.loads(line)["version"]
            for line in ctl(controls, "members").splitlines()
        }
        if seen == {applied.get("version")}:
            in_force_s = round(time.monotonic() - began, 2)
            break
        time.sleep(0.1)
    return {
        "requests": count,
        "answered_own_whole": own,
        "latency_ms": {q: latency.get_value_at_percentile(q) for q in (50, 95, 99)},
        "calls": len(calls),
        "calls_done": sum(1 for c in calls if c.final.get("outcome") == "done"),
        "executions_doubled": len(keys) - len(set(keys)),
        "mixed_map_steps": sum(len(s["mixed_steps"]) for s in skews),
        "step_skew_ms_p99": max((s["skew_ms_p99"] for s in skews), default=0),
        "document_applied": applied,
        "document_in_force_everywhere_s": in_force_s,
    }


def wait_members(deployment, bound_s=15):
    """Wait until every entry sees every agent, at most *bound_s* seconds."""
    agents = sum(1 for name in deployment.by_name if name.startswith("agent-"))
    ports = [p for ps in deployment.entries_by_zone.values() for p in ps]
    deadline = time.monotonic() + bound_s
    while time.monotonic() < deadline:
        if all(client.get(p, "/v1/status")["members"] >= agents for p in ports):
            return
        time.sleep(0.05)
    raise RuntimeError(f"entries did not see {agents} agents in {bound_s} s")


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
        print(json.dumps(summary(deployment, profile, args.requests), indent=2))
    finally:
        deployment.stop_all()


if __name__ == "__main__":
    main()
