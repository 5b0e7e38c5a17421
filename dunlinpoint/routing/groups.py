"""Distribution of a service's streams over its groups of ranks.

All streams of a group are served by the same decode steps, so the latency of a
stream depends on its group, not on its endpoint. An entry has at most one request
at each of dozens of endpoints, which does not show the load of their group. When
entries preferred endpoints of their own zone, callers of an overloaded zone shared
one slow group (their requests were served at 0.47 of their value) while another zone's
group was half empty (0.90). The inter-event gaps show the load of a group without
any message.

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
TURN_MS = 250
GAIN = 0.25
# Weight of the newest gap in a group's moving average. One step gives an entry an
# event of each of a few streams.
NEWEST = 0.1
# After this time without an event, the gap of a group is unknown.
UNSEEN_MS = 2000
# Minimum share of a group: without any streams, an entry would not notice that the
# group has become fast again.
LEAST_SHARE = 0.04
# Part of the initial shares that follows the entry's own zone. The rest follows the
# groups' sizes.
HOME_PART = 0.5
# While all gaps are below the fraction CALM of the longest allowed gap, each
# adjustment moves the shares by the fraction BACK towards the own zone's groups.
CALM = 0.55
BACK = 0.02


@attrs.define
class Seen:
    """Moving average of a group's inter-event gaps, and the time of the last one."""

    pause_ms: float
    at_ms: int


@attrs.define
class Groups:
    """Shares, inter-event gaps and admission of one service's groups of ranks.

    ``allowed_ms`` is the longest allowed inter-event gap, and ``slots`` this entry's
    portion of the slots of all groups.
    """

    allowed_ms: int
    share_by_group: dict = attrs.field(factory=dict)
    home_by_group: dict = attrs.field(factory=dict)
    seen_by_group: dict = attrs.field(factory=dict)
    pace_by_group: dict = attrs.field(factory=dict)
    slots: float = 0.0
    queue: latency.Queue = attrs.field(factory=latency.Queue)
    turn_ms: int = 0

    def controller(self, group):
        """The ``AdmissionController`` of *group*, created on first use."""
        found = self.pace_by_group.get(group)
        if found is None:
            found = self.pace_by_group[group] = admission_control.AdmissionController(
                self.allowed_ms
            )
        return found

    def update(self, sizes, sizes_here, slots):
        """Set the number of endpoints by group: in all zones, and in this zone.

        *slots* is this entry's portion of the slots of all of them.
        """
        self.slots = slots
        if set(sizes) == set(self.share_by_group):
            return
        total, here = sum(sizes.values()), sum(sizes_here.values())
        for group, size in sizes.items():
            even = size / total
            home = sizes_here.get(group, 0) / here if here else even
            self.home_by_group[group] = home
            first = HOME_PART * home + (1 - HOME_PART) * even
            self.share_by_group.setdefault(group, first)
        for by_group in (
            self.share_by_group,
            self.home_by_group,
            self.seen_by_group,
            self.pace_by_group,
        ):
            for group in [g for g in by_group if g not in sizes]:
                del by_group[group]
        self._normalise()

    def not_overloaded(self, usable, now, returned, draw):
        """The groups of *usable* that do not shed a caller with *draw* (0 to 1)."""
        return [
            group
            for group in usable
            if draw < self.controller(group).long_window_admitted_share(now, returned)
        ]

    def free_slots(self, usable):
        """Slots open to callers past their latency target, by group of *usable*.

        Groups without such a slot are left out.
        """
        spare = {
            group: int(
                latency.SLOTS_SHARE * self.slots * self.share_by_group.get(group, 0)
                - self.controller(group).in_flight
            )
            for group in usable
        }
        return {group: count for group, count in spare.items() if count > 0}

    def choose(self, usable, now, returned, rng):
        """A group of *usable* that admits the stream, drawn by share, or ``None``."""
        open_to = [g for g in usable if self.controller(g).has_room(now, rng, returned)]
        if len(open_to) < 2:
            return open_to[0] if open_to else None
        weights = [self.share_by_group.get(g, LEAST_SHARE) for g in open_to]
        return rng.choices(open_to, weights)[0]

    def stream_ended(self, group):
        """Record that a stream of *group* has ended.

        The group may have been removed in the meantime. Counted in a new
        ``AdmissionController``, its streams would make the number in flight negative,
        and too many streams would be admitted once the group is back.
        """
        if group in self.pace_by_group:
            self.pace_by_group[group].ended()

    def record_gap(self, group, pause_ms, now):
        """Record an event of a stream of *group*, *pause_ms* after the one before."""
        self.controller(group).record_gap(pause_ms, now)
        if pause_ms <= admission_control.STOOD * self.allowed_ms:
            seen = self.seen_by_group.get(group)
            if seen is None or now - seen.at_ms > UNSEEN_MS:
                self.seen_by_group[group] = Seen(pause_ms, now)
            else:
                seen.pause_ms += NEWEST * (pause_ms - seen.pause_ms)
                seen.at_ms = now
        if now - self.turn_ms >= TURN_MS:
            self.turn_ms = now
            self._turn(now)

    def _turn(self, now):
        pauses = {
            group: seen.pause_ms
            for group, seen in self.seen_by_group.items()
            if now - seen.at_ms <= UNSEEN_MS and group in self.share_by_group
        }
        if len(pauses) > 1:
            weight = sum(self.share_by_group[g] for g in pauses)
            mean = sum(self.share_by_group[g] * p for g, p in pauses.items()) / weight
            for group, pause_ms in pauses.items():
                self.share_by_group[group] *= (mean / max(1, pause_ms)) ** GAIN
        if all(pause_ms < CALM * self.allowed_ms for pause_ms in pauses.values()):
            for group, share in self.share_by_group.items():
                home = self.home_by_group[group]
                self.share_by_group[group] = share + BACK * (home - share)
        self._normalise()

    def _normalise(self):
        total = sum(self.share_by_group.values())
        for group, share in self.share_by_group.items():
            self.share_by_group[group] = max(LEAST_SHARE, share / total)
