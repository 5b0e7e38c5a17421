"""Non-idempotent calls run at most once, whichever entry a retry reaches."""

import signal

from dunlinpoint.lab import client
from tests.integration.waits import wait_for


def runs(deployment, key):
    return [e for e in deployment.executions() if e["key"] == key]


def test_retry_through_another_zone_does_not_run_twice(deployment):
    # Guards against a slot confirmed twice, which books an antenna for two customers.
    # A slot_confirm goes through an entry in z1 and its answer is lost; the platform's
    # balancer sends the retry with the same idempotency key to an entry in z2. If each
    # entry chooses the key's owner among its own zone's service agents only, the two
    # attempts reach different key tables.
    z1 = deployment.entries_by_zone["z1"][0]
    z2 = deployment.entries_by_zone["z2"][0]
    first = client.call(z1, "slot_confirm", "cross-zone-1", {"slot": "oita-3"})
    again = client.call(z2, "slot_confirm", "cross-zone-1", {"slot": "oita-3"})
    assert first.final["outcome"] == again.final["outcome"] == "done"
    assert again.final["body"] == first.final["body"]
    assert len(runs(deployment, "cross-zone-1")) == 1


def test_missing_key_is_refused_not_run(deployment):
    port = deployment.entries_by_zone["z1"][0]
    answer = client.post(port, "/v1/call/dues_charge", {"vessel": "trawler-9"})
    assert answer.status == 400
    assert answer.final["outcome"] == "not_run"
    assert runs(deployment, "") == []


def test_not_run_means_not_run_when_the_service_is_down(deployment):
    # Guards against two faults: "not_run" for a call whose request may have been
    # written to the service, so that the slot is confirmed anyway; and a key that stays
    # reserved although the call never reached the service, so that the retry is refused
    # as a repeat. The service of the key's owner is killed, a call is attempted, the
    # service restarts, and the caller retries with the same key.
    from dunlinpoint.routing import owners

    key = "down-then-up-1"
    ids = [n.removeprefix("agent-") for n in deployment.by_name if "agent-service" in n]
    owner = max(ids, key=lambda i: owners.score(key, i))
    backend = f"{owner}-backend"
    deployment.stop(backend, signal.SIGKILL)
    port = deployment.entries_by_zone["z1"][0]
    first = client.call(port, "slot_release", key, {"slot": "kagoshima-1"})
    assert first.status == 503
    assert first.final["outcome"] == "not_run"
    assert "Retry-After" in first.headers
    assert runs(deployment, key) == []
    deployment.restart(backend)
    again = client.call(port, "slot_release", key, {"slot": "kagoshima-1"})
    assert again.final["outcome"] == "done"
    assert len(runs(deployment, key)) == 1


def service_agents(deployment, key):
    """Service agents' ids, ordered by precedence as owner of *key*."""
    from dunlinpoint.routing import owners

    ids = [n.removeprefix("agent-") for n in deployment.by_name if "agent-service" in n]
    return sorted(ids, key=lambda i: -owners.score(key, i))


def test_retry_after_the_owner_restarted_does_not_run_twice(deployment):
    # Guards against a dues charge billed twice, because the key table was only in the
    # memory of one agent. The call runs; the key's owner agent is killed and restarts;
    # the caller lost the answer and retries with the same key.
    key = "owner-restarts-1"
    owner = f"agent-{service_agents(deployment, key)[0]}"
    port = deployment.entries_by_zone["z1"][0]
    first = client.call(port, "dues_charge", key, {"vessel": "trawler-9"})
    deployment.stop(owner, signal.SIGKILL)
    deployment.restart(owner)
    again = wait_for(lambda: answered(port, "dues_charge", key))
    assert again.final["body"] == first.final["body"]
    assert len(runs(deployment, key)) == 1


def test_retry_while_the_owner_is_unreachable_does_not_run_twice(deployment):
    # The same failure as above, but the owner stays down until its lease expires and
    # the retry goes to the next agent in the key's order. That agent had no record of
    # the key.
    key = "owner-gone-1"
    owner = f"agent-{service_agents(deployment, key)[0]}"
    port = deployment.entries_by_zone["z2"][0]
    first = client.call(port, "slot_confirm", key, {"slot": "oita-1"})
    deployment.stop(owner, signal.SIGKILL)
    again = wait_for(lambda: answered(port, "slot_confirm", key))
    deployment.restart(owner)
    assert again.final["body"] == first.final["body"]
    assert len(runs(deployment, key)) == 1


def answered(port, operation, key):
    """The answer if it is final, ``None`` if the call was refused."""
    answer = client.call(port, operation, key, {"vessel": "trawler-9"})
    return answer if answer.status == 200 else None
