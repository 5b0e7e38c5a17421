"""Command line: runs one or more seeds."""

import argparse
import json
import random
import socket
import sys
import tempfile
import threading
import time

import attrs

from dunlinpoint.soak import (
    callers,
    checks,
    cold,
    evacuations,
    faults,
    servers,
    signals,
)
from dunlinpoint.soak import cluster as clusters

READY_TIMEOUT_S = 20.0
# After the last fault: covers a planned stop and the admission of a new voter.
RECOVERY_TIMEOUT_S = 5.0
READ_INTERVAL_S = 0.7
MAX_SEEDS = 200


@attrs.frozen
class Verdict:
    """The result of one seed, printed as a JSON line.

    ``requests`` counts those with time for an answer, ``unmarked`` the answered ones
    whose answers nobody marked, and ``stopped`` the streams that backends ended at
    their deadlines.
    """

    seed: int
    requests: int
    answered: int
    documents: int
    faults: int
    crashes: int
    unmarked: int
    stopped: int
    broken: list
    folder: str


def run_seed(
    seed,
    with_signals=False,
    with_cold_starts=False,
    unmarked_percent=servers.UNMARKED_PERCENT,
):
    """Run *seed*; its ``Verdict``.

    If *with_signals* is set, three backends send load signals, and no zone is
    evacuated, which would leave too few backends; if *with_cold_starts* is set, two
    backends are cold for a while. In other runs, backends crash. *unmarked_percent* is
    the share of answers whose end no backend marks.
    """
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    cluster = clusters.Cluster.from_seed(folder, seed)
    cluster.cold_per_s = cold.REQUESTS_PER_S if with_cold_starts else 0
    cluster.unmarked_percent = unmarked_percent
    rng = random.Random(f"callers {seed}")
    operator = callers.Operator(cluster, random.Random(rng.random()))
    results, threads, violations = [], [], []
    with_crashes = not (with_signals or with_cold_starts)
    planned = faults.schedule(seed, not with_signals, with_crashes)
    try:
        cluster.start()
        wait_ready(cluster, operator)
        for number in range(callers.CALLERS + callers.SLOW_CALLERS):
            kind = callers.Caller if number < callers.CALLERS else callers.SlowCaller
            caller = kind(cluster, number, results, random.Random(rng.random()))
            threads.append(threading.Thread(target=caller.run, daemon=True))
            threads[-1].start()
        if with_signals:
            signals.assign_signal_periods(seed, cluster.backends, time.monotonic())
        if with_cold_starts:
            cold.assign_periods(seed, cluster.backends, time.monotonic())
        run_schedule(cluster, operator, planned)
        violations += check_recovery(cluster)
    finally:
        cluster.stop_event.set()
        for thread in threads:
            thread.join(10)
        cluster.stop()
    violations += checks.violations(cluster, results, operator)
    violations += signals.violations(cluster, results)
    violations += cold.violations(cluster, results)
    violations += evacuations.violations(
        cluster, results, operator.evacuator.acknowledged
    )
    executions = checks.by_request_id(cluster.executions)
    answered = [s for s in results if s.status == 200 and s.is_complete]
    unmarked = [
        s
        for s in answered
        if not all(e.marks_end for e in executions.get(s.request_id, ()))
    ]
    return Verdict(
        seed,
        sum(request.deadline_ms == callers.DEADLINE_MS for request in results),
        len(answered),
        len(operator.acknowledged),
        len(planned),
        sum(len(backend.crashed_s) for backend in cluster.backends),
        len(unmarked),
        sum(execution.was_stopped for execution in cluster.executions),
        violations,
        folder,
    )


def wait_ready(cluster, operator):
    """Send the first document and wait until every entry serves requests."""
    operator.replace_document(1)
    if wait_for(cluster.entries, lambda node: serves(cluster, node), READY_TIMEOUT_S):
        raise RuntimeError(f"seed {cluster.seed}: not ready after {READY_TIMEOUT_S} s")


def serves(cluster, node):
    """Whether an entry answers an idempotent request."""
    headers = {
        "Authorization": f"Bearer {clusters.API_KEY}",
        "X-Dunlinpoint-Attempt-Id": f"ready-{time.monotonic()}",
        "X-Dunlinpoint-Deadline-Ms": "1500",
    }
    try:
        status = clusters.http_request(
            node.host, cluster.port, "POST", "/often/x", b"{}", headers
        )
    except Exception:  # any failure counts as no answer
        return False
    return status[0] == 200


