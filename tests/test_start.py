"""What a process loads before it can serve.

Symptom: callers of a zone whose entries were killed are refused for two seconds more
than the restart takes. Cause: each process loaded what all roles need, TLS and an HTTP
client among it. Grounds of the list: with it a start took 1.1 s of a core and 65 MB,
without it 0.8 s and 50 MB.
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
