"""Answers to an agent that nobody marked: whole ones, and parts.

The servers behind the agent are processes of their own, and a crash is the end of one.
"""

import json
import subprocess
import sys

import attrs
import pytest

from dunlinpoint.lab import deploy
from tests.integration import agent_backend, waits

TIMEOUT_S = 20
CUT_BYTES = 40
# Parts of an answer, or the whole of it, whose peer is not known to have ended it.
BROKEN = [("crash", CUT_BYTES), ("crash", 0), ("reset", CUT_BYTES), ("reset", None)]


@attrs.frozen
class Read:
    """What an agent ``found``, and the paths of the requests that ran."""

    found: dict
    paths: list


@pytest.fixture
def read(tmp_path):
    """A function that lets an agent read from servers that end answers with *end*.

    The first *count* bytes are sent, all for ``None``.
    """
    processes = []

    def run(kind, prefix, end, count=None):
        port, runs = deploy.free_port(), tmp_path / "runs"
        runs.write_text("")
        if count is None:
            count = len(agent_backend.body_of(prefix))
        module = "tests.integration.agent_backend"
        argv = [sys.executable, "-m", module, str(port), str(runs), prefix]
        processes.append(subprocess.Popen([*argv, str(count), end]))
        waits.wait_for(lambda: deploy.listening(port))
        module = "tests.integration.agent_reads"
        found = subprocess.run(
            [sys.executable, "-m", module, kind, str(port)],
            capture_output=True,
            timeout=TIMEOUT_S,
        )
        assert found.returncode == 0, found.stderr.decode()
        report = json.loads(found.stdout.splitlines()[-1])
        return Read(report, runs.read_text().split())

    yield run
    for process in processes:
        process.kill()
        process.wait()


def test_a_call_whose_service_goes_on_is_done(read):
    # Failure: no outcome is known of a call whose service marks no ends.
    body = agent_backend.body_of("/call/").decode()
    made = read("call", "/call/", "order")
    assert made.found["results"] == [["done", 200, body]] * 2
    assert made.found["record"]["state"] == "done"
    assert made.paths == ["/call/slot_confirm"]


@pytest.mark.parametrize("end, count", [*BROKEN, ("crash", None)])
def test_a_call_whose_service_crashed_has_no_known_outcome(read, end, count):
    # Failure: the half of an answer that a service sent before it crashed is recorded
    # as the outcome of a call that may run once, and every repetition gets it.
    made = read("call", "/call/", end, count)
    assert made.found["results"] == [["unknown", 0, "{}"]] * 2
    assert made.found["record"]["state"] == "unknown"
    assert made.found["record"]["body_json"] == "{}"
    assert made.paths == ["/call/slot_confirm"]


def test_a_whole_report_changes_the_map(read):
    # Failure: the map of an engine that marks no ends is never changed.
    made = read("rebalance", "/load", "order")
    assert made.found["counted"]["rebalanced"] == 1
    assert made.paths.count("/orders") == 1


@pytest.mark.parametrize("end, count", [*BROKEN, ("order", CUT_BYTES), ("order", 0)])
def test_a_part_of_a_report_changes_no_map(read, end, count):
    # Failure: a map is planned by a part of the counts.
    made = read("rebalance", "/load", end, count)
    assert made.found["counted"] == {"retried.load_report_failed": 1}
    assert made.paths == ["/load"]


def test_weights_of_a_store_that_goes_on_are_loaded(read):
    # Failure: the map of an engine whose store of weights marks no ends is not changed.
    made = read("rebalance", "/weights/", "order")
    assert made.found["counted"]["rebalanced"] == 1
    assert made.paths[-1] == "/orders" and made.paths.count("/orders") == 1
    assert made.found["failure"] == ""


@pytest.mark.parametrize("end, count", [*BROKEN, ("crash", None)])
def test_weights_of_a_store_that_crashed_are_not_loaded(read, end, count):
    # Failure: an engine is told to use experts of which a part was loaded.
    made = read("rebalance", "/weights/", end, count)
    assert made.found["experts"] == [] and "/orders" not in made.paths
    assert made.found["counted"] == {}
    assert "End(" in made.found["failure"]


def test_whole_counts_of_a_rank_are_read(read):
    # Failure: a leader cannot plan for a rank whose engine marks no ends.
    made = read("counts", "/api/", "order")
    assert made.found == {"counts": agent_backend.REPORT["counts"]}


@pytest.mark.parametrize("end, count", [*BROKEN, ("order", CUT_BYTES), ("order", 0)])
def test_a_part_of_the_counts_of_a_rank_is_not_read(read, end, count):
    # Failure: a leader plans a map by a part of a rank's counts.
    assert read("counts", "/api/", end, count).found == {"counts": None}
