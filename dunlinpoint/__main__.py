"""Entry point of ``dunlinpoint`` and ``python -m dunlinpoint``."""

from dunlinpoint import startup

startup.prepare()

from dunlinpoint.cli import daemon  # noqa: E402

main = daemon.main

if __name__ == "__main__":
    main()
