"""Distribution of a service's streams over its groups of ranks.

All streams of a group are served by the same decode steps, so the latency of a
stream depends on its group, not on its endpoint. An entry has at most one request
at each of dozens of endpoints, which does not show the load of their group. When
entries preferred endpoints of their own zone, callers of an overloaded zone shared
one slow group (0.47 of the value of their requests was served) while another zone's
group was half empty (0.90). The inter-event gaps show the load of a group without any
message.

An entry keeps a share for each group. A share grows while the group's gaps are
shorter than the mean, and shrinks while they are longer. The adjustments are small:
all entries see the same gaps, and if each sent everything to the faster group, the
load would oscillate between the groups. While all groups are fast, the shares return
to the groups of the entry's own zone, which saves traffic between zones.
"""

import attrs

from dunlinpoint.routing import admission_control, latency

# Interval of the adjustments, and the power of the ratio of gaps by which a share
# changes. A group with steps twice as long loses a sixth of its share in each
# adjustment, and half of it in the second or so that a stream lasts.
ADJUST_INTERVAL_MS = 250
SHARE_EXPONENT = 0.25
# Weight of the newest gap in a group's moving average. In each step, an entry gets an
# event of each of a few streams.
AVERAGE_WEIGHT = 0.1
# After this time without an event, the gap of a group is unknown.
GAP_EXPIRY_MS = 2000
# Minimum share of a group: without any streams, an entry would not notice that the
# group has become fast again.
MIN_SHARE = 0.04
# Part of the initial shares that follows the entry's own zone. The rest follows the
# groups' sizes.
OWN_ZONE_FRACTION = 0.5
# While all gaps are below the first fraction of the longest allowed gap, each
# adjustment moves the shares by the second towards the own zone's groups.
FAST_GAP_FRACTION = 0.55
RETURN_FRACTION = 0.02


@attrs.define
class MeanGap:
    """Moving average of a group's inter-event gaps, and the time of the last one."""

    gap_ms: float
    at_ms: int


