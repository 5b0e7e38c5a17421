"""The keys of all tenants are taken away, one after the other.

Three tenants hold one key each. Three configurations take one of them away, as
``revoke`` with a count of 3 does. Requests that are sent later than ``revokeMs`` after
the last acknowledgement must not run, whether they have one of these keys, a key that
no configuration ever held, or none.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import deployment, server  # noqa: E402

REVOKE_S = deployment.BOUNDS["revokeMs"] / 1000
GAP_S = 1.0
TENANTS = ("t-1", "t-2", "t-3")
KEYS = ("key-of-1", "key-of-2", "key-of-3")
NEVER_HELD = "key-of-nobody"


def config(version, revoked):
    """A configuration in which the first *revoked* tenants hold no key any more."""
    tenants = [
        (name, [] if i < revoked else [KEYS[i]]) for i, name in enumerate(TENANTS)
    ]
    return deployment.desk_config(version, tenants)


def play(deployed, trouble):
    """Play the case; what broke a rule, or ``None``."""
    zones = deployed.zones
    cores = [deployed.add_core(i + 1, zones[i], True) for i in range(3)]
    entries = [deployed.add_entry(i + 11, zones[i]) for i in range(2)]
    for node in cores + entries:
        node.start()
    servers = [
        server.Server(deployed, "desk", i + 21, zone) for i, zone in enumerate(zones)
    ]
    for started in servers:
        started.announce_to(cores)
    operator = deployment.Operator(deployed)
    client = server.Client(deployed)
    try:
        if operator.send(cores, config(3, 0), 20) is None:
            raise deployment.CannotRun("the first configuration was not acknowledged")
        client.wait_until_served(entries, "/confirm/a", KEYS[2])
        for key in KEYS:
            if client.send(entries[0], "/confirm/b", key)[1] != 200:
                raise deployment.CannotRun(f"{key} is not served")
        if client.send(entries[0], "/confirm/c", NEVER_HELD)[1] != 401:
            raise deployment.CannotRun("an unknown key does not get 401")
        for step in (1, 2, 3):
            version = 3 + 4 * step
            if operator.send(cores, config(version, step if trouble else 0)) is None:
                raise deployment.CannotRun(f"version {version} was not acknowledged")
            time.sleep(GAP_S)
        time.sleep(REVOKE_S + 1.0)
        sent = {}
        for node in entries:
            for key in (*KEYS, NEVER_HELD, None):
                attempt, _ = client.send(node, "/confirm/d", key)
                sent[attempt] = key
                time.sleep(0.1)
        time.sleep(1.0)
    finally:
        for started in servers:
            started.stop()
    run = {attempt for started in servers for attempt in started.runs}
    wrong = [k for a, k in sent.items() if a in run and (trouble or k not in KEYS)]
    if not trouble and not all(a in run for a, k in sent.items() if k in KEYS):
        raise deployment.CannotRun("a request with a key that is held did not run")
    if not wrong:
        return None
    revoked = sum(key in KEYS for key in wrong)
    unknown = len(wrong) - revoked
    return (
        f"CONFIG: {revoked} requests ran whose key had been taken away, "
        f"ROUTE: {unknown} requests ran whose key no configuration ever held"
    )


if __name__ == "__main__":
    deployment.run_case(HERE, play)
