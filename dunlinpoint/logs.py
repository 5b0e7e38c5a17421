"""Structured log lines through logbook: one JSON object a line on stderr.

Lines are written only for changes of state (joined, draining, document in
force); steady work is counted in :mod:`dunlinpoint.metrics` instead.
"""

import json
import sys

import logbook


def _format(record, handler):
    line = {"t": round(record.time.timestamp(), 3), "level": record.level_name}
    line["role"] = record.channel
    line["event"] = record.message
    line.update(record.kwargs)
    return json.dumps(line, default=str)


def setup(level="INFO"):
    """Send every logbook record at *level* or above to stderr as JSON."""
    handler = logbook.StreamHandler(sys.stderr, level=level, bubble=False)
    handler.formatter = _format
    handler.push_application()
    return handler


def logger(role):
    """The logger of one role (``entry``, ``agent``, ``control`` ...)."""
    return logbook.Logger(role)
