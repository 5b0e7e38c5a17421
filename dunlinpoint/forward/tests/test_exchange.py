"""The priority of a request that is sent to an endpoint."""

import pytest

from dunlinpoint.config import document as config
from dunlinpoint.forward import exchange

TIMEOUT_MS = 8000
LATENCY_TARGET_MS = 400


class Call:
    """A request on a route with a given priority, of a workspace or of none."""

    streaming = True
    deadline_ms = TIMEOUT_MS

    def __init__(self, route, workspace=None):
        self.route = config.Route(
            "r",
            "h",
            "/",
            "streaming",
            TIMEOUT_MS,
            [config.Share("s")],
            aim_ms=LATENCY_TARGET_MS,
            priority=route,
        )
        self.workspace = workspace


@pytest.mark.parametrize(
    "route, workspace, expected",
    [
        (3, None, 3),
        (3, config.Workspace("w"), 3),
        (3, config.Workspace("w", priority=0), 0),
        (40, None, 9),
        (3, config.Workspace("w", priority=-2), 0),
    ],
)
def test_the_workspace_priority_overrides_the_route_priority(
    route, workspace, expected
):
    # Guards against a workspace priority in the document that is not sent to endpoints.
    assert exchange.priority_of(Call(route, workspace), now=0) == expected


def test_a_request_past_its_target_has_lower_priority_than_all_others():
    # Guards against callers that miss their latency target because of callers that
    # waited for the end of an outage and have already missed theirs.
    late = [exchange.priority_of(Call(p), now=LATENCY_TARGET_MS + 1) for p in range(5)]
    in_time = [exchange.priority_of(Call(p), now=LATENCY_TARGET_MS) for p in range(5)]
    assert min(late) > max(in_time)
    assert late == sorted(late)
