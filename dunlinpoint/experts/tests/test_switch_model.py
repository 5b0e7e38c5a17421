"""Exhaustive interleavings of two planners: no step begins with two maps."""

import logbook
import pytest

from dunlinpoint.experts import switch
from dunlinpoint.experts.tests import model

# The leader freezes or crashes once, with its rank's machine or without it; or two
# messages are lost, late or unanswered.
CASES = {
    "a process": (False, model.Budget(1, 0, 0)),
    "a machine": (True, model.Budget(1, 0, 0)),
    "two messages": (False, model.Budget(0, 2, 1)),
}


@pytest.mark.parametrize("case", CASES)
def test_two_planners_mix_no_step(case, monkeypatch):
    # Failure: a step with two maps, because the standby leads in place of a leader that
    # froze or died at any point, the leader returns, and commands are executed late.
    model.use_generators(monkeypatch)
    monkeypatch.setattr(switch.log, "level", logbook.CRITICAL)
    machines, budget = CASES[case]
    found = model.explore(3, machines, budget)
    planners = {version % switch.VERSION_STRIDE for version in found.versions}
    assert found.states > 1000
    assert 0 in planners and (8 in planners or not budget.processes)
