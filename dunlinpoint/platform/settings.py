"""Settings that change while a process runs: the addresses of the controls.

The platform writes a process's settings file anew, with or without SIGHUP, when
its list of controls changes. A process that knows others by now does not need
the new list, one that was cut off while all of them were replaced does.
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
# How often the file is looked at where no signal tells of a change.
LOOK_MS = 2000


@attrs.define
class Watch:
    """The settings file, and who hears of new seeds (``[(host, port)]``)."""

    path: str
    hear: object
    seen: tuple | None = None
    seeds: list | None = None

    def look(self):
        """Read the file if it has changed; a bad one changes nothing."""
        try:
            found = os.stat(self.path)
            state = found.st_mtime_ns, found.st_size, found.st_ino
            if state == self.seen:
                return
            self.seen = state
            with open(self.path) as source:
                seeds = checks.addresses(",".join(json.load(source)["seeds"]), "seeds")
        except (OSError, ValueError, KeyError, TypeError) as exc:
            log.warning("settings_unread", error=repr(exc))
            return
        if seeds == self.seeds:
            return
        first, self.seeds = self.seeds is None, seeds
        if not first:
            self.hear(seeds)
        log.info("settings_read", seeds=[f"{h}:{p}" for h, p in seeds], done=not first)


def watch(reactor, hear):
    """Look at the settings file now and then and at SIGHUP, if there is one."""
    path = os.environ.get(FILE_VARIABLE, "")
    if not path:
        return None
    watched = Watch(path, hear)

    def hung_up(_number, _frame):
        reactor.callFromThread(watched.look)

    signal.signal(signal.SIGHUP, hung_up)
    loop = task.LoopingCall(watched.look)
    loop.clock = reactor
    loop.start(clock.seconds(LOOK_MS))
    return watched
