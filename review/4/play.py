"""All core machines are replaced as planned: the new ones first, then the old ones."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import deployment as lab  # noqa: E402

# How long the successors run before the first SIGTERM; catchUpS is 4.
SUCCESSORS_UP_S = 8
# The gap_s of the site file's roll_term, the smallest of those in its days.
GAP_S = float(os.environ.get("GAP_S", "1.0"))
# recoveryS of the site file is 12; then the operator reads back for over 3 s.
RECOVERY_S = 12
READ_BACK_S = 12
TENANTS = {"tenant-1": ["key-1"]}


async def serve_share(own, name):
    """The share of a few requests that are served."""
    calls = [
        own.call(front, f"{name}-{front.name}-{i}", "/often/x", "key-1")
        for front in own.fronts
        for i in range(5)
    ]
    statuses = await asyncio.gather(*calls)
    return sum(status == 200 for status in statuses) / len(statuses)


async def run(own):
    """Run the case; the exit code."""
    if not await own.start(3, lab.configuration(3, TENANTS)):
        return 2
    served_before = await serve_share(own, "before")
    for core in own.spare_cores:
        core.bootstrap = False
        core.start()
        own.note(f"{core.name} starts with an empty disk")
    await asyncio.sleep(SUCCESSORS_UP_S)
    # Before any machine leaves, the change is acknowledged and all can read it.
    if not await own.replace(lab.configuration(5, TENANTS, 7000)):
        return 2
    await asyncio.sleep(2)
    reads = [await own.read(core) for core in [*own.cores, *own.spare_cores]]
    if set(reads) != {5} or served_before < 1:
        return 2
    leaving, own.cores = own.cores, own.cores + own.spare_cores
    if os.environ.get("TROUBLE") != "0":
        begun_s = time.monotonic()
        for number, core in enumerate(leaving):
            await asyncio.sleep(max(0, begun_s + number * GAP_S - time.monotonic()))
            core.terminate()
            own.note(f"{core.name} gets SIGTERM and is gone for good")
            own.cores.remove(core)
        # The platform writes the new list of core machines into all settings files.
        own.seeds = [f"{core.ip}:{own.admin_port}" for core in own.spare_cores]
        for node in [*own.spare_cores, *own.fronts]:
            node.write_settings()
    await asyncio.sleep(RECOVERY_S)
    end_s, newest = time.monotonic() + READ_BACK_S, None
    while newest is None and time.monotonic() < end_s:
        for core in own.spare_cores:
            newest = newest or await own.read(core)
        await asyncio.sleep(0.5)
    changed = await own.replace(lab.configuration(7, TENANTS))
    served_after = await serve_share(own, "after")
    own.note(f"served before {served_before:.2f}, after {served_after:.2f}")
    own.note(f"read back: {newest}, acknowledged: 5; a further change: {changed}")
    return 1 if newest is None or newest < 5 else 0


if __name__ == "__main__":
    lab.play(run, FOLDER, lab.Deployment(cores=3, fronts=2, spare_cores=3))
