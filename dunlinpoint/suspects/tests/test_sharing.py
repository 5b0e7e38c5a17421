"""Delivery of crash reports to the controls."""

import attrs
from twisted.internet import defer, task

from dunlinpoint import clock
from dunlinpoint.suspects import sharing
from dunlinpoint.wire import errors


@attrs.define
class Link:
    """A control that accepts reports, or is unreachable."""

    reached: bool = True
    taken: list = attrs.field(factory=list)

    def call(self, _method, reports):
        if not self.reached:
            return defer.fail(errors.OutcomeUnknown("h:1"))
        self.taken += [(report.life, report.age_ms) for report in reports]
        return defer.succeed(None)


@attrs.define
class Follow:
    link: Link


@attrs.define
class Controls:
    followed_by_address: dict


@attrs.define
class View:
    controls: Controls


def entry(*links):
    reactor = task.Clock()
    controls = Controls({n: Follow(link) for n, link in enumerate(links)})
    return reactor, sharing.Sharing(View(controls), clock.Clock(reactor))


def report(incarnation, at_ms=0):
    return sharing.PendingReport(b"d", incarnation, at_ms)


def test_every_reachable_control_gets_the_reports():
    near, away, cut = Link(), Link(), Link(reached=False)
    _, found = entry(near, away, cut)
    found.publish([report("a")])
    assert near.taken == away.taken == [("a", 0)]
    assert found.pending == []


def test_pending_reports_keep_their_time():
    # No control is reachable from the entry when an endpoint crashes, and another
    # endpoint crashes before one is reachable again.
    link = Link(reached=False)
    reactor, found = entry(link)
    found.publish([report("a")])
    reactor.advance(0.2)
    found.publish([report("b", 200)])
    link.reached = True
    reactor.advance(sharing.RETRY_MS / 1000 - 0.2)
    assert link.taken == [("a", 500), ("b", 300)]
    assert found.pending == [] and not found.is_sending


def test_pending_reports_are_bounded(monkeypatch):
    monkeypatch.setattr(sharing, "MAX_PENDING", 3)
    _, found = entry(Link(reached=False))
    for incarnation in "abcde":
        found.publish([report(incarnation)])
    assert [pending.incarnation for pending in found.pending] == ["c", "d", "e"]
