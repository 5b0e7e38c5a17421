"""Which callers of one service are admitted, wait or are refused at this entry.

How many are admitted follows from the groups' inter-event gaps, as without competing
callers. A caller that finds no capacity waits and draws again at each poll. What it
draws goes to the first in the order of all who wait: the number of admissions stays
the same, and the most urgent get them.
"""

import itertools

import attrs

from dunlinpoint.admission import division, mix, waiting, workspaces
from dunlinpoint.routing import admission_control

# The overall share is divided as a mean over this time. It falls and rises within a
# second, and at its lowest even urgent callers would be refused, while the less urgent
# are admitted in between.
SHARE_TIME_CONSTANT_MS = 1500
# Above this mean, none is refused at once.
FULL_SHARE = 0.99
# Causes of a refusal beside those of a reduced workspace.
SHARE = "share"
WAIT_ENDED = "wait_ended"


@attrs.define
class SmoothedShare:
    """Moving average of a group's admitted share."""

    average: admission_control.MovingAverage = attrs.field(
        factory=lambda: admission_control.MovingAverage(SHARE_TIME_CONSTANT_MS, 1.0)
    )
    at_ms: int | None = None

    def update(self, share, now):
        """Add *share* at *now*, and return the average."""
        self.average.add(share, 0 if self.at_ms is None else now - self.at_ms)
        self.at_ms = now
        return self.average.value


@attrs.define(eq=False)
class Caller:
    """One request among the competing callers of a service.

    - ``draw``: random number (0 to 1), compared with the admitted share.
    - ``reduction``: that of its workspace when it arrived.
    - ``is_early``: whether it is a retry that did not wait as told.
    - ``share``: the admitted share of such callers at the last decision.
    - ``group``: the group in which it was given capacity, until it joins.
    - ``order``, ``key``: where it waits.
    """

    urgency: tuple
    workspace: str
    is_retry: bool
    draw: float
    reduction: workspaces.Reduction = workspaces.Reduction()
    is_early: bool = False
    share: float = 1.0
    group: str | None = None
    order: waiting.Order | None = None
    key: tuple | None = None

    def is_reduced(self):
        """Whether its workspace gets a reduced share."""
        return self.reduction.cause is not None

    def cause(self, is_overload):
        """Why it is refused, at once (*is_overload*) or at the end of its wait."""
        if self.is_reduced():
            return self.reduction.cause
        return SHARE if is_overload else WAIT_ENDED


@attrs.define(eq=False)
class Competition:
    """The competing callers of one service at this entry."""

    recent_mix: mix.Mix = attrs.field(factory=mix.Mix)
    activity: workspaces.Workspaces = attrs.field(factory=workspaces.Workspaces)
    wait_order: waiting.Order = attrs.field(factory=waiting.Order)
    outage_order: waiting.Order = attrs.field(factory=waiting.Order)
    share_by_group: dict = attrs.field(factory=dict)
    caller_by_key: dict = attrs.field(factory=dict)
    numbers: object = attrs.field(factory=itertools.count)

    def arrive(self, caller, elapsed_ms, now):
        """Record the arrival of *caller*, *elapsed_ms* after its first attempt."""
        priority = caller.urgency[0]
        caller.is_early = self.activity.arrived(
            priority, caller.workspace, elapsed_ms, caller.is_retry, now
        )
        caller.reduction = self.activity.reduction(priority, caller.workspace, now)
        self.recent_mix.arrived(
            caller.urgency, caller.is_retry, caller.reduction.factor, now
        )

    def is_shed(self, caller, group, admitted_share, now):
        """Whether *group* sheds *caller*, by its overall *admitted_share*."""
        smoothed = self.share_by_group.setdefault(group, SmoothedShare())
        share = smoothed.update(admitted_share, now)
        if share > FULL_SHARE:
            caller.share = 1.0
            return False
        demand_by_urgency = {
            urgency: division.Demand(
                counts.newcomers.read(now),
                counts.returning.read(now),
                counts.reduced.read(now),
            )
            for urgency, counts in self.recent_mix.counts_by_urgency.items()
        }
        shares = division.divide(share, demand_by_urgency)
        own = shares[caller.urgency]
        returns = caller.is_retry or caller.is_early
        own_share = own.returning if returns else own.newcomers
        caller.share = own_share * caller.reduction.factor
        return caller.draw >= caller.share

    def take(self, caller, drawn, now):
        """The group that *caller* joins now, or ``None`` if it waits.

        *drawn* is the group that was drawn for it by the overall share, or ``None``.
        """
        if caller.group is not None:
            return caller.group
        if caller.order is not self.wait_order:
            self._enter(self.wait_order, caller, now)
        if drawn is None:
            return None
        first = self._next(now)
        if first is caller:
            return drawn
        self._leave_order(first)
        first.group = drawn
        return None

    def is_next_after_outage(self, caller, gives_up_ms, free_slots, now):
        """Whether one of *free_slots* is for *caller*, which is past its target.

        It is queued for one until it joins a group or leaves.
        """
        if caller.order is not self.outage_order:
            self._enter(self.outage_order, caller, gives_up_ms)
        owed = self.recent_mix.owed(division.KEPT_FRACTION, now)
        ahead = self.outage_order.ahead_of(caller.urgency, caller.key, owed)
        return ahead < free_slots

    def joined(self, caller, now):
        """Record that *caller* joined a group."""
        self._leave_order(caller)
        caller.group = None
        self.recent_mix.admitted(caller.urgency, now)

    def leave(self, caller, now):
        """Remove *caller*, which was refused or has disconnected."""
        self._leave_order(caller)
        if caller.group is None:
            return
        group, caller.group = caller.group, None
        first = self._next(now)
        if first is not None:
            self._leave_order(first)
            first.group = group

    def _enter(self, order, caller, by_ms):
        self._leave_order(caller)
        number = next(self.numbers)
        caller.key = caller.is_reduced(), not caller.is_retry, by_ms, number
        caller.order = order
        self.caller_by_key[caller.key] = caller
        order.enter(caller.urgency, caller.key)

    def _leave_order(self, caller):
        if caller.order is not None:
            caller.order.leave(caller.urgency, caller.key)
            self.caller_by_key.pop(caller.key, None)
            caller.order = caller.key = None

    def _next(self, now):
        owed = self.recent_mix.owed(division.KEPT_FRACTION, now)
        key = self.wait_order.first(owed)
        return None if key is None else self.caller_by_key[key]
