"""Answers of an engine whose bodies end with their connection alone."""

import attrs
import pytest
from twisted.internet import error, task
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure
from twisted.web import client

from dunlinpoint import clock, http_client
from dunlinpoint.experts import commands, dispatcher, engine

REPORT = b'{"rank": 0, "counts": [1]}'


class Http:
    """An HTTP client that gets *answers*, whose connections end with *end*."""

    def __init__(self, answers, end):
        self.answers = list(answers)
        self.end = end
        self.is_reset = isinstance(end, error.ConnectionLost)
        self.sent = 0

    def get(self, url, **options):
        self.sent += 1
        connection = http_client.BoundedProtocol(lambda _: None)
        connection.makeConnection(StringTransport())
        headers = client.Headers({b"host": [b"h"]})
        responding = connection.request(client.Request(b"POST", b"/", headers, None))
        connection.dataReceived(self.answers.pop(0))
        connection.connectionLost(failure.Failure(self.end))
        return responding

    post = get


@pytest.fixture(params=[error.ConnectionDone(), error.ConnectionLost()], ids=repr)
def rank(request):
    """A function of the answers that makes ``(Engine, Http)``."""

    def make(*answers):
        made = engine.Engine.from_config(
            MemoryReactorClock(),
            "127.0.0.1:1",
            engine.EnginePaths(),
            lambda report, lists: report,
        )
        http = Http(answers, request.param)
        return attrs.evolve(made, http=http), http

    return make


def result_of(deferred):
    results = []
    deferred.addBoth(results.append)
    return results[0]


def answer(status, body, fields=b""):
    return b"HTTP/1.1 " + status + b"\r\n" + fields + b"\r\n" + body


READS = [("state", {"rank": 0, "counts": [1]}), ("counts", [1])]


@pytest.mark.parametrize("read, expected", READS)
def test_a_report_is_whole_by_its_content(rank, read, expected):
    # Failure: a leader cannot plan for a rank whose engine marks no ends.
    made, http = rank(answer(b"200 OK", REPORT))
    found = result_of(getattr(made, read)())
    if http.is_reset:
        assert isinstance(found, failure.Failure) and found.check(engine.RankError)
        assert "UnmarkedEnd" in str(found.value)
    else:
        assert found == expected


@pytest.mark.parametrize("count", range(len(REPORT)))
@pytest.mark.parametrize("read", ["state", "counts"])
def test_a_report_that_is_cut_is_none(rank, read, count):
    # Failure: a leader plans a map by a part of a rank's report.
    made, http = rank(answer(b"200 OK", REPORT[:count]))
    found = result_of(getattr(made, read)())
    assert isinstance(found, failure.Failure) and found.check(engine.RankError)
    assert ("UnmarkedEnd" if http.is_reset else "OrderlyEnd") in str(found.value)


def test_a_report_whose_end_is_marked_is_read(rank):
    made, _ = rank(answer(b"200 OK", REPORT, b"Content-Length: %d\r\n" % len(REPORT)))
    assert result_of(made.state()) == {"rank": 0, "counts": [1]}


@pytest.mark.parametrize("status", [200, 202, 409, 503])
def test_a_command_is_answered_by_its_status(rank, status):
    # Failure: a command that an engine answered counts as unanswered and is sent again,
    # several times at once, as nothing marked the end of a body that nobody uses.
    made, http = rank(*[answer(b"%d A" % status, b"{}")] * 9)
    sender = dispatcher.Dispatcher(made, clock.Clock(task.Clock()))
    command = commands.Command.from_body(
        {"operation": commands.PREPARE, "version": 16, "epoch": 1, "mapping": []}
    )
    assert result_of(sender.dispatch(command)) == status
    assert http.sent == 1
    assert not sender.unanswered.is_recent()


def test_a_command_whose_answer_is_cut_before_its_mark_is_unanswered(rank):
    made, _ = rank(answer(b"200 OK", b"{}", b"Content-Length: 3\r\n"))
    assert result_of(made.send_command("{}")) == 0
