"""Groups of ranks that stand: who is not sent anything, and until when.

Ranks advance together. When one is lost, every request at any rank of its
group waits about 1.5 s and is then refused or broken off. Sent on to another
rank, it waits there again, and its caller has gone before the second refusal;
counted against each endpoint, those failures made entries avoid most ranks
for seconds after the group was whole again.

So a group is one thing here. It stands while its agents say so (*broken*), or
after one of its endpoints named another as the cause of a refusal
(*suspected*), until something comes from it again. Nothing is sent to it meanwhile, but
for a probe of a suspected group now and then: callers of streams wait at their entry as
long as they stay, and are told when to come back. With two tries, a caller is heard for
most of its time.
"""

import attrs

# A probe finds out within one stall; more of them would only wait as well.
PROBE_MS = 500
# A group that broke does not open for so long, as a rule: its ranks wait for
# the lost one for 1.5 s, it takes a second or more to come back, and they form
# anew for 0.6 s.
LEAST_OUTAGE_MS = 2500
# For so long after a group opened callers are about who waited for it: as long as a
# caller of streams has.
BACKLOG_DRAIN_MS = 8000
# Callers of streams leave when nothing has come for the longest of these: a time, so
# many times the aim of the first event, so many times the allowed pause.
LEAST_PATIENCE_MS = 2000
PATIENCE_AIMS = 4
PATIENCE_PAUSES = 8
# The part of that which the first event takes after the group has opened.
FIRST_EVENT_RESERVE_MS = 250
# What most whole answers take: a caller with less left is not kept waiting, and not
# begun after an outage in a slot that another could use.
TYPICAL_ANSWER_MS = 1500
# A caller heeds a time to come back of up to a third of what it has left.
RETRY_AFTER_SHARE = 0.33
# Callers are sent back spread over this part of the time, so that those whose streams
# broke in the same moment do not come back in one.
SPREAD = 0.05


@attrs.define
class Suspicion:
    """A group that one of its endpoints said to be broken."""

    outage_start_ms: int
    probe_ms: int


def address_of(member):
    """Where a service's endpoint answers, as a rank's agent names it."""
    return f"{member.host}:{member.port}"


@attrs.define
class Outages:
    """Groups by the address of their engines, and which of them stand."""

    group_by_address: dict = attrs.field(factory=dict)
    epoch_by_group: dict = attrs.field(factory=dict)
    broken_since_by_group: dict = attrs.field(factory=dict)
    suspicion_by_group: dict = attrs.field(factory=dict)
    opened_ms_by_group: dict = attrs.field(factory=dict)

    def update(self, ranks, live_addresses, now):
        """Take in what the agents of *ranks* say; the groups that opened."""
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
        """*member* named another endpoint as the cause of a refusal.

        Returns whether its group is known; without one, the endpoint itself
        is the one to avoid.
        """
        group = self.group_by_address.get(address_of(member))
        if group is None:
            return False
        if group not in self.suspicion_by_group:
            self.suspicion_by_group[group] = Suspicion(now, now + PROBE_MS)
        return True

    def data_received(self, member):
        """Something came from *member*: its group does not stand."""
        if self.suspicion_by_group:
            group = self.group_by_address.get(address_of(member))
            self.suspicion_by_group.pop(group, None)

    def is_stalled(self, member, now):
        """Whether the group of *member* is to be sent nothing."""
        group = self.group_by_address.get(address_of(member))
        if group is None:
            return False
        if group in self.broken_since_by_group:
            return True
        suspicion = self.suspicion_by_group.get(group)
        return suspicion is not None and now < suspicion.probe_ms

    def probe(self, member, now):
        """*member* is sent a request: if its group is suspected, as a probe."""
        group = self.group_by_address.get(address_of(member))
        suspicion = self.suspicion_by_group.get(group)
        if suspicion is not None:
            suspicion.probe_ms = now + PROBE_MS

    def opened_recently(self, group, now):
        """Whether callers are still about who waited for *group* to open."""
        opened_ms = self.opened_ms_by_group.get(group)
        return opened_ms is not None and now - opened_ms < BACKLOG_DRAIN_MS

    def outage_start_ms(self, members, now):
        """When the outage of the last group of *members* to stand began."""
        starts = []
        for group in {self.group_by_address.get(address_of(m)) for m in members}:
            if group in self.broken_since_by_group:
                starts.append(self.broken_since_by_group[group])
            if group in self.suspicion_by_group:
                starts.append(self.suspicion_by_group[group].outage_start_ms)
        return max(starts, default=now)


def event_timeout_ms(aim_ms, pause_ms):
    """How long (ms) a caller of a stream waits for the next event, at least."""
    aims, pauses = PATIENCE_AIMS * aim_ms, PATIENCE_PAUSES * pause_ms
    return max(LEAST_PATIENCE_MS, aims, pauses)


def max_retry_after_ms(left_ms):
    """The longest time to come back (ms) that a caller with *left_ms* heeds."""
    return max(0, left_ms) * RETRY_AFTER_SHARE


def outage_retry_after_ms(since_ms, now, left_ms, rng):
    """When a caller refused in an outage should come back, in ms from *now*.

    An outage that has lasted a while lasts about as long again, and a caller
    that comes back too soon is refused again and may have no try left.
    """
    wanted = max(LEAST_OUTAGE_MS, now - since_ms)
    return min(wanted, max_retry_after_ms(left_ms)) * (1 - SPREAD * rng.random())
