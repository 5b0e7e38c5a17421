"""Delivery of crash reports to the controls."""

import attrs
from twisted.internet import defer, task

from dunlinpoint import clock
from dunlinpoint.suspects import sharing
from dunlinpoint.wire import errors


@attrs.define
class Link:
    """A control that accepts reports, or is unreachable."""

    is_reachable: bool = True
    accepted: list = attrs.field(factory=list)

    def call(self, _method, reports):
        if not self.is_reachable:
            return defer.fail(errors.OutcomeUnknown("h:1"))
        self.accepted += [(report.life, report.age_ms) for report in reports]
        return defer.succeed(None)


@attrs.define
class Followed:
    link: Link


@attrs.define
class Controls:
    followed_by_address: dict


@attrs.define
class View:
    controls: Controls


def entry(*links):
    reactor = task.Clock()
    controls = Controls({n: Followed(link) for n, link in enumerate(links)})
    return reactor, sharing.Sharing(View(controls), clock.Clock(reactor))


def report(incarnation, at_ms=0):
    return sharing.PendingReport(b"d", incarnation, at_ms)


def test_every_reachable_control_gets_the_reports():
    first, second, unreachable = Link(), Link(), Link(is_reachable=False)
    _, found = entry(first, second, unreachable)
    found.publish([report("a")])
    assert first.accepted == second.accepted == [("a", 0)]
    assert found.pending == []


def test_pending_reports_keep_their_time():
    # No control is reachable from the entry when an endpoint crashes, and another
    # endpoint crashes before one is reachable again.
    link = Link(is_reachable=False)
    reactor, found = entry(link)
    found.publish([report("a")])
    reactor.advance(0.2)
    found.publish([report("b", 200)])
    link.is_reachable = True
    reactor.advance(sharing.RETRY_MS / 1000 - 0.2)
    assert link.accepted == [("a", 500), ("b", 300)]
    assert found.pending == [] and not found.is_sending


def test_pending_reports_are_bounded(monkeypatch):
    monkeypatch.setattr(sharing, "MAX_PENDING", 3)
    _, found = entry(Link(is_reachable=False))
    for incarnation in "abcde":
        found.publish([report(incarnation)])
    assert [pending.incarnation for pending in found.pending] == ["c", "d", "e"]
