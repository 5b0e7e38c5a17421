"""Stalled groups of ranks: which get no requests, and until when.

Ranks run in lock-step. When one is lost, every request at any rank of its group
waits about 1.5 s and is then refused or broken off. Forwarded to another rank, it
waits there again, and its caller has given up before the second refusal. Counted
against each endpoint, those failures made entries avoid most ranks for seconds
after the group had recovered.

So the group is treated as a whole. It is stalled while its agents report it
(*broken*), or after one of its endpoints named another as the cause of a refusal
(*suspected*), until data comes from it again. In the meantime it gets no requests,
except periodic probes of a suspected group: callers of streams wait at their entry
until their timeout, and are refused with Retry-After. With two attempts, a caller
waits at an entry for most of its time.
"""

import attrs

# Interval of the probes of a suspected group. One probe shows within one stall whether
# the group has recovered; more of them would only wait as well.
PROBE_INTERVAL_MS = 500
# The usual minimum time until a broken group opens: its ranks wait for the lost one
# for 1.5 s, that one takes a second or more to restart, and forming the group again
# takes 0.6 s.
MIN_OUTAGE_MS = 2500
# How long after a group has opened there may be callers that waited for it: the
# timeout of callers of streams.
BACKLOG_DRAIN_MS = 8000
# Callers of streams give up after the longest of these without an event: a minimum,
# this many times the latency target of the first event, and this many times the
# allowed inter-event gap.
MIN_EVENT_TIMEOUT_MS = 2000
EVENT_TIMEOUT_TARGETS = 4
EVENT_TIMEOUT_GAPS = 8
# Time reserved, out of that wait, for the first event after the group has opened.
FIRST_EVENT_RESERVE_MS = 250
# Most answers are complete within this time. A caller with less time left is not kept
# waiting, and is not admitted after an outage to a slot that another could use.
TYPICAL_ANSWER_MS = 1500
# A caller obeys a Retry-After of up to a third of its time left.
MAX_RETRY_AFTER_FRACTION = 0.33
# Jitter of Retry-After, as a fraction of it: callers whose streams broke at the same
# moment must not return at the same moment.
RETRY_AFTER_JITTER = 0.05


@attrs.define
class Suspicion:
    """The suspicion that a group is broken, from a refusal by one of its endpoints.

    ``outage_start_ms`` is when it began, ``next_probe_ms`` when the next probe may be
    sent.
    """

    outage_start_ms: int
    next_probe_ms: int


def address_of(member):
    """The ``host:port`` of a service's endpoint, as its rank's agent reports it."""
    return f"{member.host}:{member.port}"


