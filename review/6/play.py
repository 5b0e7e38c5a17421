"""Two planned replacements of core machines, and 8 s later one lost disk."""

import asyncio
import os
import pathlib
import shutil
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import deployment as lab  # noqa: E402

# How long the successors run before the SIGTERMs; catchUpS is 4.
SUCCESSORS_UP_S = 8
# From the SIGTERMs to the lost disk.
PAUSE_S = float(os.environ.get("PAUSE_S", "8"))
DOWN_S = 1
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
    for core in own.spare_cores:
        core.bootstrap = False
        core.start()
        own.note(f"{core.name} starts with an empty disk")
    await asyncio.sleep(SUCCESSORS_UP_S)
    leaving = own.cores[:2]
    for core in leaving:
        core.terminate()
        own.note(f"{core.name} gets SIGTERM and is gone for good")
    own.cores = [own.cores[2], *own.spare_cores]
    own.seeds = [f"{core.ip}:{own.admin_port}" for core in own.cores]
    for node in [*own.cores, *own.fronts]:
        node.write_settings()
    await asyncio.sleep(PAUSE_S)
    if not await own.replace(lab.configuration(5, TENANTS, 7000)):
        return 2
    served_before = await serve_share(own, "before")
    if served_before < 1:
        return 2
    if os.environ.get("TROUBLE") != "0":
        lost = own.spare_cores[0]
        lost.kill()
        shutil.rmtree(os.path.join(own.folder, f"data-{lost.name}"))
        own.note(f"{lost.name} is killed and loses its disk")
        await asyncio.sleep(DOWN_S)
        lost.start()
    await asyncio.sleep(RECOVERY_S)
    end_s, newest = time.monotonic() + READ_BACK_S, None
    while newest is None and time.monotonic() < end_s:
        for core in own.cores:
            newest = newest or await own.read(core)
        await asyncio.sleep(0.5)
    changed = await own.replace(lab.configuration(7, TENANTS))
    served_after = await serve_share(own, "after")
    own.note(f"served before {served_before:.2f}, after {served_after:.2f}")
    own.note(f"read back: {newest}, acknowledged: 5; a further change: {changed}")
    return 1 if newest is None or newest < 5 else 0


if __name__ == "__main__":
    lab.play(run, FOLDER, lab.Deployment(cores=3, fronts=2, spare_cores=2))
