"""What a decision about a stream is made from, and its result."""

import enum
import random

import attrs

from dunlinpoint.routing import admission_control, groups, latency


class JoinResult(enum.Enum):
    """Result of the search for a group.

    ``JOINED``: the request was assigned to a group. ``FULL``: no group has capacity
    at the moment. ``OVERLOADED``: decode steps are too long over a long window.
    """

    JOINED = "joined"
    FULL = "no_room"
    OVERLOADED = "overloaded"


@attrs.frozen
class Situation:
    """The groups that a stream may join, as this entry sees them at *now* (ms).

    ``usable`` are the names of the groups that are not stalled, ``opened`` those of
    them that opened recently.
    """

    groups: groups.Groups
    usable: list
    opened: frozenset
    now: int
    rng: random.Random

    @property
    def stable(self):
        """The usable groups that did not open recently.

        After an outage the first decode steps are long however many requests are
        refused, and callers past their latency target are queued there, so only stable
        groups are checked for overload.
        """
        return [group for group in self.usable if group not in self.opened]


def is_retry(call, at_ms):
    """Whether the caller of *call* seems to be a retry, by its time left at *at_ms*."""
    left_ms = call.deadline_ms - at_ms
    return admission_control.is_caller_retry(left_ms, call.route.timeout_ms)


def is_past_latency_target(call, now):
    """Whether *call* is past the latency target of its first event."""
    route = call.route
    return latency.is_past_latency_target(
        call.deadline_ms - now, route.timeout_ms, route.aim_ms
    )
