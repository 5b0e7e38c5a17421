"""A zone is evacuated and restored; requests go where they should."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import time

import pytest

from tests.integration import platform_lab
from tests.integration.waits import wait_for

IN_FORCE_BOUND_S = 5
# Longer than the standstill after which a control distrusts orders that waited.
FREEZE_S = 1.5


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """A control, an entry in zone z1, and servers i-0 in zone z1 and i-1 in z2."""
    folder = tmp_path_factory.mktemp("evacuation")
    yield from platform_lab.run(folder, server_zones=("z1", "z2"))


def order(platform, zone, action):
    """Send an order as an operator does, until it is acknowledged."""
    path = f"/api/evacuations/{zone}/{action}"
    wait_for(lambda: platform.admin("POST", path)[0] == 200, IN_FORCE_BOUND_S)


def server_reached(platform):
    """The server that answers a request; the entry prefers i-0, of its own zone."""
    _, headers, _ = platform.call("plain", f"reach-{time.monotonic()}", "/often/")
    return headers[platform_lab.SIGNATURE]


def ctl(platform, *argv):
    controls = f"127.0.0.1:{platform.inner_port}"
    command = [sys.executable, "-m", "dunlinpoint.cli.ctl", *argv]
    done = subprocess.run(
        [*command, "--controls", controls], capture_output=True, text=True, timeout=30
    )
    return done.returncode, [json.loads(line) for line in done.stdout.splitlines()]


def test_an_evacuated_zone_gets_no_requests_until_it_is_restored(platform):
    # Guards against orders that are acknowledged and not obeyed, by attempts after a
    # failed one also, and that are lost when the control restarts.
    wait_for(lambda: server_reached(platform) == "i-0")
    order(platform, "z1", "begin")
    wait_for(lambda: server_reached(platform) == "i-1", IN_FORCE_BOUND_S)
    order(platform, "z1", "begin")
    platform.restart_control()
    assert {server_reached(platform) for _ in range(12)} == {"i-1"}
    platform.call("unsigned", "failed", prefix="/often/")
    assert platform.servers_that_ran("failed") == ["i-1"]
    order(platform, "z1", "finish")
    wait_for(lambda: server_reached(platform) == "i-0", IN_FORCE_BOUND_S)


def test_requests_are_refused_at_once_when_all_zones_are_evacuated(platform):
    for zone in ("z1", "z2"):
        order(platform, zone, "begin")
    wait_for(lambda: platform.call("plain", "all-0")[0] == 503, IN_FORCE_BOUND_S)
    sent_s = time.monotonic()
    status, headers, body = platform.call("plain", "all-1")
    assert (status, body) == (503, b"evacuated")
    assert float(headers["Retry-After"]) > 0.5 and time.monotonic() - sent_s < 0.5
    assert platform.servers_that_ran("all-1") == []
    for zone in ("z1", "z2"):
        order(platform, zone, "finish")
    wait_for(lambda: platform.call("plain", "all-2")[0] == 200, IN_FORCE_BOUND_S)


def test_an_unknown_zone_is_refused(platform):
    for name, expected in (
        ("z9", 404),
        ("x" * 3000, 404),
        ("a%2Fb", 404),
        ("%FF", 400),
    ):
        status, text = platform.admin("POST", f"/api/evacuations/{name}/begin")
        assert status == expected, name
    status, text = platform.admin("POST", "/api/evacuations/z9/finish")
    assert (status, json.loads(text)) == (404, {"error": "unknown_zone"})
    assert platform.admin("GET", "/api/evacuations/z1/begin")[0] == 405
    assert platform.admin("POST", "/api/evacuations/z1/stop")[0] == 404


def test_an_order_that_waited_in_a_frozen_control_is_not_carried_out(platform):
    # Guards against a copy of an order that takes effect when a frozen control wakes
    # up, after its operator has sent the opposite order elsewhere.
    host = "127.0.0.1", platform.admin_port
    request = b"POST /api/evacuations/z2/begin HTTP/1.1\r\nHost: c\r\n\r\n"
    platform.control.send_signal(signal.SIGSTOP)
    try:
        with contextlib.closing(socket.create_connection(host, 5)) as connection:
            connection.sendall(request)
            time.sleep(FREEZE_S)
            platform.control.send_signal(signal.SIGCONT)
            answer = connection.recv(4096)
    finally:
        platform.control.send_signal(signal.SIGCONT)
    assert b" 503 " in answer.splitlines()[0] and b"order_waited" in answer
    _, (shown,) = ctl(platform, "show")
    assert shown["evacuated"] == []
    order(platform, "z2", "finish")


def test_operators_evacuate_and_restore_with_dunlinctl(platform):
    code, (answer,) = ctl(platform, "evacuate", "z2")
    assert (code, answer["accepted"]) == (0, True)
    assert ctl(platform, "show")[1][0]["evacuated"] == ["z2"]
    expected = {"z1": False, "z2": True}
    wait_for(
        lambda: (
            expected
            == {line["zone"]: line["evacuated"] for line in ctl(platform, "members")[1]}
        )
    )
    assert ctl(platform, "restore", "z2")[0] == 0
    assert ctl(platform, "show")[1][0]["evacuated"] == []
    code, (answer,) = ctl(platform, "evacuate", "z9")
    assert (code, answer["reason"]) == (1, "unknown_zone")
