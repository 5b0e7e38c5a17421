"""Entry point of ``python -m dunlinpoint.platform``, for each platform process."""

from dunlinpoint import startup

startup.prepare()

from twisted.internet import reactor  # noqa: E402

from dunlinpoint import clock  # noqa: E402
from dunlinpoint.platform import commands  # noqa: E402

if __name__ == "__main__":
    clock.use_boot_clock(reactor)
    commands.main()