def check_recovery(cluster):
    """Once all faults are healed, every entry serves soon after it listens.

    The time until it listens has its own, longer bound: with ten other runs on the
    machine, loading the libraries alone took 6 to 9 s, and the entry served 0.2 s
    later.
    """
    failing = wait_for(
        cluster.entries, lambda node: listens(cluster, node), READY_TIMEOUT_S
    )
    found = [f"{node.name} did not restart" for node in failing]
    started = [node for node in cluster.entries if node not in failing]
    failing = wait_for(started, lambda node: serves(cluster, node), RECOVERY_TIMEOUT_S)
    return found + [
        f"{node.name} does not serve after the last fault" for node in failing
    ]


def wait_for(nodes, condition, timeout_s):
    """Wait for ``condition(node)`` on all *nodes*; those without it at the timeout."""
    deadline_s = time.monotonic() + timeout_s
    pending = list(nodes)
    while pending and time.monotonic() < deadline_s:
        pending = [node for node in pending if not condition(node)]
        time.sleep(0.1)
    return pending


def listens(cluster, node):
    """Whether an entry accepts connections."""
    try:
        with socket.create_connection((node.host, cluster.port), timeout=1):
            return True
    except OSError:
        return False


def run_schedule(cluster, operator, planned):
    """Inject and heal the *planned* faults, each at its time."""
    start_s = time.monotonic()
    active_faults, faulted_targets, next_read_s = [], set(), 0.0
    planned = list(planned)
    while planned or active_faults:
        now_s = time.monotonic() - start_s
        for due_s, heal, target in [h for h in active_faults if h[0] <= now_s]:
            heal()
            active_faults.remove((due_s, heal, target))
            faulted_targets.discard(target)
        while planned and planned[0].at_s <= now_s:
            fault = planned.pop(0)
            target = target_of(fault)
            if target in faulted_targets:
                continue
            heal = faults.inject(cluster, operator, fault)
            if heal is not None:
                active_faults.append((now_s + fault.duration_s, heal, target))
                faulted_targets.add(target)
        restart_exited(cluster, faulted_targets)
        if now_s >= next_read_s:
            next_read_s = now_s + READ_INTERVAL_S
            threading.Thread(target=operator.read, daemon=True).start()
        time.sleep(0.02)


def restart_exited(cluster, faulted_targets):
    """Restart processes that exited by themselves, as a process supervisor does."""
    nodes = [(("entry", i), node) for i, node in enumerate(cluster.entries)]
    nodes += [(("control", i), node) for i, node in enumerate(cluster.controls)]
    for target, node in nodes:
        if target not in faulted_targets and node.popen.poll() is not None:
            node.start()


def target_of(fault):
    """The target of *fault*; two faults on one target would undo each other.

    ``None`` for faults that may coincide with any other.
    """
    if fault.kind.endswith("_entry"):
        return "entry", fault.index % clusters.ENTRIES
    if fault.kind in ("cut", "freeze_link", "one_way", "delay"):
        return "link", fault.index % clusters.BACKENDS
    if fault.kind == evacuations.KIND:
        return "zone", 0
    if fault.kind == faults.CRASH_KIND:
        return "crash", 0
    if fault.kind in ("hup", "drain", "change", "race"):
        return None
    return "control", fault.index % clusters.CONTROLS


def main(argv=None):
    """Run seeds and print a line for each; exit code 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="dunlinpoint.soak")
    parser.add_argument("--seeds", default="", help="comma-separated seeds")
    parser.add_argument(
        "--fresh", type=int, default=0, help="number of new random seeds"
    )
    parser.add_argument(
        "--telling", action="store_true", help="backends send load signals"
    )
    parser.add_argument(
        "--cold", action="store_true", help="backends are cold for a while"
    )
    parser.add_argument(
        "--unmarked",
        type=int,
        default=servers.UNMARKED_PERCENT,
        metavar="PERCENT",
        help="share of answers whose end backends do not mark",
    )
    args = parser.parse_args(argv)
    seeds = [int(seed) for seed in args.seeds.split(",") if seed]
    fresh = random.SystemRandom()
    seeds += [fresh.randrange(1 << 31) for _ in range(args.fresh)]
    if not 0 < len(seeds) <= MAX_SEEDS:
        parser.error(f"give 1 to {MAX_SEEDS} seeds")
    failed = 0
    for seed in seeds:
        verdict = run_seed(seed, args.telling, args.cold, args.unmarked)
        failed += bool(verdict.broken)
        print(json.dumps(attrs.asdict(verdict)), flush=True)
    sys.exit(1 if failed else 0)
