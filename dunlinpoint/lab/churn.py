"""Apply many document changes in sequence, as operators do over a day.

``python -m dunlinpoint.lab.churn --controls H:P,... --count N`` proposes N documents
(at most 5,000) one after another, each against the version of the previous one. Each
goes to the controls in turn until one answers. Prints one JSON line: the number of
accepted changes, the last version, and milliseconds per change (p50, p99).
"""

import argparse
import json
import time

import attrs
from twisted.internet import defer, task

from dunlinpoint.cli import checks
from dunlinpoint.config import document as config
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Control, ttypes

TIMEOUT_MS = 5000
MAX_COUNT = 5000


def document(i):
    """The *i*-th document of a run, as JSON text; it has ``i % 50 + 1`` workspaces."""
    workspaces = [config.Workspace(name=f"ws-{j}") for j in range(i % 50 + 1)]
    return config.dump(attrs.evolve(config.DEFAULT, workspaces=workspaces))


@defer.inlineCallbacks
def churn(reactor, controls, count, start):
    links = [
        rpc.Link(reactor, host, port, Control.Client, TIMEOUT_MS)
        for host, port in controls
    ]
    version, accepted, durations_ms = start, 0, []
    for i in range(count):
        start_s = time.monotonic()
        for link in links:
            try:
                result = yield link.call(
                    "apply", version, f"churn-{start}-{i}", document(i)
                )
            except (errors.WireError, ttypes.Refused):
                continue
            if result.accepted:
                accepted += 1
            version = result.version
            break
        durations_ms.append((time.monotonic() - start_s) * 1000)
    durations_ms.sort()
    return {
        "count": count,
        "accepted": accepted,
        "version": version,
        "ms_per_change_p50": round(durations_ms[len(durations_ms) // 2], 2)
        if durations_ms
        else None,
        "ms_per_change_p99": round(durations_ms[int(len(durations_ms) * 0.99)], 2)
        if durations_ms
        else None,
    }


def main(argv=None):
    parser = argparse.ArgumentParser(prog="dunlinpoint-churn")
    parser.add_argument("--controls", required=True)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--expect", type=int, default=0)
    args = parser.parse_args(argv)
    if not 1 <= args.count <= MAX_COUNT:
        parser.error(f"--count must be 1 to {MAX_COUNT}")
    controls = checks.addresses(args.controls, "controls")

    @defer.inlineCallbacks
    def run(reactor):
        summary = yield churn(reactor, controls, args.count, args.expect)
        print(json.dumps(summary), flush=True)

    task.react(run)


if __name__ == "__main__":
    main()
