"""Command lines: the ``dunlinpoint`` daemon and the ``dunlinctl`` operator tool."""
