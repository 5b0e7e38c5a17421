"""Guarantees under faults: real processes with a fault proxy before every agent."""

import signal
import threading
import time

import pytest

from dunlinpoint.lab import client
from dunlinpoint.routing import owners
from tests.integration import deployments
from tests.integration.waits import wait_for

PROXIED = {
    "zones": ["z1", "z2"],
    "controls": 3,
    "entries": 1,
    "engines": 2,
    "services": 1,
    "proxied": True,
}
FINAL_ANSWER_BOUND_S = 5
# From SIGTERM to the last new request. An agent must accept no new work within a few
# seconds of the signal. It handles the signal asynchronously, so a request sent just
# after the signal may still be accepted.
DRAIN_BOUND_MS = 2000


@pytest.fixture(scope="module")
def proxied(tmp_path_factory):
    with deployments.running(PROXIED, tmp_path_factory.mktemp("proxied")) as found:
        yield found


@pytest.fixture
def restore_links(proxied):
    yield
    for proxy_admin_port in proxied.steer_by_agent.values():
        client.fault(proxy_admin_port, "pass")


def owner_of(deployment, key):
    ids = [
        n.removeprefix("agent-") for n in deployment.steer_by_agent if "service" in n
    ]
    return "agent-" + max(ids, key=lambda i: owners.score(key, i))


def runs(deployment, key):
    return [e for e in deployment.executions() if e["key"] == key]


def test_lost_answer_is_unknown_then_replayed_once(proxied, restore_links):
    # Guards against an entry that answers "not_run" on a timeout although the charge
    # ran, and against an agent that forwards the same key twice, so that the charge
    # runs twice. The agent forwards the charge and the service executes it; the answer
    # from agent to entry is held back beyond the entry's timeout; the caller retries
    # with the same key once the link is restored.
    key = "lost-answer-1"
    proxy_admin_port = proxied.steer_by_agent[owner_of(proxied, key)]
    port = proxied.entries_by_zone["z1"][0]
    client.fault(proxy_admin_port, "freeze", "down")
    first = client.call(port, "dues_charge", key, {"vessel": "trawler-3"})
    assert first.status == 504
    assert first.final["outcome"] == "unknown"
    assert "Retry-After" in first.headers
    client.fault(proxy_admin_port, "pass")
    again = client.call(port, "dues_charge", key, {"vessel": "trawler-3"})
    assert again.final["outcome"] == "done"
    assert len(runs(proxied, key)) == 1


