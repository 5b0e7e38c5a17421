"""``dunlinpoint`` and ``python -m dunlinpoint``: where every process begins."""

import signal

# By default SIGHUP ends a process. A platform sends it when it has written a
# process's settings anew; the process died and cut what was in flight. Ignored
# only once the libraries were loaded, it ended a process that was just starting.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from dunlinpoint.cli import daemon  # noqa: E402

main = daemon.main

if __name__ == "__main__":
    main()
