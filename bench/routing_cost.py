"""CPU and memory per routed request at entry and agent, for docs/CAPACITY.md.

Starts the lab's default profile, sends ``--requests`` model requests (8 tokens
each) and a quarter as many slot confirmations, and prints the CPU time per request
that the entry and agent processes used, and their resident memory.

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
        start_cpu_s = {r: sum(capacity.cpu_s(p) for p in ps) for r, ps in roles.items()}
        start_s = time.monotonic()
        own, _, calls = load.drive(deployment, profile, args.requests)
        elapsed_s = time.monotonic() - start_s
        for role, role_pids in roles.items():
            used_s = sum(capacity.cpu_s(p) for p in role_pids) - start_cpu_s[role]
            print(
                json.dumps(
                    {
                        "role": role,
                        "processes": len(role_pids),
                        "requests": args.requests,
                        "answered_own_whole": own,
                        "requests_per_s": round(args.requests / elapsed_s, 1),
                        "cpu_ms_per_request": round(used_s / args.requests * 1000, 2),
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
