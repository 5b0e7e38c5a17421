"""An emulator of cold starts: for how long a server is cold, and what arrives then.

A server is cold for a time from its start, and may turn cold at any later moment. It
reports the time that is left in its heartbeats.
"""

import attrs

SPAN_S = 1.0


@attrs.frozen
class ColdPeriod:
    """The server is cold from *begin_s* to *end_s* (monotonic time)."""

    begin_s: float
    end_s: float

    def includes(self, at_s):
        return self.begin_s <= at_s < self.end_s


@attrs.define
class ColdStart:
    """The cold periods of one server.

    ``reported_s_by_period`` holds when heartbeats that reported a period were
    acknowledged.
    """

    periods: list = attrs.field(factory=list)
    reported_s_by_period: dict = attrs.field(factory=dict)

    def period_at(self, at_s):
        """The ``ColdPeriod`` at *at_s*, or ``None``."""
        return next((p for p in self.periods if p.includes(at_s)), None)

    def left_ms(self, at_s):
        """How much longer the server is cold at *at_s*, in ms."""
        period = self.period_at(at_s)
        return 0 if period is None else round((period.end_s - at_s) * 1000)

    def reported(self, sent_s, at_s):
        """Record that a heartbeat sent at *sent_s* was acknowledged at *at_s*."""
        period = self.period_at(sent_s)
        if period is not None:
            self.reported_s_by_period.setdefault(period, []).append(at_s)


def most_in_span(times_s):
    """The most of the sorted *times_s* in any span of ``SPAN_S``."""
    first, found = 0, 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] >= SPAN_S:
            first += 1
        found = max(found, last - first + 1)
    return found
