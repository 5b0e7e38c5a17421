"""CPU and memory per routed request at the entry and agent, for CAPACITY.md.

Starts the lab's default profile, sends N model requests (8 tokens each)
and N/4 slot confirmations, and prints the CPU seconds the entry and agent
processes spent per request, and their resident memory. Bounded by N.

    .venv/bin/python -m bench.routing_cost --requests 400
"""

import argparse
import json
import tempfile
import time

from bench import capacity
from dunlinpoint.lab import deploy, load


def main(argv=None):
    parser = argparse.ArgumentParser(prog="bench.routing_cost")
    parser.add_argument("--requests", type=int, default=400)
    args = parser.parse_args(argv)
    profile = load.PROFILES["default"]
    deployment = deploy.Deployment.from_profile(profile, tempfile.mkdtemp())
    deployment.start()
    try:
        load.wait_members(deployment)

        def pids(prefix):
            return [
                p.popen.pid
                for n, p in deployment.by_name.items()
                if n.startswith(prefix)
            ]

        roles = {"entry": pids("entry-"), "agent": pids("agent-engine")}
        before = {r: sum(capacity.cpu_s(p) for p in ps) for r, ps in roles.items()}
        began = time.monotonic()
        own, _, calls = load.drive(deployment, profile, args.requests)
        elapsed = time.monotonic() - began
        for role, role_pids in roles.items():
            used = sum(capacity.cpu_s(p) for p in role_pids) - before[role]
            print(
                json.dumps(
                    {
                        "role": role,
                        "processes": len(role_pids),
                        "requests": args.requests,
                        "answered_own_whole": own,
                        "requests_per_s": round(args.requests / elapsed, 1),
                        "cpu_ms_per_request": round(used / args.requests * 1000, 2),
                        "rss_mb_each": round(
                            max(capacity.rss_mb(p) for p in role_pids), 1
                        ),
                    }
                )
            )
    finally:
        deployment.stop_all()


if __name__ == "__main__":
    main()
