"""How what one entry saw of a request reaches all others.

Every entry follows every control that it reaches, so each control that takes a report
tells all entries that are in touch with it, of its own zone and of others, with the
answer to their long poll. An entry of a zone that is cut off tells its own zone's
controls, and the others' entries are told by those once they reach them.

Nothing is on disk: an entry that starts is told by the controls, and what only controls
knew that were all killed at once is learned again at the price of some endpoints.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs
from dunlinpoint.follow import view
from dunlinpoint.wire import errors
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("entry")

RETRY_MS = 500
# More than this many reports wait only where no control was reached for long; the
# oldest go first.
MAX_WAITING = 10_000


@attrs.frozen
class PendingReport:
    """A report that no control has taken yet, seen at *at_ms*."""

    digest: bytes
    incarnation: str
    at_ms: int

    def to_message(self, now):
        """The ``CrashReport`` of it."""
        return ttypes.CrashReport(self.digest, self.incarnation, now - self.at_ms)


@attrs.define
class Sharing:
    """The reports that wait to be told."""

    view: view.View
    clock: clock.Clock
    waiting: list = attrs.field(factory=list)
    is_telling: bool = False

    def publish(self, reports):
        """Tell every control in reach of *reports* (``PendingReport``)."""
        self.waiting = (self.waiting + reports)[-MAX_WAITING:]
        if not self.is_telling:
            self.is_telling = True
            self._tell().addErrback(self._failed)

    @defer.inlineCallbacks
    def _tell(self):
        while self.waiting:
            told = self.waiting
            messages = [report.to_message(self.clock.now()) for report in told]
            calls = [
                follow.link.call("report", messages)
                for follow in self.view.controls.followed_by_address.values()
            ]
            results = yield defer.DeferredList(calls, consumeErrors=True)
            for ok, failure in results:
                if not ok and not failure.check(errors.WireError):
                    log.error("report_failed", error=failure.getErrorMessage())
            if any(ok for ok, _ in results):
                self.waiting = [r for r in self.waiting if r not in told]
            else:
                yield self.clock.sleep(RETRY_MS)
        self.is_telling = False

    def _failed(self, failure):
        self.is_telling = False
        log.error("report_failed", error=failure.getTraceback())
