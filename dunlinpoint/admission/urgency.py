"""Urgency of a call, and the priority that an engine is sent for it.

The urgency is a pair: the workspace's priority, or the route's where the workspace has
none, and the route's priority. The lower pair is the more urgent.
"""

import bisect

import attrs

from dunlinpoint.config import document as config

# Values of the priority header: callers within their latency target get the first
# ones, callers past it the rest, so that these come after all others.
IN_TARGET_LEVELS = 7
PAST_TARGET_LEVELS = 3


def of(route, workspace):
    """The urgency of a call on *route* by *workspace* (``None`` without a key)."""
    own = None if workspace is None else workspace.priority
    return (route.priority if own is None else own), route.priority


def text(urgency):
    """*urgency* in log lines and names of counters, such as ``"1-2"``."""
    return "-".join(str(priority) for priority in urgency)


@attrs.frozen
class Urgencies:
    """All urgencies that calls to one service can have, the most urgent first."""

    in_order: tuple

    def header_priority(self, urgency, is_past_target):
        """The priority (0 to 9, 0 first) of a call with *urgency*.

        With more urgencies than values, neighbours share a value. An urgency that is
        not listed, of a call that began under an earlier document, counts as the next
        less urgent one.
        """
        count = len(self.in_order)
        index = min(bisect.bisect_left(self.in_order, urgency), count - 1)
        if is_past_target:
            return IN_TARGET_LEVELS + scaled(index, count, PAST_TARGET_LEVELS)
        return scaled(index, count, IN_TARGET_LEVELS)


def scaled(index, count, levels):
    """*index* of *count* items, mapped to *levels* values in the same order."""
    return index if count <= levels else index * levels // count


def competing(doc):
    """``Urgencies`` by name of each service in *doc* whose callers compete.

    These are the services whose streaming routes have more than one priority.
    """
    routes_by_service = {}
    for route in doc.routes:
        for share in route.split:
            routes_by_service.setdefault(share.service, []).append(route)
    return {
        service: Urgencies(_all_pairs(routes, doc.workspaces))
        for service, routes in routes_by_service.items()
        if len({r.priority for r in routes if r.kind == config.STREAMING}) > 1
    }


def _all_pairs(routes, workspaces):
    own = {w.priority for w in workspaces if w.priority is not None}
    pairs = {(route.priority, route.priority) for route in routes}
    pairs |= {(priority, route.priority) for priority in own for route in routes}
    return tuple(sorted(pairs))
