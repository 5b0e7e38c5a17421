"""The two lists of what is installed say the same."""

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
# The load tool's alone; no process of a deployment imports it.
TOOLS_ONLY = {"hdrhistogram>=0.10,<0.11"}


def test_the_platform_installs_what_the_project_declares():
    # Symptom: a process does not start on the users' machines. Sequence: a
    # library is added to the project and not to the list they build from.
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    listed = set((ROOT / "requirements.txt").read_text().split())
    assert listed == set(project["dependencies"]) - TOOLS_ONLY
