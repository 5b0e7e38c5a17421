"""Detection and isolation of requests that crash endpoints, at one entry."""

import io
import random

import attrs
import pytest
from twisted.internet import defer, task

from dunlinpoint import clock, metrics
from dunlinpoint.forward import quarantine, state
from dunlinpoint.suspects import registry
from dunlinpoint.wire.gen.dunlin import ttypes


def member(endpoint_id, incarnation=0, **changed):
    fields = {"host": "h", "port": 1, "service_name": "s"} | changed
    return ttypes.Member(endpoint_id=endpoint_id, incarnation=incarnation, **fields)


@attrs.define
class Request:
    method: bytes = b"POST"
    uri: bytes = b"/a/b"
    content: io.BytesIO = attrs.field(factory=lambda: io.BytesIO(b"body"))


def make_call():
    """One request at the entry, without a route."""
    return state.Call(Request(), None, "s", None, 0, None, None, streaming=False)


@attrs.define
class Pool:
    """A pool that knows which endpoint ids do not listen."""

    closed: set = attrs.field(factory=set)

    def refuses_connections(self, found):
        return defer.succeed(found.endpoint_id in self.closed)


@attrs.define
class View:
    members: list = attrs.field(factory=list)

    def endpoints(self):
        return self.members


@attrs.define
class Sharing:
    published: list = attrs.field(factory=list)

    def publish(self, reports):
        self.published += reports


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
    forwarder = Forwarder(clock.Clock(reactor), quarantine.Quarantine(Sharing()))
    refused = []
    monkeypatch.setattr(
        quarantine.responses,
        "respond",
        lambda _forwarder, _request, status, reason, retry_after_ms, **_log_fields: (
            refused.append((status, reason, retry_after_ms))
        ),
    )
    return reactor, forwarder, refused


def crash_endpoints(reactor, forwarder, endpoint_ids):
    """Crash one endpoint after the other under the same request."""
    for endpoint_id in endpoint_ids:
        forwarder.pool.closed.add(endpoint_id)
        quarantine.connection_ended(forwarder, make_call(), member(endpoint_id))
        reactor.advance(1)


def test_a_request_is_convicted_after_three_crashes_and_reported(entry):
    # Guards against a group that stalls each time one caller retries: the request
    # crashes an endpoint at each attempt, and no record of it is kept.
    reactor, forwarder, refused = entry
    crash_endpoints(reactor, forwarder, "ab")
    assert quarantine.enter(forwarder, make_call())
    crash_endpoints(reactor, forwarder, "c")
    assert not quarantine.enter(forwarder, make_call())
    assert refused == [(503, "convicted", registry.EXPIRY_MS)]
    assert [
        report.incarnation for report in forwarder.quarantine.sharing.published
    ] == [
        "a",
        "b",
        "c",
    ]


def test_an_endpoint_that_listens_has_not_crashed(entry):
    # Guards against requests refused because connections were reset, responses were
    # interrupted, or the end of a network partition reset connections.
    reactor, forwarder, _ = entry
    for endpoint_id in "abc":
        quarantine.connection_ended(forwarder, make_call(), member(endpoint_id))
        reactor.pump([1, quarantine.RESTART_WINDOW_MS / 1000])
    assert forwarder.quarantine.sharing.published == []
    assert forwarder.quarantine.pending_by_incarnation == {}


def test_a_crash_soon_after_a_connection_that_only_ended_is_noticed_at_once(entry):
    # Guards against a crash that is reported seconds late, and blamed on requests from
    # before it: a connection to the endpoint ended shortly before for another reason.
    reactor, forwarder, _ = entry
    harmless, crashing = make_call(), make_call()
    harmless.request.uri = b"/a/harmless"
    quarantine.connection_ended(forwarder, harmless, member("a"))
    reactor.pump([0.1, 3])
    forwarder.pool.closed.add("a")
    quarantine.connection_ended(forwarder, crashing, member("a"))
    reactor.advance(2 * quarantine.CRASH_CHECK_DELAY_MS / 1000)
    published = forwarder.quarantine.sharing.published
    assert [report.digest for report in published] == [quarantine.digest_of(crashing)]


