"""Encoded bodies at the HTTP client of agents and leaders."""

import gzip

import pytest
from twisted.internet import defer, task
from twisted.internet.testing import StringTransport
from twisted.web import client

from dunlinpoint import http_calls, http_client

WHOLE = gzip.compress(b'{"slot": "a", "customer": "b"}' * 50, mtime=0)
BODIES = {"whole": WHOLE, "cut": WHOLE[: len(WHOLE) // 2], "no-gzip": b"no gzip"}


class Connection:
    """An agent whose requests are answered with *sent*."""

    def __init__(self, sent):
        self.sent = sent

    def request(self, method, uri, headers=None, bodyProducer=None):
        self.headers = headers
        found = http_client.BoundedProtocol(lambda _: None)
        self.transport = StringTransport()
        found.makeConnection(self.transport)
        own = client.Headers({b"host": [b"h"]})
        responding = found.request(client.Request(b"GET", b"/", own, None))
        found.dataReceived(self.sent)
        return responding


def result_of(deferred):
    results = []
    deferred.addBoth(results.append)
    return results[0]


@defer.inlineCallbacks
def read(monkeypatch, sent):
    """The body of the answer *sent* to a call."""
    connection = Connection(sent)
    monkeypatch.setattr(http_calls.client, "Agent", lambda *_, **options: connection)
    http = http_calls.make(task.Clock())
    response = yield http.get("http://h/", unbuffered=True)
    assert b"gzip" not in connection.headers.getRawHeaders(b"accept-encoding")
    return (yield http_client.read(task.Clock(), response))


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
def test_an_encoded_body_is_no_answer(monkeypatch, body):
    # Failure: the half of an encoded body that a service sent, or none of a body that
    # only says to be encoded, is taken for the outcome of a call.
    head = b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
    found = result_of(read(monkeypatch, head % len(body) + body))
    assert found.check(http_client.AnswerError)


@pytest.mark.parametrize("field", [b"", b"Content-Encoding: identity\r\n"])
def test_a_body_that_is_not_encoded_is_read(monkeypatch, field):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + field + b"\r\n"
    assert result_of(read(monkeypatch, head + b"body")) == b"body"
