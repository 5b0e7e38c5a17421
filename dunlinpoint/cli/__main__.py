"""``python -m dunlinpoint.cli`` runs the daemon."""

from dunlinpoint.cli import daemon

daemon.main()
