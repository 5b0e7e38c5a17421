"""Decoding of the headers in which a server sends endpoint signals."""

import pytest
from twisted.web import http_headers

from dunlinpoint.platform import endpoint_signals as decoder
from dunlinpoint.routing import endpoint_signals


def read(status=200, **named):
    headers = http_headers.Headers()
    for name, value in named.items():
        headers.setRawHeaders(name.replace("_", "-"), [value])
    return decoder.from_response(status, headers)


def test_a_response_without_signals():
    assert read() == endpoint_signals.NO_SIGNAL


@pytest.mark.parametrize("value, per_s", [("1", 1.0), ("0.25", 0.25), (" 12.5 ", 12.5)])
def test_a_rate_limit_is_a_decimal_number_per_second(value, per_s):
    assert read(server_limit=value) == endpoint_signals.Signal(limit_per_s=per_s)


@pytest.mark.parametrize("value", ["", "many", "-1", "nan", "inf", "1,5", "0x10"])
def test_an_unreadable_limit_is_marked_incomplete(value):
    # Guards against a garbled rate limit that is treated as no limit.
    assert read(server_limit=value) == endpoint_signals.Signal(is_complete=False)


def test_signals_of_another_server_are_ignored():
    assert read(421, server_limit="1") == endpoint_signals.NO_SIGNAL


@pytest.mark.parametrize("value, backoff_ms", [("3", 3000), ("0.25", 250), ("0", 0)])
def test_a_refusal_may_ask_for_backoff(value, backoff_ms):
    assert read(503, retry_after=value) == endpoint_signals.Signal(
        backoff_ms=backoff_ms
    )


@pytest.mark.parametrize("value", ["", "-1", "Thu, 03 Dec 2026 10:00:00 GMT"])
def test_an_unreadable_backoff_is_ignored(value):
    assert read(503, retry_after=value) == endpoint_signals.NO_SIGNAL


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_an_unavailable_server_asks_for_backoff(status):
    assert read(status, retry_after="3") == endpoint_signals.NO_SIGNAL


@pytest.mark.parametrize("status", [200, 503, 500])
def test_any_response_may_signal_draining(status):
    assert read(status, server_leaving="1") == endpoint_signals.Signal(is_draining=True)


@pytest.mark.parametrize("value", ["", "0", "no"])
def test_other_values_do_not_signal_draining(value):
    assert read(server_leaving=value) == endpoint_signals.NO_SIGNAL
