"""A seeded model of a deployment whose entries retry failed requests.

Each entry polls the controls as a real one does, and learns the number of entries only
from their answers. Zones or single entries may be cut off from controls, and entries
are killed, start again and are added. Only the retries are counted: what endpoints can
bear is not modelled.
"""

import collections
import itertools
import random

import attrs

from dunlinpoint.control import followers
from dunlinpoint.routing import budget

STEP_MS = 50
# A control answers a poll after this time if nothing has changed.
POLL_WAIT_MS = 800
POLL_PAUSE_MS = 50
# Entries start some time before the callers come, as the users' deployments do.
TRAFFIC_MS = 16_000
RESTART_MS = 2000
# The rule's bounds, of which an entry knows what the platform names.
RATIO = 0.2
WINDOW_MS = 10_000
# A caller's request is sent to this many endpoints at most.
MAX_ATTEMPTS = 2


@attrs.frozen
class Site:
    """A deployment: entries and spare entries by zone, and the bound's slack.

    ``per_s_by_service`` are the requests a second of each service.
    """

    entries: tuple
    spare: tuple
    slack: float
    per_s_by_service: dict

    @property
    def zones(self):
        return [f"z{i}" for i in range(len(self.entries))]


SITES = {
    "6_entries": Site((2, 2, 2), (1, 1, 1), 88, {"model": 28.0, "desk": 3.9}),
    "42_entries": Site((15, 13, 14), (5, 5, 5), 234, {"model": 147.7, "desk": 17.7}),
    "99_entries": Site(
        (20, 19, 20, 21, 19), (8, 7, 7, 8, 7), 448, {"model": 256.3, "desk": 30.7}
    ),
    "570_entries": Site((114,) * 5, (40,) * 5, 448, {"model": 1400.0, "desk": 170.0}),
}


@attrs.define(eq=False)
class Entry:
    """One start of an entry, and what it knows."""

    zone: str
    name: str
    budget: budget.Budget
    # Times (ms) of the next poll of each control, by the control's zone.
    poll_ms_by_zone: dict
    # Answers on their way: (time of receipt, time of the poll, entries of the zone).
    answers: list = attrs.field(factory=list)

    @classmethod
    def start(cls, site, zone, name, now, rng):
        polls = {z: now + rng.randrange(POLL_WAIT_MS) for z in site.zones}
        bounds = budget.Bounds(RATIO, WINDOW_MS, site.slack, len(site.zones))
        return cls(zone, name, budget.Budget(bounds, rng=rng), polls)

    def poll(self, followers_by_zone, reaches, now, rng):
        """Poll the controls that are due, and learn from answers that have come."""
        for zone, due_ms in self.poll_ms_by_zone.items():
            if now < due_ms:
                continue
            self.poll_ms_by_zone[zone] = now + POLL_WAIT_MS + POLL_PAUSE_MS
            if reaches(self, zone, now):
                known = followers_by_zone[zone]
                known.position_of(self.zone, self.name, now)
                self.answers.append(
                    (now + POLL_WAIT_MS + rng.randrange(STEP_MS), now, zone)
                )
        for answer in [a for a in self.answers if a[0] <= now]:
            self.answers.remove(answer)
            _, asked_ms, zone = answer
            if reaches(self, zone, now):
                known = followers_by_zone[zone]
                position = known.position_of(self.zone, self.name, now)
                self.learn(position.zone_entries, asked_ms, now)

    def learn(self, zone_entries, asked_ms, now):
        """Learn the number of entries in the own zone from a control's answer."""
        self.budget.learn(zone_entries, asked_ms, now)

    def first(self, service, now):
        """Record the first attempt of a request."""
        self.budget.first_attempt(service, now)

    def retries(self, service, now):
        """Whether one more attempt is made."""
        return self.budget.spend(service, now)


@attrs.define
class Played:
    """What was counted: requests and retries by service and step, and failures."""

    requests: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    retries: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    failed: collections.Counter = attrs.field(factory=collections.Counter)
    retried: collections.Counter = attrs.field(factory=collections.Counter)

    def retried_share(self, service):
        """The part of the failed first attempts that was retried."""
        return self.retried[service] / self.failed[service]