def test_late_and_reordered_answers_reach_their_own_callers(proxied, restore_links):
    # Guards against a caller that receives another caller's answer or a part of it,
    # because the entry relays a chunk without checking its request id and offset. Every
    # agent link delays and reorders data by up to 40 ms while 24 requests run
    # concurrently.
    for name, proxy_admin_port in proxied.steer_by_agent.items():
        if "engine" in name:
            client.fault(proxy_admin_port, "reorder", "both", 40)
    ports = [p for ps in proxied.entries_by_zone.values() for p in ps]
    answers = {}

    def one(i):
        answers[i] = client.generate(ports[i % 2], f"#{i} pass {i}", 10, f"late-{i}")

    threads = [threading.Thread(target=one, args=(i,)) for i in range(24)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    assert len(answers) == 24
    for i, answer in answers.items():
        assert answer.final["outcome"] == "done", answer.final
        assert {line["request_id"] for line in answer.lines} == {f"late-{i}"}
        assert [line["i"] for line in answer.lines[:-1]] == list(range(10))


def test_abandoned_request_is_answered_immediately(proxied, restore_links):
    # Guards against a caller that waits until its own timeout for a request that the
    # entry has already abandoned, because the final answer is not sent as soon as the
    # entry stops its attempts. The agent's link is cut in the middle of a long stream.
    port = proxied.entries_by_zone["z1"][0]
    result = {}

    def long_request():
        result["answer"] = client.generate(port, "#1 long draft", 400, "cut-1")

    thread = threading.Thread(target=long_request)
    thread.start()
    owner = wait_for(lambda: engine_of(proxied, "cut-1"))
    proxy_admin_port = proxied.steer_by_agent["agent-" + owner.removesuffix("-backend")]
    client.fault(proxy_admin_port, "cut")
    cut_s = time.monotonic()
    thread.join(30)
    answer_delay_s = time.monotonic() - cut_s
    final = result["answer"].final
    assert final["outcome"] in ("unknown", "done")
    if final["outcome"] == "unknown":
        assert answer_delay_s < FINAL_ANSWER_BOUND_S
    assert [line["i"] for line in result["answer"].lines[:-1]] == list(
        range(final["tokens"])
    )


def engine_of(deployment, request_id):
    """Name of the engine process that received *request_id*, or ``None``."""
    for name, process in deployment.by_name.items():
        if name.startswith("engine-") and name.endswith("-backend"):
            if request_id in client.get(process.port, "/requests"):
                return name
    return None


def test_draining_agent_gets_no_new_work_and_finishes_its_own(proxied):
    # Guards against an agent that accepts new requests while it is draining, and one
    # that stops immediately and aborts its request in flight. A long request runs at
    # an agent that receives SIGTERM while new requests keep arriving.
    port = proxied.entries_by_zone["z1"][0]
    result = {}
    thread = threading.Thread(
        target=lambda: result.update(
            answer=client.generate(port, "#2 long dues summary", 300, "drain-1")
        )
    )
    thread.start()
    backend = wait_for(lambda: engine_of(proxied, "drain-1"))
    agent = "agent-" + backend.removesuffix("-backend")
    proxied.by_name[agent].signal(signal.SIGTERM)
    drained_at_ms = time.time() * 1000
    later = [client.generate(port, f"#4 after drain {i}", 4) for i in range(10)]
    thread.join(60)
    assert result["answer"].final["outcome"] == "done", result["answer"].final
    assert len(result["answer"].tokens) == 300
    assert all(a.final["outcome"] == "done" for a in later), [a.final for a in later]
    arrivals = client.get(proxied.by_name[backend].port, "/requests")
    after = [at - drained_at_ms for i, at in arrivals.items() if i != "drain-1"]
    last_arrival_ms = max(after, default=0)
    assert last_arrival_ms < DRAIN_BOUND_MS, arrivals
    assert proxied.by_name[agent].wait(30) == 0, "drained agent did not exit 0"


def test_cut_off_zone_goes_on_serving(proxied, restore_links):
    # Guards against a zone that stops answering when it is cut off from the other one,
    # because its entry keeps routing to unreachable members; and against service calls
    # that are executed by an agent other than the key's owner, as these may run more
    # than once. The links to all agents of z2 are cut while callers use z1's entry.
    for name, proxy_admin_port in proxied.steer_by_agent.items():
        if "-z2-" in name:
            client.fault(proxy_admin_port, "cut")
    port = proxied.entries_by_zone["z1"][0]
    answers = [client.generate(port, f"#5 cut zone {i}", 6) for i in range(10)]
    assert all(a.final["outcome"] == "done" for a in answers)
    for i in range(6):
        key = f"cut-zone-{i}"
        start_s = time.monotonic()
        answer = client.call(port, "slot_lookup", key, {"slot": i})
        assert time.monotonic() - start_s < FINAL_ANSWER_BOUND_S
        assert answer.final["outcome"] in ("done", "not_run")
        if answer.final["outcome"] == "not_run":
            assert "Retry-After" in answer.headers
            assert runs(proxied, key) == []


def test_planned_stop_of_an_entry_completes_its_streams(proxied, restore_links):
    # Guards against an entry that closes its connections on SIGTERM instead of
    # completing the requests in flight, so that a caller's stream ends early. A long
    # request streams through the z2 entry when it receives SIGTERM.
    port = proxied.entries_by_zone["z2"][0]
    result = {}
    thread = threading.Thread(
        target=lambda: result.update(
            answer=client.generate(port, "#6 long clearance", 300, "entry-stop-1")
        )
    )
    thread.start()
    wait_for(lambda: engine_of(proxied, "entry-stop-1"))
    proxied.by_name["entry-z2-0"].signal(signal.SIGTERM)
    thread.join(60)
    assert result["answer"].final["outcome"] == "done", result["answer"].final
    assert len(result["answer"].tokens) == 300
    assert proxied.by_name["entry-z2-0"].wait(30) == 0
