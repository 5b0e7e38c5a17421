"""``requirements.txt`` lists the dependencies declared in ``pyproject.toml``."""

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
# Only the load tool needs these; no process of a deployment imports them.
LOAD_TOOL_ONLY = {"hdrhistogram>=0.10,<0.11"}


def test_requirements_list_the_project_dependencies():
    # The platform installs from requirements.txt. With a dependency missing there,
    # processes fail to start on the users' machines.
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    listed = set((ROOT / "requirements.txt").read_text().split())
    assert listed == set(project["dependencies"]) - LOAD_TOOL_ONLY
