"""Propagation of an entry's crash reports to all other entries.

Every entry follows every control that it reaches, so each control that accepts a report
forwards it, in the answers to their long polls, to all connected entries of all zones.
An entry in a zone that is partitioned reports to its own zone's controls, which forward
the reports to the entries of other zones once they are reachable.

Nothing is stored on disk: an entry that starts gets the reports from the controls, and
a control that starts gets them from the entries. If all processes that knew a report
are killed at once, the request has to crash some endpoints again before it is
convicted.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs
from dunlinpoint.follow import view
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("entry")

RETRY_MS = 500
# Reports pile up beyond this number only if no control was reachable for long. The
# oldest are dropped.
MAX_PENDING = 10_000


@attrs.frozen
class PendingReport:
    """A report that no control has accepted yet, of an event at ``at_ms``.

    ``subject`` names what *digest* identifies, unless that is a whole request.
    """

    digest: bytes
    incarnation: str
    at_ms: int
    subject: str = ""

    def to_message(self, now):
        """The report as a ``CrashReport``."""
        return ttypes.CrashReport(
            self.digest, self.incarnation, now - self.at_ms, self.subject
        )


@attrs.define
class Sharing:
    """Sends reports to the controls, and keeps those not accepted yet."""

    view: view.View
    clock: clock.Clock
    pending: list = attrs.field(factory=list)
    is_sending: bool = False

    def publish(self, reports):
        """Send *reports* (``PendingReport``) to every reachable control."""
        self.pending = (self.pending + reports)[-MAX_PENDING:]
        if not self.is_sending:
            self.is_sending = True
            self._send().addErrback(self._failed)

    @defer.inlineCallbacks
    def _send(self):
        while self.pending:
            sent = self.pending
            messages = [report.to_message(self.clock.now()) for report in sent]
            calls = [
                followed.link.call("report", messages)
                for followed in self.view.controls.followed_by_address.values()
            ]
            results = yield defer.DeferredList(calls, consumeErrors=True)
            for ok, failure in results:
                if not ok and not failure.check(errors.WireError):
                    log.error("report_failed", error=failure.getErrorMessage())
            if any(ok for ok, _ in results):
                self.pending = [r for r in self.pending if r not in sent]
            else:
                yield self.clock.sleep(RETRY_MS)
        self.is_sending = False

    def _failed(self, failure):
        self.is_sending = False
        log.error("report_failed", error=failure.getTraceback())
