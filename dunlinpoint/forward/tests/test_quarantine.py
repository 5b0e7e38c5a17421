"""Detection and isolation of requests that crash endpoints, at one entry."""

import io
import random

import attrs
import pytest
from twisted.internet import defer, task

from dunlinpoint import clock, metrics
from dunlinpoint.forward import quarantine
from dunlinpoint.suspects import registry
from dunlinpoint.wire.gen.dunlin import ttypes


def member(life, incarnation=0, **changed):
    told = {"host": "h", "port": 1, "service_name": "s"} | changed
    return ttypes.Member(endpoint_id=life, incarnation=incarnation, **told)


@attrs.define
class Request:
    method: bytes = b"POST"
    uri: bytes = b"/a/b"
    content: io.BytesIO = attrs.field(factory=lambda: io.BytesIO(b"body"))


@attrs.define
class Call:
    request: Request = attrs.field(factory=Request)
    service: str = "s"
    workspace: object = None
    digest: bytes | None = None
    is_alone: bool = False


@attrs.define
class Pool:
    """A pool that knows which endpoint ids do not listen."""

    closed: set = attrs.field(factory=set)

    def is_closed(self, found):
        return defer.succeed(found.endpoint_id in self.closed)


@attrs.define
class View:
    members: list = attrs.field(factory=list)

    def endpoints(self):
        return self.members


@attrs.define
class Sharing:
    told: list = attrs.field(factory=list)

    def publish(self, waiting):
        self.told += waiting


@attrs.define
class Forwarder:
    clock: clock.Clock
    quarantine: quarantine.Quarantine
    pool: Pool = attrs.field(factory=Pool)
    view: View = attrs.field(factory=View)
    counters: metrics.Counters = attrs.field(factory=lambda: metrics.Counters(None))
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))


@pytest.fixture
def entry(monkeypatch):
    """A clock, an entry, and the list of its refusals."""
    reactor = task.Clock()
    forward = Forwarder(clock.Clock(reactor), quarantine.Quarantine(Sharing()))
    refused = []
    monkeypatch.setattr(
        quarantine.answers,
        "answer",
        lambda _forward, _request, status, reason, retry_ms, **_why: refused.append(
            (status, reason, retry_ms)
        ),
    )
    return reactor, forward, refused


def end_endpoints(reactor, forward, lives):
    """Crash one endpoint after the other under the same request."""
    for life in lives:
        forward.pool.closed.add(life)
        quarantine.broke(forward, Call(), member(life))
        reactor.advance(1)


def test_the_third_endpoint_is_the_last_and_all_are_told(entry):
    # Guards against a group that stalls each time one caller retries: the request
    # crashes an endpoint at each attempt, and no record of it is kept.
    reactor, forward, refused = entry
    end_endpoints(reactor, forward, "ab")
    assert quarantine.enter(forward, Call())
    end_endpoints(reactor, forward, "c")
    assert not quarantine.enter(forward, Call())
    assert refused == [(503, "convicted", registry.EXPIRY_MS)]
    assert [w.incarnation for w in forward.quarantine.sharing.told] == ["a", "b", "c"]


def test_an_endpoint_that_listens_has_not_ended(entry):
    # Guards against requests refused because connections were reset, responses were
    # interrupted, or the end of a network partition reset connections.
    reactor, forward, _ = entry
    for life in "abc":
        quarantine.broke(forward, Call(), member(life))
        reactor.pump([1, quarantine.PENDING_MS / 1000])
    assert forward.quarantine.sharing.told == []
    assert forward.quarantine.broken_by_life == {}


@pytest.mark.parametrize(
    "now_there",
    [member("a", incarnation=7), member("b"), member("b", incarnation=2)],
)
def test_a_new_start_at_its_place_shows_that_an_endpoint_has_ended(entry, now_there):
    # The endpoint has restarted and listens again before the check.
    reactor, forward, _ = entry
    quarantine.broke(forward, Call(), member("a"))
    reactor.advance(0.5)
    forward.view.members = [now_there]
    quarantine.look_for_new_starts(forward)
    assert [w.incarnation for w in forward.quarantine.sharing.told] == ["a"]


@pytest.mark.parametrize(
    "now_there",
    [
        member("a"),
        member("b", port=2),
        member("b", service_name="other"),
        member("b", gone=True),
    ],
)
def test_others_show_nothing(entry, now_there):
    reactor, forward, _ = entry
    quarantine.broke(forward, Call(), member("a"))
    reactor.advance(0.5)
    forward.view.members = [now_there]
    quarantine.look_for_new_starts(forward)
    assert forward.quarantine.sharing.told == []


def test_a_suspect_runs_alone(entry):
    reactor, forward, refused = entry
    end_endpoints(reactor, forward, "ab")
    first, second = Call(), Call()
    assert quarantine.enter(forward, first)
    assert not quarantine.enter(forward, second)
    assert refused == [(503, "suspect_at_work", quarantine.ALONE_RETRY_MS)]
    quarantine.leave(forward, first)
    assert quarantine.enter(forward, Call())


def test_a_suspect_that_is_served_is_cleared_everywhere(entry):
    reactor, forward, _ = entry
    end_endpoints(reactor, forward, "ab")
    quarantine.served(forward, Call())
    assert forward.quarantine.sharing.told[-1].incarnation == ""
    assert quarantine.suspect_status(forward, Call()) is registry.SuspectStatus.CLEAR


def test_what_is_served_while_an_endpoint_is_looked_for_did_not_end_it(entry):
    reactor, forward, _ = entry
    forward.pool.closed.add("a")
    quarantine.broke(forward, Call(), member("a"))
    quarantine.served(forward, Call())
    reactor.advance(1)
    assert forward.quarantine.sharing.told == []


def test_what_other_entries_saw_counts_here(entry):
    # The caller retries at another entry each time.
    _, forward, refused = entry
    name = quarantine.digest_of(Call())
    reports = [ttypes.CrashReport(name, life, 1000 * n) for n, life in enumerate("abc")]
    quarantine_of = forward.quarantine
    quarantine_of.hear(forward, reports)
    assert not quarantine.enter(forward, Call())
    assert refused[0][1] == "convicted"
    assert quarantine_of.sharing.told == []


def test_a_calm_entry_works_out_no_digest(entry):
    # Guards against the cost of hashing each request while no endpoint has crashed.
    _, forward, _ = entry
    call = Call()
    assert quarantine.enter(forward, call)
    quarantine.served(forward, call)
    assert call.digest is None
