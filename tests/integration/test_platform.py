"""Callers' HTTP requests through a real entry and control, as on the platform."""

import http.client
import json
import signal
import socket

import pytest

from tests.integration.platform_lab import (
    ATTEMPT,
    EVENT_COUNT,
    SIGNATURE,
    ask,
    document,
    event,
)
from tests.integration.waits import wait_for


def test_request_reaches_a_server_with_the_workspace_and_without_the_key(platform):
    status, headers, body = platform.call("plain", "a-1")
    seen = json.loads(body)
    assert status == 200 and headers[SIGNATURE] in ("i-0", "i-1")
    assert seen["x-dunlinpoint-tenant"] == "brand-a"
    assert "authorization" not in seen
    assert int(seen["x-dunlinpoint-deadline-ms"]) <= 4000


def test_unknown_key_and_route_are_denied(platform):
    assert platform.call("plain", "d-1", Authorization="Bearer other")[0] == 401
    assert platform.call("plain", "d-2", prefix="/nowhere/")[0] == 404
    assert platform.servers_that_ran("d-1") == platform.servers_that_ran("d-2") == []


def test_full_servers_are_reported_as_not_run_with_retry_after(platform):
    status, headers, _ = platform.call("full", "f-1")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert platform.servers_that_ran("f-1") == []


@pytest.mark.parametrize("kind", ["unsigned", "foreign"])
def test_an_answer_that_is_not_the_servers_own_is_not_passed_on(platform, kind):
    # Guards against a caller that receives the answer to another request, because the
    # entry passes on any answer that arrives on the connection. A server answers
    # without its signature, or with the id of another request.
    status, headers, body = platform.call(kind, f"x-{kind}")
    assert status == 502
    assert SIGNATURE not in headers and b"another" not in body
    assert len(platform.servers_that_ran(f"x-{kind}")) == 1


def test_idempotent_requests_are_retried_at_another_server(platform):
    status, _, _ = platform.call("unsigned", "o-1", prefix="/often/")
    assert status == 502
    assert sorted(platform.servers_that_ran("o-1")) == ["i-0", "i-1"]


def test_a_stream_broken_within_an_event_is_resumed_without_a_gap(platform):
    # Guards against a partial event joined to the data of another server, and against
    # a repeated event, because the entry passes on bytes instead of complete events. A
    # server closes the connection within an event; the stream is resumed at another.
    status, _, body = platform.call("stream", "s-1", prefix="/stream/")
    assert status == 200
    assert body == b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
    assert sorted(platform.servers_that_ran("s-1")) == ["i-0", "i-1"]


def test_a_stream_whose_resumption_is_denied_ends_as_incomplete(platform):
    # Guards against the text of a failure that is passed on as the rest of a stream: a
    # second server answers 404 once the caller has the head of the first one's answer.
    with pytest.raises(http.client.IncompleteRead) as raised:
        platform.call("gone", "g-1", prefix="/stream/")
    events = b"".join(event(number) for number in range(1, 4))
    assert raised.value.partial == events
    assert sorted(platform.servers_that_ran("g-1")) == ["i-0", "i-1"]


@pytest.mark.parametrize(
    "content_type, body",
    [
        ("multipart/form-data; boundary=b", b"--b--"),
        ("multipart/form-data", b"--b--"),
        (
            "multipart/form-data; boundary=b",
            b"--b\r\nContent-Disposition: form-data; name*=x\r\n\r\n1\r\n--b--\r\n",
        ),
        ("application/x-www-form-urlencoded", b"a=%zz&&;=\xff"),
    ],
)
def test_a_form_reaches_its_server_unread(platform, content_type, body):
    # Guards against an entry that parses bodies and answers a malformed form itself.
    headers = {
        ATTEMPT: f"f-{len(platform.runs)}",
        "X-Dunlinpoint-Deadline-Ms": "4000",
        "Authorization": "Bearer key-1",
        "Content-Type": content_type,
    }
    answer = ask(platform.entry_port, "POST", "/once/plain", body, headers)
    assert answer[0] == 200
    seen = json.loads(answer[2])
    assert seen["content-type"] == content_type
    assert seen["content-length"] == str(len(body))


