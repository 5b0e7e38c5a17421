"""Replacement of control instances: which losses the core bears, and when."""

import pytest

from dunlinpoint.control import voter_changes
from dunlinpoint.control.tests import core as cores

ZONES = ("z0", "z1", "z2")
SUCCESSORS_UP_MS = 8000
BETWEEN_STOPS_MS = 1000
RECOVERY_MS = 12_000


def assert_decides(core, name="last"):
    """Each instance reads the newest document, and a further one is accepted."""
    core.advance(RECOVERY_MS)
    assert core.propose(name) is not None
    assert set(core.read().values()) == {name}


def with_successors(folder, count):
    """Three founders, and *count* instances that were added 8 s ago."""
    core = cores.Core.from_zones(folder, ZONES)
    for number in range(count):
        core.start(f"c{3 + number}", ZONES[number])
    core.advance(SUCCESSORS_UP_MS)
    assert core.propose("second") is not None
    core.advance(2000)
    return core


def stop_in_turn(core, hosts, gap_ms=BETWEEN_STOPS_MS):
    for host in hosts:
        core.terminate(host)
        core.advance(gap_ms)


@pytest.mark.parametrize("gap_ms", [0, 50, 300, 1000, 1500])
def test_three_planned_replacements_in_turn(tmp_path, gap_ms):
    # Failure: no document is read or accepted any more after the three founders were
    # stopped as planned, 1 s apart, with three successors up: two of these had become
    # voters beside the three founders, who left without a word, so that two of five
    # voters were live before the first change of the set.
    core = with_successors(tmp_path, 3)
    stop_in_turn(core, ("c0", "c1", "c2"), gap_ms)
    assert_decides(core)
    assert core.voters() == {"c3", "c4", "c5"}


@pytest.mark.parametrize("pause_ms", [500, 1000, 2500, 8000])
@pytest.mark.parametrize("lost", ["c2", "c3", "c4"])
def test_a_disk_is_lost_after_two_planned_replacements(tmp_path, lost, pause_ms):
    # Failure: no document is read or accepted any more after two founders were stopped
    # as planned and a third instance lost its disk, up to 15 s later: the two stayed
    # voters for that time, so that two of five voters were left.
    core = with_successors(tmp_path, 2)
    stop_in_turn(core, ("c0", "c1"))
    core.advance(pause_ms)
    core.lose_disk(lost)
    core.advance(1000)
    core.start(lost)
    assert_decides(core)


@pytest.mark.parametrize("pause_ms", [300, 1000, 2500])
@pytest.mark.parametrize("stopped", ["c0", "c1", "c2"])
def test_a_disk_is_lost_after_a_planned_replacement(tmp_path, stopped, pause_ms):
    # Failure: no document is read or accepted any more after one founder was stopped
    # as planned and another one lost its disk within 2.5 s: the successor was no voter
    # yet, so that one of three voters was left.
    core = with_successors(tmp_path, 1)
    core.terminate(stopped)
    core.advance(pause_ms)
    lost = "c1" if stopped != "c1" else "c2"
    core.lose_disk(lost)
    core.advance(1000)
    core.start(lost)
    assert_decides(core)


@pytest.mark.parametrize("successors", [0, 1, 3])
def test_instances_that_restart_in_place_stay_or_become_voters(tmp_path, successors):
    # Failure: a rolling restart ends in fewer voters than before, or in none.
    core = with_successors(tmp_path, successors)
    count = len(core.voters())
    for host in list(core.state_by_host):
        core.terminate(host)
        core.advance(1000)
        core.start(host)
        core.advance(2000)
    assert_decides(core)
    assert len(core.voters()) == count


@pytest.mark.parametrize("successors", [0, 2, 3])
def test_all_instances_stop_at_once_and_start_again(tmp_path, successors):
    # Failure: the core does not decide after a planned stop of all its instances,
    # because some of them gave up their votes while the others had already ended.
    core = with_successors(tmp_path, successors)
    hosts = list(core.state_by_host)
    for host in hosts:
        core.terminate(host)
    core.advance(voter_changes.LEAVE_TIMEOUT_MS + 1000)
    assert not core.state_by_host
    for host in hosts:
        core.start(host)
    assert_decides(core)


def test_a_stop_without_a_quorum_ends(tmp_path):
    # Failure: a process does not end in its time, because it waits for a change of
    # voters that cannot be decided.
    core = with_successors(tmp_path, 1)
    core.halves = ({"c0"},)
    core.terminate("c0")
    core.advance(voter_changes.LEAVE_TIMEOUT_MS + 2000)
    assert "c0" not in core.state_by_host
    core.halves = ()
    assert_decides(core)


def test_an_added_voter_holds_the_decision_that_added_it(tmp_path):
    # Failure: a document is lost that only the old voters held. The one that stops has
    # ended, and another one loses its disk before the added voter asks for changes.
    core = with_successors(tmp_path, 1)
    core.terminate("c0")
    core.advance(cores.STEP_MS)
    core.lose_disk("c1")
    committed = core.state_by_host["c3"].peers.local.committed
    assert committed.change_id == "second"
    assert {v.host for v in committed.voters} == {"c1", "c2", "c3"}


@pytest.mark.parametrize("gap_ms", [0, 300, 1000])
def test_three_removals_without_a_word(tmp_path, gap_ms):
    # Failure: no document is read or accepted any more after the three founders were
    # removed, without SIGTERM, with three successors up.
    core = with_successors(tmp_path, 3)
    for host in ("c0", "c1", "c2"):
        core.kill(host)
        core.advance(gap_ms)
    assert_decides(core)


@pytest.mark.parametrize("removed", [("c0", "c1"), ("c1", "c2"), ("c0", "c2")])
@pytest.mark.parametrize("lost", ["c2", "c3", "c4"])
def test_a_disk_is_lost_after_two_removals_without_a_word(tmp_path, lost, removed):
    # Failure: as above, after two removals, 1 s apart, and a disk lost 8 s later.
    core = with_successors(tmp_path, 2)
    for host in removed:
        core.kill(host)
        core.advance(1000)
    core.advance(8000)
    core.lose_disk(lost)
    core.advance(1000)
    core.start(lost)
    assert_decides(core)


@pytest.mark.parametrize("pause_ms", [0, 1000])
def test_a_disk_is_lost_after_the_removal_of_a_succeeded_instance(tmp_path, pause_ms):
    # Failure: as above, after the removal of the instance in whose zone another one
    # was added, and a disk lost before the others miss the removed one.
    core = with_successors(tmp_path, 1)
    core.kill("c0")
    core.advance(pause_ms)
    core.lose_disk("c1")
    core.advance(1000)
    core.start("c1")
    assert_decides(core)