@pytest.mark.parametrize(
    "now_there",
    [member("a", incarnation=7), member("b"), member("b", incarnation=2)],
)
def test_a_new_incarnation_confirms_a_crash(entry, now_there):
    # The endpoint has restarted and listens again before the check.
    reactor, forwarder, _ = entry
    quarantine.connection_ended(forwarder, make_call(), member("a"))
    reactor.advance(0.5)
    forwarder.view.members = [now_there]
    quarantine.detect_restarts(forwarder)
    assert [
        report.incarnation for report in forwarder.quarantine.sharing.published
    ] == ["a"]


@pytest.mark.parametrize(
    "now_there",
    [
        member("a"),
        member("b", port=2),
        member("b", service_name="other"),
        member("b", gone=True),
    ],
)
def test_unrelated_members_confirm_no_crash(entry, now_there):
    reactor, forwarder, _ = entry
    quarantine.connection_ended(forwarder, make_call(), member("a"))
    reactor.advance(0.5)
    forwarder.view.members = [now_there]
    quarantine.detect_restarts(forwarder)
    assert forwarder.quarantine.sharing.published == []


def test_a_suspect_runs_alone(entry):
    reactor, forwarder, refused = entry
    crash_endpoints(reactor, forwarder, "ab")
    first, second = make_call(), make_call()
    assert quarantine.enter(forwarder, first)
    assert not quarantine.enter(forwarder, second)
    assert refused == [(503, "suspect_at_work", quarantine.SUSPECT_RETRY_AFTER_MS)]
    quarantine.leave(forwarder, first)
    assert quarantine.enter(forwarder, make_call())


def test_a_suspect_that_is_served_is_cleared_everywhere(entry):
    reactor, forwarder, _ = entry
    crash_endpoints(reactor, forwarder, "ab")
    quarantine.request_served(forwarder, make_call())
    assert forwarder.quarantine.sharing.published[-1].incarnation == ""
    assert (
        quarantine.suspect_status(forwarder, make_call())
        is registry.SuspectStatus.CLEAR
    )


def test_a_request_served_during_the_check_did_not_cause_the_crash(entry):
    reactor, forwarder, _ = entry
    forwarder.pool.closed.add("a")
    quarantine.connection_ended(forwarder, make_call(), member("a"))
    quarantine.request_served(forwarder, make_call())
    reactor.advance(1)
    assert forwarder.quarantine.sharing.published == []


def test_a_request_is_cleared_after_its_response_is_finished(entry):
    # Guards against a request that is served and still reported as the cause of a
    # crash: the HTTP library has discarded its body by then.
    reactor, forwarder, _ = entry
    forwarder.pool.closed.add("a")
    quarantine.connection_ended(forwarder, make_call(), member("a"))
    call = make_call()
    call.read_body()
    call.request.content = None
    quarantine.request_served(forwarder, call)
    reactor.advance(1)
    assert forwarder.quarantine.sharing.published == []


def test_reports_of_other_entries_count(entry):
    # The caller retries at another entry each time.
    _, forwarder, refused = entry
    name = quarantine.digest_of(make_call())
    reports = [
        ttypes.CrashReport(name, endpoint_id, 1000 * n)
        for n, endpoint_id in enumerate("abc")
    ]
    entry_quarantine = forwarder.quarantine
    entry_quarantine.receive_reports(forwarder, reports)
    assert not quarantine.enter(forwarder, make_call())
    assert refused[0][1] == "convicted"
    assert entry_quarantine.sharing.published == []


def test_no_digest_is_computed_without_suspects(entry):
    # Guards against the cost of hashing each request while no endpoint has crashed.
    _, forwarder, _ = entry
    call = make_call()
    assert quarantine.enter(forwarder, call)
    quarantine.request_served(forwarder, call)
    assert call.digest is None