@attrs.define
class Groups:
    """Shares, inter-event gaps and admission of one service's groups of ranks.

    ``max_gap_ms`` is the longest allowed inter-event gap, and ``slots`` this entry's
    portion of the slots of all groups. ``competition`` is the service's
    ``Competition``, or ``None`` if its callers do not compete.
    """

    max_gap_ms: int
    share_by_group: dict = attrs.field(factory=dict)
    own_zone_share_by_group: dict = attrs.field(factory=dict)
    mean_gap_by_group: dict = attrs.field(factory=dict)
    controller_by_group: dict = attrs.field(factory=dict)
    slots: float = 0.0
    queue: latency.Queue = attrs.field(factory=latency.Queue)
    adjusted_ms: int = 0
    competition: object = None

    def controller(self, group):
        """The ``AdmissionController`` of *group*, created on first use."""
        controller = self.controller_by_group.get(group)
        if controller is None:
            controller = self.controller_by_group[group] = (
                admission_control.AdmissionController(self.max_gap_ms)
            )
        return controller

    def update(self, sizes, own_zone_sizes, slots):
        """Set the number of endpoints by group: in all zones, and in this zone.

        *slots* is this entry's portion of the slots of all of them.
        """
        self.slots = slots
        if set(sizes) == set(self.share_by_group):
            return
        total, own_zone_total = sum(sizes.values()), sum(own_zone_sizes.values())
        for group, size in sizes.items():
            size_share = size / total
            own_zone_share = (
                own_zone_sizes.get(group, 0) / own_zone_total
                if own_zone_total
                else size_share
            )
            self.own_zone_share_by_group[group] = own_zone_share
            initial_share = (
                OWN_ZONE_FRACTION * own_zone_share
                + (1 - OWN_ZONE_FRACTION) * size_share
            )
            self.share_by_group.setdefault(group, initial_share)
        for by_group in (
            self.share_by_group,
            self.own_zone_share_by_group,
            self.mean_gap_by_group,
        ):
            for group in [g for g in by_group if g not in sizes]:
                del by_group[group]
        for group in list(self.controller_by_group):
            self._drop_idle_controller(group)
        self._normalise()

    def not_overloaded(self, usable, now, is_retry, draw):
        """The groups of *usable* that do not shed a caller with *draw* (0 to 1)."""
        return [
            group
            for group in usable
            if draw < self.controller(group).long_window_admitted_share(now, is_retry)
        ]

    def free_slots(self, usable):
        """Slots open to callers past their latency target, by group of *usable*.

        Groups without such a slot are left out.
        """
        spare = {
            group: int(
                latency.PAST_TARGET_SLOTS_FRACTION
                * self.slots
                * self.share_by_group.get(group, 0)
                - self.controller(group).in_flight
            )
            for group in usable
        }
        return {group: count for group, count in spare.items() if count > 0}

    def choose(self, usable, now, is_retry, rng):
        """A group of *usable* that admits the stream, drawn by share, or ``None``."""
        admitting = [g for g in usable if self.controller(g).admits(now, rng, is_retry)]
        if len(admitting) < 2:
            return admitting[0] if admitting else None
        weights = [self.share_by_group.get(g, MIN_SHARE) for g in admitting]
        return rng.choices(admitting, weights)[0]

    def stream_ended(self, group):
        """Record that a stream of *group* has ended.

        The group may have been removed in the meantime; its ``AdmissionController`` is
        kept until its streams have ended. Counted in a new one, they would make the
        number in flight negative, and too many streams would be admitted once the
        group is back.
        """
        if group in self.controller_by_group:
            self.controller_by_group[group].ended()
            self._drop_idle_controller(group)

    def _drop_idle_controller(self, group):
        """Drop the controller of a removed *group* that has no streams any more."""
        idle = not self.controller_by_group[group].in_flight
        if idle and group not in self.share_by_group:
            del self.controller_by_group[group]

    def record_gap(self, group, gap_ms, now):
        """Record an event of a stream of *group*, *gap_ms* after the one before."""
        self.controller(group).record_gap(gap_ms, now)
        if gap_ms <= admission_control.STALLED_GAP_FACTOR * self.max_gap_ms:
            mean_gap = self.mean_gap_by_group.get(group)
            if mean_gap is None or now - mean_gap.at_ms > GAP_EXPIRY_MS:
                self.mean_gap_by_group[group] = MeanGap(gap_ms, now)
            else:
                mean_gap.gap_ms += AVERAGE_WEIGHT * (gap_ms - mean_gap.gap_ms)
                mean_gap.at_ms = now
        if now - self.adjusted_ms >= ADJUST_INTERVAL_MS:
            self.adjusted_ms = now
            self._adjust_shares(now)

    def _adjust_shares(self, now):
        gaps = {
            group: mean_gap.gap_ms
            for group, mean_gap in self.mean_gap_by_group.items()
            if now - mean_gap.at_ms <= GAP_EXPIRY_MS and group in self.share_by_group
        }
        if len(gaps) > 1:
            weight = sum(self.share_by_group[g] for g in gaps)
            mean = (
                sum(self.share_by_group[g] * gap_ms for g, gap_ms in gaps.items())
                / weight
            )
            for group, gap_ms in gaps.items():
                self.share_by_group[group] *= (mean / max(1, gap_ms)) ** SHARE_EXPONENT
        if all(
            gap_ms < FAST_GAP_FRACTION * self.max_gap_ms for gap_ms in gaps.values()
        ):
            for group, share in self.share_by_group.items():
                own_zone_share = self.own_zone_share_by_group[group]
                self.share_by_group[group] = share + RETURN_FRACTION * (
                    own_zone_share - share
                )
        self._normalise()

    def _normalise(self):
        total = sum(self.share_by_group.values())
        for group, share in self.share_by_group.items():
            self.share_by_group[group] = max(MIN_SHARE, share / total)
