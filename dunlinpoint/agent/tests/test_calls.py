"""Answers of the local service that a call is sent to."""

import types

import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport
from twisted.web import client

from dunlinpoint import clock, http_calls, http_client, metrics
from dunlinpoint.agent import calls
from dunlinpoint.wire.gen.dunlin import ttypes


class Service:
    """An HTTP client whose calls are all answered with the bytes *answer*."""

    def __init__(self, answer):
        self.answer = answer

    def post(self, url, **options):
        connection = http_client.BoundedProtocol(lambda _: None)
        connection.makeConnection(StringTransport())
        headers = client.Headers({b"host": [b"h"]})
        responding = connection.request(client.Request(b"POST", b"/", headers, None))
        connection.dataReceived(self.answer)
        return responding


@pytest.mark.parametrize(
    "status, outcome", [(b"200", "done"), (b"409", "done"), (b"000", "unknown")]
)
def test_a_call_is_done_only_with_a_status_that_exists(monkeypatch, status, outcome):
    # Failure: the status 000 of a service in trouble is kept as the outcome of a call
    # that may run once.
    answer = b"HTTP/1.1 " + status + b" A\r\nContent-Length: 2\r\n\r\n{}"
    monkeypatch.setattr(http_calls, "default", lambda: Service(answer))
    state = types.SimpleNamespace(
        settings=types.SimpleNamespace(backend="http://h"),
        clock=clock.Clock(task.Clock()),
        counters=metrics.Counters(None),
    )
    order = ttypes.CallOrder(request_id="r", operation="o", body_json="{}")
    results = []
    calls.forward(state, order).addBoth(results.append)
    assert results[0].outcome == outcome
