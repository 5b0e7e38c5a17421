"""Settings that change while a process runs: the addresses of the controls.

The platform rewrites a process's settings file when its list of controls changes,
with or without a SIGHUP. A process that has learnt the new controls from the old
ones doesn't need the new list, but one that was disconnected while all controls
were replaced does.
"""

import json
import os
import signal

import attrs
from twisted.internet import task

from dunlinpoint import clock, logs
from dunlinpoint.cli import checks

log = logs.logger("settings")

FILE_VARIABLE = "DUNLINPOINT_NODE_FILE"
# How often the file is polled, for changes without a signal.
POLL_INTERVAL_MS = 2000


@attrs.define
class SeedsWatcher:
    """Watches the settings file at ``path`` for new seeds.

    ``on_change`` is called with changed seeds (``[(host, port)]``), but not with those
    of the first read.
    """

    path: str
    on_change: object
    last_stat: tuple | None = None
    seeds: list | None = None

    def poll(self):
        """Read the file if it has changed; an invalid file is logged and ignored."""
        try:
            found = os.stat(self.path)
            state = found.st_mtime_ns, found.st_size, found.st_ino
            if state == self.last_stat:
                return
            self.last_stat = state
            with open(self.path) as source:
                seeds = checks.addresses(",".join(json.load(source)["seeds"]), "seeds")
        except (OSError, ValueError, KeyError, TypeError) as exc:
            log.warning("settings_unread", error=repr(exc))
            return
        if seeds == self.seeds:
            return
        first, self.seeds = self.seeds is None, seeds
        if not first:
            self.on_change(seeds)
        log.info("settings_read", seeds=[f"{h}:{p}" for h, p in seeds], done=not first)


def watch(reactor, on_change):
    """Watch the settings file by polling and at SIGHUP; the ``SeedsWatcher``.

    *on_change* is called with changed seeds (``[(host, port)]``). Returns ``None`` if
    no settings file is given in ``FILE_VARIABLE``.
    """
    path = os.environ.get(FILE_VARIABLE, "")
    if not path:
        return None
    watcher = SeedsWatcher(path, on_change)

    def on_sighup(_number, _frame):
        reactor.callFromThread(watcher.poll)

    signal.signal(signal.SIGHUP, on_sighup)
    loop = task.LoopingCall(watcher.poll)
    loop.clock = reactor
    loop.start(clock.seconds(POLL_INTERVAL_MS))
    return watcher
