"""Structured logging through logbook: one JSON object per line on standard output.

A line is written for each decision that affects a request or changes the state
known to the process, with the values it was based on, and also at start, stop
and reload, and when a dependency is lost or regained. ``FIELDS`` lists every
field; a field means the same in every role.

Logging must not slow down or block the process:

- Under load, log lines are more than anyone reads and cost CPU time. Each event
  has its own rate limit per second, higher for failures than for successes, and
  a ``lines_lost`` line gives the number of lines left out.
- A reader that stops reading would block the process at its next write. Lines go
  to a buffer of bounded size; lines that do not fit are dropped and counted.
"""

import collections
import errno
import json
import os
import sys
import time

import attrs
import logbook

# Lines per second of one event. A successful request writes one line; an entry gets
# 6 requests per second in current deployments and 260 in the largest planned one. At
# 30 microseconds per line, the limits cost 0.2 % and 0.6 % of a core.
INFO_PER_S = 60
FAILURE_PER_S = 200
# Holds several seconds of lines at the full rate limit.
BUFFER_BYTES = 512 * 1024

FIELDS = {
    "request": "the caller's id of one attempt",
    "endpoint_id": "the endpoint that a decision is about",
    "group": "the group of ranks",
    "zone": "availability zone",
    "workspace": "the caller's workspace",
    "route": "name of the route",
    "service": "name of the service",
    "status": "HTTP status returned to the caller",
    "outcome": "result of a request or an attempt",
    "reason": "reason, as in the name of the counter",
    "retry_ms": "retry delay given to the caller in Retry-After",
    "left_ms": "time left until the caller's deadline",
    "took_ms": "duration",
    "first_ms": "time from arrival to the first event",
    "longest_gap_ms": "longest gap between two events",
    "tries": "number of endpoints the request was sent to",
    "events": "number of events forwarded",
    "events_by_attempt": "number of events forwarded, of each endpoint that began",
    "framing": "what tells where the body of the endpoint's answer ends",
    "marked": "whether that end came, and not the end of the connection alone",
    "end_left_ms": "time left until the request's deadline when that answer ended",
    "credit": "retries that the service's budget still allows this entry",
    "slack_part": "this entry's part of the retries that need no first attempt",
    "digest": "identifies a request's content, the same for every retry",
    "parts": "ids of the parts of a request's prompt",
    "subject": "what a digest identifies, if not a whole request",
    "waited_ms": "how long the check of an endpoint took",
    "checks": "how an endpoint was checked after an unmarked end",
    "not_asked": "why no other endpoint was asked for the answer or its rest",
    "evidence": "what shows whether the endpoint lives on after an unmarked end",
    "ends_by_attempt": "how the answer of each attempt that began a stream ended",
    "repeats_by_attempt": "how often each of them sent the caller's last event again",
    "silence_ms": "time from the last byte of a stream to its end",
    "unread": "whether it may have ended because it was not read",
    "announced_leave": "whether the endpoint has announced that it leaves, or has left",
    "checked": "whether the endpoint is checked for a crash under the request",
    "age_ms": "time since it was observed",
    "requests": "number of requests that were in progress",
    "at_endpoint": "this entry's requests at the endpoint when it was chosen",
    "generation": "version of the member list",
    "in_flight": "requests in flight in this process",
    "pause_ms": "median of the most recent gaps between events",
    "lasting_ms": "mean gap between events over more than a second",
    "on": "true when the condition began, false when it ended",
    "streams": "this process's streams in flight at the group",
    "apart_ms": "spacing that an entry keeps between two requests",
    "rest_ms": "how long an endpoint asks this entry to send it nothing",
    "cold_ms": "how much longer an endpoint counts as cold",
    "limit_per_s": "endpoint's rate limit in requests per second; null if it has none",
    "entries": "number of entries",
    "field": "field that could not be parsed",
    "let_in": "share of requests admitted, given the group's step time",
    "urgency": "priorities of workspace and route, the most urgent first",
    "cause": "why this caller was refused rather than another",
    "returned": "whether the caller seems to have retried as told",
    "share": "admitted share of such callers when it was decided on",
    "draw": "the caller's random number; it is refused if it is not below the share",
    "round": "round of agreement",
    "version": "version of a document or a map",
    "evacuated": "zones whose endpoints get no requests",
    "before": "value before the change",
    "after": "value after the change",
    "vouched_ms": "time since a majority of controls last confirmed the state",
    "silent_ms": "time since the last response of each voter",
    "waiting": "control instances that could become voters",
    "voters": "voters of the next round",
    "node_id": "a control instance's id",
    "control_id": "a control instance's name",
    "control": "address of a control instance",
    "host": "a machine's address",
    "kind": "kind of member",
    "draining": "whether it accepts no new work",
    "sequence": "number of the heartbeat that reported it",
    "incarnation": "start of an endpoint's process, Unix ms; 0 if not reported",
    "epoch": "epoch of a group",
    "open": "whether a group serves",
    "step": "step of a group",
    "armed": "ranks that are armed",
    "rank": "number of a rank in its group",
    "missing": "ranks that did not answer",
    "moved": "number of experts copied",
    "choices": "expert choices in the first set of counts that a map was planned from",
    "pass_ms": "duration of a decode step",
    "group_streams": "streams that a group's engines run or queue",
    "busiest": "streams at the busiest rank of a group",
    "imbalance": "streams at the busiest rank, over the mean of all ranks",
    "hurry": "whether a map change was wanted at once",
    "left": "work still to do",
    "leaving": "endpoints or control instances that are leaving",
    "done": "whether it was carried out",
    "call": "thrift call between dunlinpoint's processes",
    "loop": "background loop",
    "port": "port listened on",
    "seeds": "control addresses from the settings",
    "unread_bytes": "bytes written for a caller that it has not read",
    "held_bytes": "bytes that an entry holds for all of its callers",
    "limit_bytes": "held bytes above which an entry refuses new requests",
    "unread_ms": "how long a caller has read nothing while bytes waited for it",
    "counters": "counters by name",
    "omitted": "number of lines left out by the rate limit, by event",
    "dropped": "number of lines dropped because the buffer was full",
    "error": "error text as reported by its source",
}


