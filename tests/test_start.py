"""Modules that a process imports before it can serve.

Guards against slow starts: when every process imported the modules of all roles, TLS
and an HTTP client among them, a zone whose entries had been killed refused callers for
two seconds longer than the restart takes. With the modules listed here a start took
1.1 s of CPU time and 65 MB, without them 0.8 s and 50 MB.
"""

import subprocess
import sys

import pytest

UNUSED_BY_ROLE = {
    "entry": ["OpenSSL", "treq", "dunlinpoint.control.server", "dunlinpoint.standins"],
    "control": [
        "OpenSSL",
        "treq",
        "dunlinpoint.experts.leader",
        "dunlinpoint.standins",
    ],
    "agent": ["OpenSSL", "dunlinpoint.control.server", "dunlinpoint.forward.site"],
}
PROGRAM = """
import sys
from dunlinpoint import startup
startup.prepare()
from dunlinpoint.platform import commands, {role}
loaded = [name for name in {unused!r} if sys.modules.get(name) is not None]
sys.exit(" ".join(loaded) or 0)
"""


@pytest.mark.parametrize("role", UNUSED_BY_ROLE)
def test_a_role_loads_only_what_it_needs(role):
    program = PROGRAM.format(role=role, unused=UNUSED_BY_ROLE[role])
    found = subprocess.run([sys.executable, "-c", program], capture_output=True)
    assert found.returncode == 0, found.stderr.decode()