def always(_entry, _control_zone, _now):
    return True


@attrs.define
class Plan:
    """What happens; times in ms.

    - ``fails(service, now)``: the probability that an attempt fails.
    - ``restarts``: (time, share of the entries that are killed and start again).
    - ``added_ms``: when the spare entries start, or ``None``.
    - ``reaches(entry, control zone, now)``: whether an entry reaches a control.
    - ``weight(entry, now)``: how many callers an entry has, relative to others.
    - ``demand(now)``: a factor of the requests a second.
    - ``counted_from_ms``: since when failed attempts and retries are counted.
    """

    fails: object
    restarts: tuple = ()
    added_ms: int | None = None
    reaches: object = always
    weight: object = lambda entry, now: 1.0
    demand: object = lambda now: 1.0
    length_ms: int = TRAFFIC_MS + 40_000
    counted_from_ms: int = TRAFFIC_MS


def play(site, plan, seed):
    """Play *plan* on *site*; return what was ``Played``."""
    rng = random.Random(seed)
    numbers = itertools.count()

    def start(zone, now, name=None):
        return Entry.start(site, zone, name or f"e{next(numbers)}", now, rng)

    def start_all(counts, now):
        pairs = zip(site.zones, counts, strict=True)
        return [start(zone, now) for zone, count in pairs for _ in range(count)]

    live, down = start_all(site.entries, 0), []
    followers_by_zone = {zone: followers.Followers() for zone in site.zones}
    restarts, added_ms = list(plan.restarts), plan.added_ms
    played = Played()
    for now in range(0, plan.length_ms, STEP_MS):
        while restarts and now >= restarts[0][0]:
            _, share = restarts.pop(0)
            killed = rng.sample(live, round(share * len(live)))
            live = [entry for entry in live if entry not in killed]
            down += [(now + RESTART_MS, e.zone, e.name) for e in killed]
        if added_ms is not None and now >= added_ms:
            live += start_all(site.spare, now)
            added_ms = None
        live += [start(zone, now, name) for at, zone, name in down if at <= now]
        down = [d for d in down if d[0] > now]
        for entry in live:
            entry.poll(followers_by_zone, plan.reaches, now, rng)
        if now >= TRAFFIC_MS and live:
            send(site, plan, live, now, rng, played)
    return played


def send(site, plan, live, now, rng, played):
    """Send the requests of one step."""
    weights = list(itertools.accumulate(plan.weight(entry, now) for entry in live))
    step = now // STEP_MS
    for service, per_s in site.per_s_by_service.items():
        mean = per_s * plan.demand(now) * STEP_MS / 1000
        count = int(mean) + (rng.random() < mean % 1)
        played.requests[service][step] += count
        is_counted = now >= plan.counted_from_ms
        for entry in rng.choices(live, cum_weights=weights, k=count):
            entry.first(service, now)
            if rng.random() >= plan.fails(service, now):
                continue
            played.failed[service] += is_counted
            if entry.retries(service, now):
                played.retries[service][step] += 1
                played.retried[service] += is_counted


def highest_use(played, site, service):
    """The highest share of what the rule allows that the retries of a window used.

    The requests are those of the window, the one before it or the one half a window
    before it, whichever has most.
    """
    steps = WINDOW_MS // STEP_MS
    last = max(played.requests[service])
    requests, retries = (
        [0, *itertools.accumulate(counter[step] for step in range(last + 1))]
        for counter in (played.requests[service], played.retries[service])
    )

    def within(sums, end):
        return sums[max(0, end)] - sums[max(0, end - steps)]

    highest = 0.0
    for end in range(TRAFFIC_MS // STEP_MS + 1, last + 2):
        most = max(within(requests, end - back) for back in (0, steps // 2, steps))
        allowed = RATIO * most + site.slack
        highest = max(highest, within(retries, end) / allowed)
    return highest