def _format(record, handler):
    line = {"t": round(time.time(), 3), "level": record.level_name}
    line["role"] = record.channel
    line["event"] = record.message
    line.update(record.kwargs)
    return json.dumps(line, default=str)


@attrs.define
class LineRateLimit:
    """Rate limit of log lines: per event and per second."""

    second: int = 0
    count_by_event: collections.Counter = attrs.field(factory=collections.Counter)
    omitted_by_event: collections.Counter = attrs.field(factory=collections.Counter)

    def allow(self, event, failure, now_s):
        """Whether one more line of *event* may be written in second *now_s*.

        *failure* selects the limit: ``FAILURE_PER_S`` or ``INFO_PER_S``.
        """
        if now_s != self.second:
            self.second = now_s
            self.count_by_event.clear()
        key = event, failure
        self.count_by_event[key] += 1
        if self.count_by_event[key] <= (FAILURE_PER_S if failure else INFO_PER_S):
            return True
        self.omitted_by_event[event] += 1
        return False

    def pop_omitted(self, now_s):
        """The number of lines left out in earlier seconds, by event, or ``None``.

        Each count is returned once.
        """
        if now_s == self.second or not self.omitted_by_event:
            return None
        found = dict(self.omitted_by_event)
        self.omitted_by_event.clear()
        return found


class NonBlockingWriter:
    """Buffered writer to a file descriptor that never blocks."""

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self.buffer = bytearray()
        self.dropped = 0
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def write(self, data):
        """Write *data*, or buffer it; drop it if the buffer is full."""
        if len(self.buffer) + len(data) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self.buffer += data
        self.flush()

    def flush(self):
        """Write as much of the buffer as the descriptor takes."""
        while self.buffer:
            try:
                count = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError as exc:
                if exc.errno == errno.EINTR:
                    continue
                # The reader is gone for good (e.g. a closed pipe): discard the
                # buffer and only count the loss.
                self.dropped += 1
                self.buffer.clear()
                return
            del self.buffer[:count]


class LogHandler(logbook.Handler):
    """logbook handler that writes rate-limited lines to *output*."""

    def __init__(self, output, level):
        super().__init__(level=level, bubble=False)
        self.formatter = _format
        self.output = output
        self.rate_limit = LineRateLimit()

    def emit(self, record):
        now_s = int(time.monotonic())
        omitted = self.rate_limit.pop_omitted(now_s)
        if omitted or self.output.dropped:
            self._write_lost(omitted or {})
        failure = record.level >= logbook.WARNING
        if self.rate_limit.allow(record.message, failure, now_s):
            self.output.write(self.format(record).encode() + b"\n")

    def _write_lost(self, omitted):
        line = {"t": round(time.time(), 3), "level": "WARNING", "event": "lines_lost"}
        line["omitted"] = omitted
        line["dropped"], self.output.dropped = self.output.dropped, 0
        self.output.write(json.dumps(line).encode() + b"\n")


def setup(level="INFO", descriptor=None):
    """Send logbook records at *level* or above to standard output.

    *descriptor* replaces the file descriptor of standard output.
    """
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    handler = LogHandler(NonBlockingWriter(descriptor), level)
    handler.push_application()
    return handler


def logger(role):
    """The logger of *role* (``entry``, ``agent``, ``control`` ...)."""
    return logbook.Logger(role)
