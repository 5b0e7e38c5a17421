"""``python -m dunlinpoint`` runs the daemon."""

from dunlinpoint.cli import daemon

daemon.main()
