"""Decisions while each save of a control instance takes long.

Failure: an accepted document is not in force for minutes, since each proposer's calls
time out behind the saves that the others' ballots cost, and all of them start again
with a higher ballot at once.
"""

import random

import pytest

from dunlinpoint.control import agreement
from dunlinpoint.control.tests import slow_core

# The time within which an accepted document must be in force.
IN_FORCE_MS = 7000
# Saves of a disk that is written to by other processes, as measured on one.
SAVE_S = (0.2, 0.4)
READ_INTERVAL_MS = 700
RESEND_MS = 100
STEP_MS = 50
SEEDS = 10


def make(folder, seed):
    core = slow_core.SlowCore.from_zones(folder, list("aba"))
    # Not all instances have started at the same moment.
    core.rng = random.Random(seed)
    core.advance(10 * core.rng.randrange(50))
    core.save_s = SAVE_S
    return core


def read_everywhere(core):
    """Read the document from every instance, as operators do."""
    for state in core.state_by_host.values():
        agreement.read(state.peers)


def send(core, host, name):
    """Send a document to the instance at *host* until it is decided."""
    state = core.state_by_host.get(host)
    if state is None or state.peers.local.committed.change_id == name:
        return
    version = state.peers.local.committed.version
    done = agreement.propose(state.peers, version, name, f'{{"name": "{name}"}}')

    def resend(outcome):
        if not outcome.accepted:
            reactor = core.reactor_by_host[host]
            delay_s = core.rng.uniform(0.5, 1.5) * RESEND_MS / 1000
            reactor.callLater(delay_s, send, core, host, name)

    done.addCallback(resend)


def ms_until_in_force(core, names):
    """The time until every instance holds one of *names*, or ``None`` if too long."""
    for waited_ms in range(0, IN_FORCE_MS + 1, STEP_MS):
        states = core.state_by_host.values()
        if all(s.peers.local.committed.change_id in names for s in states):
            return waited_ms
        core.advance(STEP_MS)
    return None


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_change_is_in_force_in_time(tmp_path, seed):
    core = make(tmp_path, seed)
    core.every(READ_INTERVAL_MS, read_everywhere, core)
    send(core, "c0", "second")
    assert ms_until_in_force(core, {"second"}) is not None


@pytest.mark.parametrize("seed", range(SEEDS))
def test_one_of_two_changes_is_in_force_in_time(tmp_path, seed):
    core = make(tmp_path, seed)
    core.every(READ_INTERVAL_MS, read_everywhere, core)
    send(core, "c0", "second")
    send(core, "c1", "other")
    assert ms_until_in_force(core, {"second", "other"}) is not None


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_change_whose_proposer_ends_is_in_force_in_time(tmp_path, seed):
    core = make(tmp_path, seed)
    core.every(READ_INTERVAL_MS, read_everywhere, core)
    send(core, "c0", "second")
    while core.state_by_host["c1"].peers.local.accepted is None:
        core.advance(STEP_MS)
    core.kill("c0")
    assert ms_until_in_force(core, {"second"}) is not None
