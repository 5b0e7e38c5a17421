"""What an endpoint is told of a request."""

import pytest

from dunlinpoint.config import document as config
from dunlinpoint.forward import exchange


class Call:
    """A request on a route, of a workspace."""

    def __init__(self, route, workspace):
        self.route = config.Route(
            "r", "h", "/", "streaming", 1, [config.Share("s")], priority=route
        )
        self.workspace = workspace


@pytest.mark.parametrize(
    "route, workspace, told",
    [
        (3, None, 3),
        (3, config.Workspace("w"), 3),
        (3, config.Workspace("w", priority=0), 0),
        (40, None, 9),
        (3, config.Workspace("w", priority=-2), 0),
    ],
)
def test_the_workspace_decides_how_urgent_a_request_is(route, workspace, told):
    # Symptom: urgent customers wait behind others at a full engine. Cause:
    # priorities stayed in the document.
    assert exchange.priority_of(Call(route, workspace)) == told
