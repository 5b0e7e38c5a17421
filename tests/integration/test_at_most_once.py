"""Non-idempotent calls run at most once, whichever entry a retry reaches."""

import signal

from dunlinpoint.lab import client
from tests.integration.waits import wait_for


def runs(deployment, key):
    return [e for e in deployment.executions() if e["key"] == key]


def test_retry_through_another_zone_does_not_run_twice(deployment):
    # Symptom: a slot is confirmed twice, booking an antenna for two
    # customers. Sequence: a caller's slot_confirm goes through an entry in
    # z1; the answer is lost; the platform's balancer sends the retry, with
    # the same idempotency key, to an entry in z2. Cause: each entry chose
    # the key's owner among its own zone's service agents only, so the two
    # tries met two different key tables.
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
    # Symptom: a caller told "not run" finds the slot confirmed anyway, or
    # a retry after "not run" is refused as a repeat. Sequence: the
    # service behind the key's owner is down (SIGKILL); the call is tried,
    # the service comes back, the caller retries with the same key. Cause
    # guarded against: saying "not run" after the request may have been
    # written, and keeping a key claimed when it never reached the service.
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
    """Service agents' ids in the order in which they own *key*."""
    from dunlinpoint.routing import owners

    ids = [n.removeprefix("agent-") for n in deployment.by_name if "agent-service" in n]
    return sorted(ids, key=lambda i: -owners.score(key, i))


def test_retry_after_the_owner_restarted_does_not_run_twice(deployment):
    # Symptom: a dues charge is billed twice. Sequence: the call runs; the
    # key's owner agent is killed and starts again; the caller, who lost the
    # answer, sends the same key. Cause: the key table was in that agent's
    # memory alone.
    key = "owner-restarts-1"
    owner = f"agent-{service_agents(deployment, key)[0]}"
    port = deployment.entries_by_zone["z1"][0]
    first = client.call(port, "dues_charge", key, {"vessel": "trawler-9"})
    deployment.stop(owner, signal.SIGKILL)
    deployment.restart(owner)
    again = wait_for(lambda: answered(port, "dues_charge", key))
    assert again.final["body"] == first.final["body"]
    assert len(runs(deployment, key)) == 1


def test_retry_while_the_owner_is_gone_does_not_run_twice(deployment):
    # Symptom as above. Sequence: the owner is killed and stays away until
    # its lease has run out; the retry goes to the next agent in the key's
    # order. Cause: the next agent knew nothing of the key.
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
    """The answer once it is a final one, or ``None`` while refused."""
    answer = client.call(port, operation, key, {"vessel": "trawler-9"})
    return answer if answer.status == 200 else None