def test_config_revokes_keys_and_never_reverts(platform):
    # Guards against a revoked key that becomes valid again: version 9 revokes key-1,
    # and the delayed version 5 arrives after it.
    put = json.dumps(document(9, keys=("key-2",)))
    assert platform.admin("POST", "/api/config/replace", put)[0] == 200
    wait_for(lambda: platform.call("plain", "k-1")[0] == 401)
    late = json.dumps(document(5))
    assert platform.admin("POST", "/api/config/replace", late)[0] == 200
    status, text = platform.admin("GET", "/api/config/read")
    assert status == 200 and text == put.encode()
    assert platform.call("plain", "k-2")[0] == 401
    again = json.dumps(document(11))
    assert platform.admin("POST", "/api/config/replace", again)[0] == 200
    wait_for(lambda: platform.call("plain", "k-3")[0] == 200)


def test_taking_the_last_key_away_opens_nothing(platform):
    # Guards against routes that are open to anybody because no key is left.
    put = json.dumps(document(13, keys=()))
    assert platform.admin("POST", "/api/config/replace", put)[0] == 200
    wait_for(lambda: platform.call("plain", "n-1")[0] == 401)
    for number, key in enumerate(("key-2", "other", "")):
        answer = platform.call("plain", f"n-2{number}", Authorization=f"Bearer {key}")
        assert answer[0] == 401
    assert platform.servers_that_ran("n-20") == []
    without_tenants = json.dumps(document(15) | {"tenants": None})
    assert platform.admin("POST", "/api/config/replace", without_tenants)[0] == 400
    put = json.dumps(document(17, keys=("key-1",)))
    assert platform.admin("POST", "/api/config/replace", put)[0] == 200
    wait_for(lambda: platform.call("plain", "n-3")[0] == 200)


def test_taking_the_last_tenant_away_opens_nothing(platform):
    # Guards against routes that are open to anybody because no tenant is left.
    put = json.dumps(document(18) | {"tenants": []})
    assert platform.admin("POST", "/api/config/replace", put)[0] == 200
    assert platform.admin("GET", "/api/config/read")[1] == put.encode()
    wait_for(lambda: platform.call("plain", "m-1")[0] == 401)
    for number, key in enumerate(("key-1", "other", "")):
        answer = platform.call("plain", f"m-2{number}", Authorization=f"Bearer {key}")
        assert answer[0] == 401
    assert platform.servers_that_ran("m-20") == []
    put = json.dumps(document(19))
    assert platform.admin("POST", "/api/config/replace", put)[0] == 200
    wait_for(lambda: platform.call("plain", "m-3")[0] == 200)


def test_invalid_config_is_refused(platform):
    bad = document(20)
    bad["routes"][0]["timeoutMs"] = 0
    status, text = platform.admin("POST", "/api/config/replace", json.dumps(bad))
    assert status == 400 and b"timeout_ms" in text
    bad = document(21)
    bad["routes"][1]["service"] = "nobody"
    status, text = platform.admin("POST", "/api/config/replace", json.dumps(bad))
    assert status == 400 and b"nobody" in text


def test_deregistered_server_receives_no_requests(platform):
    status, _ = platform.admin("POST", "/api/instances/i-1/deregister")
    assert status == 200
    wait_for(lambda: platform.call("plain", "l-0")[1][SIGNATURE] == "i-0")
    answers = [platform.call("plain", f"l-{n}")[1][SIGNATURE] for n in range(1, 12)]
    assert set(answers) == {"i-0"}


def test_planned_stop_refuses_kept_connections_and_ends_by_itself(platform):
    # Guards against answers that are cut off at the end of an instance's grace time,
    # because requests are accepted for as long as a connection stays open. After
    # SIGTERM, a caller continues to use its persistent connection.
    with socket.create_connection(("127.0.0.1", platform.entry_port)):
        platform.entry.send_signal(signal.SIGTERM)
        wait_for(lambda: ask(platform.ready_port, "GET", "/api/readyz")[0] == 503)
        assert platform.call("plain", "t-1")[0] == 200
        assert platform.entry.wait(10) == 0
