"""One seed or many, from the command line."""

import argparse
import json
import random
import socket
import sys
import tempfile
import threading
import time

import attrs

from dunlinpoint.soak import callers, checks, faults, notices
from dunlinpoint.soak import world as worlds

READY_S = 20.0
# After the last fault: long enough for a planned stop and a new voter.
CALM_S = 5.0
READ_S = 0.7
MAX_SEEDS = 200


@attrs.frozen
class Verdict:
    """What one seed gave."""

    seed: int
    requests: int
    answered: int
    documents: int
    faults: int
    broken: list
    folder: str


def play(seed, telling=False):
    """Play *seed*, with *telling* back ends if asked for; its ``Verdict``."""
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    world = worlds.World.from_seed(folder, seed)
    rng = random.Random(f"callers {seed}")
    operator = callers.Operator(world, random.Random(rng.random()))
    seen, threads, broken = [], [], []
    planned = faults.schedule(seed)
    try:
        world.start()
        wait_ready(world, operator)
        for number in range(callers.CALLERS):
            caller = callers.Caller(world, number, seen, random.Random(rng.random()))
            threads.append(threading.Thread(target=caller.run, daemon=True))
            threads[-1].start()
        if telling:
            notices.spells(seed, world.backends, time.monotonic())
        carry_out(world, operator, planned)
        broken += recovered(world)
    finally:
        world.ended.set()
        for thread in threads:
            thread.join(10)
        world.stop()
    broken += checks.broken(world, seen, operator)
    broken += notices.broken(world, seen)
    answered = sum(1 for s in seen if s.status == 200 and s.whole)
    return Verdict(
        seed, len(seen), answered, len(operator.acked), len(planned), broken, folder
    )


def wait_ready(world, operator):
    """Wait until the first document is in force and requests are served."""
    operator.change(1)
    if missing(world.entries, lambda node: served(world, node), READY_S):
        raise RuntimeError(f"seed {world.seed}: not ready after {READY_S} s")


def served(world, node):
    """Whether an entry answers a request that may run again."""
    headers = {
        "Authorization": f"Bearer {worlds.KEY}",
        "X-Dunlinpoint-Attempt-Id": f"ready-{time.monotonic()}",
        "X-Dunlinpoint-Deadline-Ms": "1500",
    }
    try:
        status = worlds.ask(node.host, world.port, "POST", "/often/x", b"{}", headers)
    except Exception:  # anything but an answer is no answer
        return False
    return status[0] == 200


def recovered(world):
    """Once all faults have healed, every entry serves soon after it listens.

    Loading its libraries is the machine's matter: beside ten other runs that
    alone took 6 to 9 s, and the entry served 0.2 s later.
    """
    late = missing(world.entries, lambda node: listens(world, node), READY_S)
    found = [f"{node.name} does not start again" for node in late]
    started = [node for node in world.entries if node not in late]
    late = missing(started, lambda node: served(world, node), CALM_S)
    return found + [f"{node.name} does not serve after all faults" for node in late]


def missing(nodes, holds, bound_s):
    """Those of *nodes* for which ``holds(node)`` did not come within *bound_s*."""
    ends_s = time.monotonic() + bound_s
    waiting = list(nodes)
    while waiting and time.monotonic() < ends_s:
        waiting = [node for node in waiting if not holds(node)]
        time.sleep(0.1)
    return waiting


def listens(world, node):
    """Whether an entry takes connections."""
    try:
        with socket.create_connection((node.host, world.port), timeout=1):
            return True
    except OSError:
        return False


def carry_out(world, operator, planned):
    """Put the faults in force and heal them, each at its time."""
    began_s = time.monotonic()
    healing, busy, reads_s = [], set(), 0.0
    planned = list(planned)
    while planned or healing:
        now_s = time.monotonic() - began_s
        for due_s, heal, what in [h for h in healing if h[0] <= now_s]:
            heal()
            healing.remove((due_s, heal, what))
            busy.discard(what)
        while planned and planned[0].at_s <= now_s:
            fault = planned.pop(0)
            what = target_of(fault)
            if what in busy:
                continue
            heal = faults.begin(world, operator, fault)
            if heal is not None:
                healing.append((now_s + fault.lasts_s, heal, what))
                busy.add(what)
        supervise(world, busy)
        if now_s >= reads_s:
            reads_s = now_s + READ_S
            threading.Thread(target=operator.read, daemon=True).start()
        time.sleep(0.02)


def supervise(world, busy):
    """Start again what has ended by itself, as whatever runs the processes does."""
    nodes = [(("entry", i), node) for i, node in enumerate(world.entries)]
    nodes += [(("control", i), node) for i, node in enumerate(world.controls)]
    for what, node in nodes:
        if what not in busy and node.popen.poll() is not None:
            node.start()


def target_of(fault):
    """What *fault* is on, so that two on one process do not undo each other."""
    if fault.kind.endswith("_entry"):
        return "entry", fault.index % worlds.ENTRIES
    if fault.kind in ("cut", "freeze_link", "one_way", "delay"):
        return "link", fault.index % worlds.BACKENDS
    if fault.kind in ("hup", "drain", "change", "race"):
        return None
    return "control", fault.index % worlds.CONTROLS


def main(argv=None):
    """Play seeds and print a line for each; exit code 1 if one broke a promise."""
    parser = argparse.ArgumentParser(prog="dunlinpoint.soak")
    parser.add_argument("--seeds", default="", help="seeds, joined by commas")
    parser.add_argument("--fresh", type=int, default=0, help="so many new seeds")
    parser.add_argument(
        "--telling", action="store_true", help="back ends say what they take"
    )
    args = parser.parse_args(argv)
    seeds = [int(seed) for seed in args.seeds.split(",") if seed]
    fresh = random.SystemRandom()
    seeds += [fresh.randrange(1 << 31) for _ in range(args.fresh)]
    if not 0 < len(seeds) <= MAX_SEEDS:
        parser.error(f"1 to {MAX_SEEDS} seeds are wanted")
    failed = 0
    for seed in seeds:
        verdict = play(seed, args.telling)
        failed += bool(verdict.broken)
        print(json.dumps(attrs.asdict(verdict)), flush=True)
    sys.exit(1 if failed else 0)