@attrs.define
class Outages:
    """Groups by the address of their engines, and which of them are stalled."""

    group_by_address: dict = attrs.field(factory=dict)
    epoch_by_group: dict = attrs.field(factory=dict)
    broken_since_by_group: dict = attrs.field(factory=dict)
    suspicion_by_group: dict = attrs.field(factory=dict)
    opened_ms_by_group: dict = attrs.field(factory=dict)

    def update(self, ranks, live_addresses, now):
        """Update from the agents of *ranks*; return the sorted groups that opened.

        A group opens when it is no longer broken, or has formed in a new epoch.
        """
        for rank in ranks:
            self.group_by_address[rank.engine] = rank.group
        for address in list(self.group_by_address):
            if address not in live_addresses:
                del self.group_by_address[address]
        opened = set()
        ranks_by_group = {}
        for rank in ranks:
            ranks_by_group.setdefault(rank.group, []).append(rank)
        for group, members in ranks_by_group.items():
            epoch = max(m.epoch or 0 for m in members)
            broken = any(m.broken for m in members if (m.epoch or 0) == epoch)
            if broken:
                self.broken_since_by_group.setdefault(group, now)
            elif self.broken_since_by_group.pop(group, None) is not None:
                opened.add(group)
            if epoch > self.epoch_by_group.get(group, epoch) and not broken:
                self.suspicion_by_group.pop(group, None)
                opened.add(group)
            self.epoch_by_group[group] = epoch
        self.opened_ms_by_group |= dict.fromkeys(opened, now)
        known = set(ranks_by_group) | set(self.group_by_address.values())
        for by_group in (
            self.epoch_by_group,
            self.broken_since_by_group,
            self.suspicion_by_group,
            self.opened_ms_by_group,
        ):
            for group in [g for g in by_group if g not in known]:
                del by_group[group]
        return sorted(opened)

    def suspect(self, member, now):
        """Suspect the group of *member*, which blamed another endpoint in a refusal.

        Returns whether its group is known; if not, the endpoint itself should be
        avoided.
        """
        group = self.group_by_address.get(address_of(member))
        if group is None:
            return False
        if group not in self.suspicion_by_group:
            self.suspicion_by_group[group] = Suspicion(now, now + PROBE_INTERVAL_MS)
        return True

    def data_received(self, member):
        """Record that data came from *member*: its group is not stalled."""
        if self.suspicion_by_group:
            group = self.group_by_address.get(address_of(member))
            self.suspicion_by_group.pop(group, None)

    def is_stalled(self, member, now):
        """Whether the group of *member* is stalled and gets no requests."""
        group = self.group_by_address.get(address_of(member))
        if group is None:
            return False
        if group in self.broken_since_by_group:
            return True
        suspicion = self.suspicion_by_group.get(group)
        return suspicion is not None and now < suspicion.next_probe_ms

    def probe(self, member, now):
        """Record a request to *member*, which is a probe if its group is suspected."""
        group = self.group_by_address.get(address_of(member))
        suspicion = self.suspicion_by_group.get(group)
        if suspicion is not None:
            suspicion.next_probe_ms = now + PROBE_INTERVAL_MS

    def opened_recently(self, group, now):
        """Whether there may still be callers that waited for *group* to open."""
        opened_ms = self.opened_ms_by_group.get(group)
        return opened_ms is not None and now - opened_ms < BACKLOG_DRAIN_MS

    def outage_start_ms(self, members, now):
        """When (ms) the latest outage among the groups of *members* began."""
        starts = []
        for group in {self.group_by_address.get(address_of(m)) for m in members}:
            if group in self.broken_since_by_group:
                starts.append(self.broken_since_by_group[group])
            if group in self.suspicion_by_group:
                starts.append(self.suspicion_by_group[group].outage_start_ms)
        return max(starts, default=now)


def event_timeout_ms(latency_target_ms, max_gap_ms):
    """How long (ms) a caller of a stream waits for the next event, at least.

    *latency_target_ms* is that of the first event, *max_gap_ms* the longest allowed
    inter-event gap.
    """
    by_target, by_gap = (
        EVENT_TIMEOUT_TARGETS * latency_target_ms,
        EVENT_TIMEOUT_GAPS * max_gap_ms,
    )
    return max(MIN_EVENT_TIMEOUT_MS, by_target, by_gap)


def max_retry_after_ms(left_ms):
    """The longest Retry-After (ms) that a caller with *left_ms* left obeys."""
    return max(0, left_ms) * MAX_RETRY_AFTER_FRACTION


def outage_retry_after_ms(outage_start_ms, now, left_ms, rng):
    """The Retry-After (ms) of a caller refused during an outage.

    The outage began at *outage_start_ms*, and the caller has *left_ms* of its timeout
    left.

    An outage is expected to last about as long again as it has lasted. A caller that
    returns too soon is refused again and may have no attempt left.
    """
    outage_ms = max(MIN_OUTAGE_MS, now - outage_start_ms)
    return with_jitter(min(outage_ms, max_retry_after_ms(left_ms)), rng)


def with_jitter(retry_after_ms, rng):
    """*retry_after_ms* less a random part of up to ``RETRY_AFTER_JITTER``."""
    return retry_after_ms * (1 - RETRY_AFTER_JITTER * rng.random())
