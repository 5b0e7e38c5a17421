"""Selection of the agent at which an entry starts a request."""

import attrs
from twisted.internet import defer, task

from dunlinpoint import clock, metrics
from dunlinpoint.entry import app
from dunlinpoint.routing import pick
from dunlinpoint.wire.gen.dunlin import ttypes

BACKOFF_MS = 200
MEMBERS = [ttypes.Member(endpoint_id=name, zone="z", slots=4) for name in "ab"]


@attrs.define
class View:
    """A view of two engines."""

    def live(self, _kind):
        return MEMBERS


@attrs.define
class Link:
    """A link to an agent; agent ``a`` is draining and refuses."""

    name: str
    asked: list

    def call(self, _method, _order):
        self.asked.append(self.name)
        if self.name == "a":
            return defer.fail(ttypes.Refused("draining", BACKOFF_MS))
        return defer.succeed(None)


@attrs.define
class Entry:
    clock: clock.Clock
    asked: list = attrs.field(factory=list)
    zone: str = "z"
    view: View = attrs.field(factory=View)
    picker: pick.Picker = attrs.field(factory=lambda: pick.Picker("z"))
    counters: metrics.Counters = attrs.field(factory=lambda: metrics.Counters(None))

    def link(self, member):
        return Link(member.endpoint_id, self.asked)


def test_an_agent_that_refuses_gets_no_request_during_its_backoff(monkeypatch):
    # Guards against requests sent repeatedly to an agent that is draining.
    monkeypatch.setattr(app.owners, "engines", lambda members, *_: members)
    reactor = task.Clock()
    entry = Entry(clock.Clock(reactor))
    order = ttypes.GenerateOrder(prompt="p")
    for _ in range(3):
        app.start(entry, order)
    assert entry.asked == ["a", "b", "b", "b"]
    reactor.advance(BACKOFF_MS / 1000)
    app.start(entry, order)
    assert entry.asked[4:] == ["a", "b"]
