"""The fault schedule of a seed.

Faults follow one another and overlap; each is healed after its duration. Only one
control at a time loses its disk or can't write, as three controls tolerate one such
failure; any other faults may coincide.
"""

import os
import random
import shutil
import signal

import attrs

from dunlinpoint.soak import evacuations

SCHEDULE_LENGTH_S = 12.0
FAULT_INTERVAL_S = (0.2, 1.6)
FAULT_DURATION_S = (0.3, 2.5)
KIND_WEIGHTS = {
    "kill_entry": 2,
    "kill_control": 2,
    "freeze_entry": 1,
    "freeze_control": 2,
    "term_entry": 3,
    "term_control": 1,
    "hup": 2,
    "lose_disk": 1,
    "disk_full": 1,
    "cut": 2,
    "freeze_link": 2,
    "one_way": 2,
    "delay": 2,
    "drain": 1,
    "change": 6,
    "race": 2,
}
# A backend that crashes in the middle of a stream: twice in a run, at these times, and
# how long the order and the crash last together.
CRASH_KIND = "crash"
CRASH_RANGES_S = ((1.5, 4.0), (6.0, 8.5))
CRASH_DURATION_S = (1.5, 2.5)
# Faults that cost a control its disk, its writes or its process. Two of these never
# overlap.
DISK_KINDS = {"lose_disk", "disk_full", "kill_control", "freeze_control"}


@attrs.frozen
class Fault:
    """One fault: start (s from the start of the run), kind, target, duration (s).

    *index* selects the target, modulo the number of targets of this kind.
    """

    at_s: float
    kind: str
    index: int
    duration_s: float


def schedule(seed, with_evacuation=True, with_crashes=True):
    """The faults of *seed*, ordered by start time.

    The evacuation of a zone and the crashes of backends, if any, leave the other faults
    as they are without them.
    """
    rng = random.Random(f"faults {seed}")
    faults, at_s, next_disk_fault_s = [], 1.0, 0.0
    while at_s < SCHEDULE_LENGTH_S:
        kind = rng.choices(list(KIND_WEIGHTS), KIND_WEIGHTS.values())[0]
        duration_s = rng.uniform(*FAULT_DURATION_S)
        if kind in DISK_KINDS:
            if at_s < next_disk_fault_s:
                kind = "change"
            else:
                # Leaves the control time to restart and become a voter again.
                next_disk_fault_s = at_s + duration_s + 4.0
        faults.append(Fault(at_s, kind, rng.randrange(64), duration_s))
        at_s += rng.uniform(*FAULT_INTERVAL_S)
    if with_evacuation:
        at_s, duration_s = evacuations.plan(seed)
        faults.append(Fault(at_s, evacuations.KIND, 0, duration_s))
    if with_crashes:
        rng = random.Random(f"crashes {seed}")
        for range_s in CRASH_RANGES_S:
            at_s, duration_s = rng.uniform(*range_s), rng.uniform(*CRASH_DURATION_S)
            faults.append(Fault(at_s, CRASH_KIND, rng.randrange(64), duration_s))
    return sorted(faults, key=lambda fault: fault.at_s)


def inject(cluster, operator, fault):
    """Inject *fault*; a function that heals it, or ``None`` if nothing is to heal."""
    kind, index = fault.kind, fault.index
    entry = cluster.entries[index % len(cluster.entries)]
    control = cluster.controls[index % len(cluster.controls)]
    if kind in ("change", "race"):
        operator.replace_document(2 if kind == "race" else 1)
        return None
    if kind == "hup":
        entry.signal(signal.SIGHUP)
        control.signal(signal.SIGHUP)
        return None
    if kind == evacuations.KIND:
        return operator.evacuator.begin()
    if kind == CRASH_KIND:
        return cluster.order_crash(index)
    if kind == "drain":
        operator.drain(index)
        return None
    if kind in ("cut", "freeze_link", "one_way", "delay"):
        return _inject_link_fault(cluster, kind, index)
    node = entry if kind.endswith("entry") else control
    return _inject_process_fault(node, kind)


def _inject_link_fault(cluster, kind, index):
    index %= len(cluster.proxies)
    if kind == "delay":
        cluster.set_link_fault(index, "delay", delay_ms=20 + index * 10)
    elif kind == "one_way":
        cluster.set_link_fault(index, "freeze", "down" if index % 2 else "up")
    else:
        cluster.set_link_fault(index, "cut" if kind == "cut" else "freeze")
    return lambda: cluster.set_link_fault(index, "pass")


def _inject_process_fault(node, kind):
    action = kind.partition("_")[0]
    if action == "freeze":
        node.signal(signal.SIGSTOP)
        return lambda: node.signal(signal.SIGCONT)
    if action == "term":
        return _terminate(node)
    if action == "disk":
        return _block_writes(node)
    node.signal(signal.SIGCONT)
    node.signal(signal.SIGKILL)
    node.popen.wait(10)
    if action == "lose":
        shutil.rmtree(node.env["data"], ignore_errors=True)
    return node.start


def _terminate(node):
    """Stop a process with SIGTERM; healing restarts it once it has exited."""
    node.signal(signal.SIGCONT)
    node.stopped_s.append(node.record_disturbance())
    node.signal(signal.SIGTERM)

    def heal():
        node.popen.wait(15)
        node.start()

    return heal


def _block_writes(node):
    """Make writes fail: a folder takes the path of the file written next."""
    blocked = os.path.join(node.env["data"], "control-state.json.new")
    node.record_disturbance()
    try:
        os.makedirs(blocked, exist_ok=True)
    except FileExistsError:
        return None

    def heal():
        node.record_disturbance()
        shutil.rmtree(blocked, ignore_errors=True)

    return heal
