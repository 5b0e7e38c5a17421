"""Three configurations take the tenants away, the last one with the last key."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import deployment as lab  # noqa: E402

GAP_S = 1.0
# revokeMs is 5000.
AFTER_S = 6.0
TENANTS = {f"tenant-{i}": [f"key-{i}"] for i in (1, 2, 3)}
NEVER_HELD = "never-held"


async def run(own):
    """Run the case; the exit code."""
    if not await own.start(3, lab.configuration(3, TENANTS)):
        return 2
    for front in own.fronts:
        statuses = [
            await own.call(front, f"before-{front.name}-{key}", "/once/x", key)
            for key in ("key-1", "key-2", "key-3", NEVER_HELD, None)
        ]
        if statuses != [200, 200, 200, 401, 401]:
            return 2
    has_trouble = os.environ.get("TROUBLE") != "0"
    left = dict(TENANTS)
    for version, name in enumerate(TENANTS, 4):
        if has_trouble:
            del left[name]
        if not await own.replace(lab.configuration(version, left, 7000 + version)):
            return 2
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(AFTER_S)
    wrong = []
    for front in own.fronts:
        for key in ("key-1", "key-2", "key-3", NEVER_HELD, None):
            request_id = f"after-{front.name}-{key}"
            await own.call(front, request_id, "/once/x", key)
            allowed = not has_trouble and key in ("key-1", "key-2", "key-3")
            ran = any(request_id in server.ran for server in own.servers)
            if ran and not allowed:
                wrong.append(request_id)
    for core in own.cores:
        await own.read(core)
    own.note(f"requests that ran without a key that is held: {wrong}")
    return 1 if wrong else 0


if __name__ == "__main__":
    lab.play(run, FOLDER, lab.Deployment(cores=3, fronts=2))
