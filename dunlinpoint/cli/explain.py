"""The history of one request, from the log lines of several processes.

These are, in order of time, the lines with the request's id and the lines about
changes of state known to those processes (members, groups, documents, voters), since
that state determined the request's outcome.
"""

import json

import attrs

# How long before a request's first line a state change may have affected it: the
# lease of a member that has become unresponsive.
LOOKBACK_S = 5.0
STATE_CHANGES = {
    "member",
    "left",
    "lease_ended",
    "group",
    "group_open",
    "expert_map",
    "document_in_force",
    "decided",
    "voters_change",
    "control_lost",
    "draining",
    "stopped",
    "started",
    "lines_lost",
}
# Endpoint signals. They also affect requests that were not sent to the endpoint.
ENDPOINT_SIGNALS = {"endpoint_limit", "endpoint_rests", "endpoint_leaves"}


@attrs.frozen
class Line:
    """One log line: Unix time in seconds, path of its file, fields."""

    at_s: float
    source: str
    fields: dict

    def text(self):
        """The line as text: time, source, role, event, other fields."""
        hidden = {"t", "role", "event", "level"}
        shown = [f"{k}={v}" for k, v in self.fields.items() if k not in hidden]
        role, event = self.fields.get("role", ""), self.fields.get("event", "")
        return f"{self.at_s:.3f} {self.source} {role} {event} {' '.join(shown)}"


def read(paths):
    """All structured lines of the files at *paths*, by time; skips other text."""
    lines = []
    for path in paths:
        with open(path, errors="replace") as source:
            for raw in source:
                try:
                    fields = json.loads(raw)
                    lines.append(Line(float(fields["t"]), path, fields))
                except (ValueError, KeyError, TypeError):
                    continue
    return sorted(lines, key=lambda line: line.at_s)


def history(lines, request_id):
    """The lines of *request_id* and the state changes that may have affected it.

    *lines* must be in order of time. Returns ``[]`` if no line has the id.
    """
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return []
    first_s, last_s = own[0].at_s - LOOKBACK_S, own[-1].at_s
    tried = {line.fields.get("endpoint_id") for line in own}
    return [
        line
        for line in lines
        if line in own or (first_s <= line.at_s <= last_s and _is_relevant(line, tried))
    ]


def _is_relevant(line, tried):
    """Whether *line* may have affected a request sent to the endpoints *tried*."""
    event = line.fields.get("event")
    if event in ENDPOINT_SIGNALS:
        return True
    return event in STATE_CHANGES and line.fields.get("endpoint_id") in tried | {None}
