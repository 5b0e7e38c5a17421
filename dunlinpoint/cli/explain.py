"""One request's story, from the log lines of several processes.

Lines that bear the request's id come first in order of time; around them, the
lines that changed what those processes believed (members, groups, documents,
voters), since those decided what became of it.
"""

import json

import attrs

# How long before a request's first line a change of belief may matter: the
# lease of a member that has fallen silent.
BEFORE_S = 5.0
BELIEFS = {
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
# What an endpoint said of itself, which decides for requests that were not sent to it.
NOTICES = {"endpoint_limit", "endpoint_rests", "endpoint_leaves"}


@attrs.frozen
class Line:
    """One log line: when, from which file, and its fields."""

    at_s: float
    source: str
    fields: dict

    def text(self):
        """The line for a reader: time, source, event, fields."""
        hidden = {"t", "role", "event", "level"}
        shown = [f"{k}={v}" for k, v in self.fields.items() if k not in hidden]
        role, event = self.fields.get("role", ""), self.fields.get("event", "")
        return f"{self.at_s:.3f} {self.source} {role} {event} {' '.join(shown)}"


def read(paths):
    """Every structured line of the files at *paths*; other text is passed over."""
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


def story(lines, request_id):
    """The lines that tell of *request_id*, with the beliefs around them."""
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return []
    first, last = own[0].at_s - BEFORE_S, own[-1].at_s
    tried = {line.fields.get("endpoint_id") for line in own}
    return [
        line
        for line in lines
        if line in own or (first <= line.at_s <= last and _matters(line, tried))
    ]


def _matters(line, tried):
    """Whether what *line* tells may have decided for a request at *tried*."""
    event = line.fields.get("event")
    if event in NOTICES:
        return True
    return event in BELIEFS and line.fields.get("endpoint_id") in tried | {None}
