"""How an entry divides a service's streams over groups of ranks.

All streams of a group share its passes, so what a stream meets depends on its
group, not on its endpoint. An entry has one request or none at each of dozens of
endpoints, which says nothing of how full their group is: with its own zone's
endpoints first, callers of a crowded zone shared one slow group (0.47 of their
requests' worth was served) while another zone's stood half empty (0.90). The
pauses between events say it, and need no message.

An entry keeps a share for each group. A share grows where pauses are shorter than
the mean and shrinks where they are longer. Steps are small: all entries see the
same pauses, and if each sent everything to the quicker group, they would crowd
from one into the other. While all are quick, shares go back to the own zone's
groups, which saves bytes between zones.
"""

import attrs

from dunlinpoint.routing import admission_control, latency

# How often shares change, and by which power of the ratio of pauses: a group
# with passes twice as long loses a sixth of its share a turn, and half of it in
# the second or so that a stream lasts.
TURN_MS = 250
GAIN = 0.25
# How much the newest pause weighs in a group's mean. One pass gives an entry an
# event of each of a few streams.
NEWEST = 0.1
# A group of which nothing was seen for so long has no known pause.
UNSEEN_MS = 2000
# Every group keeps so much of the streams: without any, nothing shows when it
# gets quick.
LEAST_SHARE = 0.04
# How much of the first division follows the entry's own zone; the rest goes by the
# groups' sizes.
HOME_PART = 0.5
# While all pauses are below this part of the longest allowed, shares go back to
# the own zone's groups by this part a turn.
CALM = 0.55
BACK = 0.02


@attrs.define
class Seen:
    """The mean of the pauses seen of a group, and when the last one was."""

    pause_ms: float
    at_ms: int


@attrs.define
class Groups:
    """Shares, pauses and paces by group of one service's ranks.

    ``slots`` is the part of all groups' slots that falls to this entry.
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
        """The ``AdmissionController`` of *group*."""
        found = self.pace_by_group.get(group)
        if found is None:
            found = self.pace_by_group[group] = admission_control.AdmissionController(
                self.allowed_ms
            )
        return found

    def update(self, sizes, sizes_here, slots):
        """Take in how many endpoints each group has, and how many in this zone.

        *slots* is this entry's part of what all of them run at once.
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
        """Those of *usable* that a caller with *draw* (0 to 1) is not kept out of."""
        return [
            group
            for group in usable
            if draw < self.controller(group).long_window_admitted_share(now, returned)
        ]

    def free_slots(self, usable):
        """How many streams of late callers may begin now, by group of *usable*."""
        spare = {
            group: int(
                latency.SLOTS_SHARE * self.slots * self.share_by_group.get(group, 0)
                - self.controller(group).in_flight
            )
            for group in usable
        }
        return {group: count for group, count in spare.items() if count > 0}

    def choose(self, usable, now, returned, rng):
        """A group of *usable* that has room, drawn by share, or ``None``."""
        open_to = [g for g in usable if self.controller(g).has_room(now, rng, returned)]
        if len(open_to) < 2:
            return open_to[0] if open_to else None
        weights = [self.share_by_group.get(g, LEAST_SHARE) for g in open_to]
        return rng.choices(open_to, weights)[0]

    def stream_ended(self, group):
        """A stream of *group* is over.

        The group may have been forgotten meanwhile: counted in a new
        ``AdmissionController``, its streams would leave that with fewer than none in
        flight, and let in too many when the group is back.
        """
        if group in self.pace_by_group:
            self.pace_by_group[group].ended()

    def record_gap(self, group, pause_ms, now):
        """A stream of *group* had its next event after *pause_ms*."""
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
