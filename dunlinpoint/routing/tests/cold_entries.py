"""A seeded model of entries that learn their positions from controls by polls.

All of them may send requests to one cold endpoint, which counts the arrivals. Each
entry has its own clock, and each request takes its own time to arrive.
"""

import attrs
from twisted.internet import task

from dunlinpoint.config import document as config
from dunlinpoint.control import followers
from dunlinpoint.follow import view
from dunlinpoint.routing import cold
from dunlinpoint.wire.gen.dunlin import ttypes

STEP_MS = 20
POLL_MS = 850
CONTROLS = 2
SERVICE = "model"
RULE = config.Cold(15, 3000)
BOUNDS = cold.Bounds(1.5, 5)
MEMBER = ttypes.Member(
    endpoint_id="i-1", service_name=SERVICE, sequence=1, cold_left_ms=10_000_000
)


def always(_entry, _control, _now):
    return True


@attrs.define(eq=False)
class Entry:
    """One entry, which lives from ``begin_ms`` to ``end_ms`` of the model's time."""

    name: str
    number: int
    begin_ms: int
    end_ms: int
    offset_ms: int
    poll_ms: list
    view: view.View
    cold: cold.ColdEndpoints
    answered_ms: int | None = None

    @classmethod
    def from_number(cls, number, rng, begin_ms=0, end_ms=10**9):
        endpoints = cold.ColdEndpoints(BOUNDS, {SERVICE: RULE})
        offset_ms = rng.randrange(10**6)
        endpoints.receive([MEMBER], offset_ms)
        poll_ms = [begin_ms + rng.randrange(POLL_MS) for _ in range(CONTROLS)]
        entry_view = view.View.from_config(task.Clock(), "z", [])
        name = f"{rng.random():.9f}"
        return cls(
            name, number, begin_ms, end_ms, offset_ms, poll_ms, entry_view, endpoints
        )

    def poll(self, controls, hears, now):
        """Poll the controls that are due, and pass the position on."""
        for number, control in enumerate(controls):
            if now < self.poll_ms[number]:
                continue
            self.poll_ms[number] += POLL_MS
            if hears(self, number, now):
                at = control.position_of("z", self.name, now)
                reply = ttypes.View(entry=at.entry_index, entries=at.entry_count)
                self.answered_ms = now + self.offset_ms
                self.view._update_entry_position(reply, self.answered_ms)
        if self.answered_ms is not None:
            position = self.view.entry_index, self.view.entry_count
            self.cold.update(position, self.answered_ms, now + self.offset_ms)

    def send(self, now):
        """Send a request if this entry may; whether it did."""
        local_ms = now + self.offset_ms
        if self.cold.available_ms_by_key([MEMBER], local_ms)["i-1"] > local_ms:
            return False
        self.cold.sent(MEMBER, now, local_ms)
        self.cold.answered(MEMBER, now, local_ms)
        return True


def simulate(entries, wanted, length_ms, rng, hears=always, jitter_ms=20):
    """The times (ms) at which requests arrived at the endpoint, sorted.

    ``wanted(now)`` is whether each entry has a request, ``hears(entry, control, now)``
    whether an entry reaches a control.
    """
    controls = [followers.Followers() for _ in range(CONTROLS)]
    arrivals = []
    for now in range(0, length_ms, STEP_MS):
        for entry in entries:
            if entry.begin_ms <= now < entry.end_ms:
                entry.poll(controls, hears, now)
                if wanted(now) and entry.send(now):
                    arrivals.append(now + rng.uniform(1, jitter_ms))
    return sorted(arrivals)


def most_in_a_second(arrivals):
    """The most arrivals in any span of one second."""
    first, found = 0, 0
    for last, at in enumerate(arrivals):
        while at - arrivals[first] >= 1000:
            first += 1
        found = max(found, last - first + 1)
    return found
