"""A model of entries whose callers send prompts with a part that crashes endpoints.

The entries' quarantines are the product's own. Endpoints crash as they begin to
answer a prompt with the faulty part and are back after some seconds; all requests at
them end. Where endpoints are ranks of one group, a crash also stalls the others, and
what they run ends later without an answer. Reports reach the other entries by way of a
control, late.
"""

import io
import random

import attrs
from twisted.internet import defer, task

from dunlinpoint import clock, metrics
from dunlinpoint.config import document as config
from dunlinpoint.forward import quarantine, state
from dunlinpoint.suspects import registry
from dunlinpoint.wire.gen.dunlin import ttypes

ENTRIES = 6
ENDPOINTS = 12
LENGTH_MS = 40_000
DOWN_MS = 4000
STALL_MS = 1500
# Times from the start of an attempt to the crash or the first event, and until the end.
BEGIN_MS = (60, 250)
ANSWER_MS = (800, 1500)
REPORT_MS = (50, 300)
ATTEMPTS = 2
# From the users' rules: the time in which an entry may learn of the fifth crash.
SETTLE_MS = 3000
MAX_ENDED = 5
FAULTY, SHARED = "f00d", "5a1e"


@attrs.define
class Case:
    """What callers send, and what happens to the evidence.

    - ``faulty_prompt(rng)``, ``sound_prompt(rng)``: the shared parts of a prompt.
    - ``faulty_per_s``, ``sound_per_s``: requests a second.
    - ``lost``: the share of faulty requests whose crash is not blamed on them.
    - ``late_ms``: a delay added to all reports.
    - ``is_group``: whether the endpoints are ranks of one group.
    - ``restarts_ms``: times at which an entry starts again.
    - ``other_crash_every_ms``: how often an endpoint crashes for another reason, or 0.
    """

    faulty_prompt: object
    sound_prompt: object
    faulty_per_s: float = 1.5
    sound_per_s: float = 1.0
    lost: float = 0.0
    late_ms: int = 0
    is_group: bool = False
    restarts_ms: tuple = ()
    other_crash_every_ms: int = 0


@attrs.define
class Result:
    """Crashes and sends of the faulty part, in ms; sound requests by when they came.

    ``sound`` holds (ms, whether it began at the first attempt).
    """

    crashed_ms: list = attrs.field(factory=list)
    sent_ms: list = attrs.field(factory=list)
    sound: list = attrs.field(factory=list)

    def last_free_crash_ms(self):
        """The time of the fifth crash, or of the last one if there are fewer."""
        return (self.crashed_ms + [0] * MAX_ENDED)[MAX_ENDED - 1] or max(
            self.crashed_ms
        )

    def sends_too_late(self):
        """Requests with the part sent once all entries may know of five crashes."""
        if len(self.crashed_ms) < MAX_ENDED:
            return 0
        from_ms = self.last_free_crash_ms() + SETTLE_MS
        return sum(sent_ms > from_ms for sent_ms in self.sent_ms)

    def sound_share(self):
        """The share of later sound requests that began at the first attempt."""
        from_ms = self.last_free_crash_ms() + 2 * SETTLE_MS
        later = [begun for came_ms, begun in self.sound if came_ms > from_ms]
        return sum(later) / len(later) if later else 1.0


@attrs.define
class Request:
    content: io.BytesIO
    method: bytes = b"POST"
    uri: bytes = b"/a/b"


@attrs.define(eq=False)
class Endpoint:
    name: str
    number: int = 0
    down_until_ms: float = 0
    running: list = attrs.field(factory=list)

    def member(self):
        return ttypes.Member(
            endpoint_id=f"{self.name}-{self.number}",
            host="h",
            port=int(self.name),
            service_name="s",
        )


@attrs.define
class Hub:
    """The controls: pass reports on to all entries, late."""

    model: object
    known: registry.Registry = attrs.field(factory=registry.Registry)

    def publish(self, reports):
        model = self.model
        messages = [report.to_message(model.clock.now()) for report in reports]
        delay_ms = model.rng.uniform(*REPORT_MS) + model.case.late_ms
        sent_ms = model.clock.now()

        def arrive(apply):
            age_ms = model.clock.now() - sent_ms
            apply(
                [
                    ttypes.CrashReport(m.digest, m.life, m.age_ms + age_ms, m.subject)
                    for m in messages
                ]
            )

        model.clock.call_later(delay_ms / 2, arrive, self._apply)
        for entry in model.entries:
            model.clock.call_later(
                delay_ms,
                arrive,
                lambda found, entry=entry: entry.quarantine.receive_reports(
                    entry, found
                ),
            )

    def _apply(self, reports):
        for report in reports:
            self.known.apply_report(report, self.model.clock.now())


@attrs.define(eq=False)
class Entry:
    """What the quarantine needs of an entry; refusals are kept by request."""

    model: object
    clock: clock.Clock
    quarantine: quarantine.Quarantine
    counters: metrics.Counters = attrs.field(factory=lambda: metrics.Counters(None))

    @property
    def pool(self):
        return self

    def refuses_connections(self, member):
        endpoint = self.model.endpoints[member.port]
        is_down = endpoint.down_until_ms > self.clock.now()
        return defer.succeed(is_down or endpoint.member() != member)


@attrs.define
class Model:
    case: Case
    rng: random.Random
    reactor: task.Clock = attrs.field(factory=task.Clock)
    result: Result = attrs.field(factory=Result)
    entries: list = attrs.field(factory=list)
    endpoints: list = attrs.field(factory=list)
    stalled_until_ms: float = 0
    clock: object = None
    hub: Hub = None

    def __attrs_post_init__(self):
        self.clock = clock.Clock(self.reactor)
        self.hub = Hub(self)
        self.endpoints = [Endpoint(str(n)) for n in range(ENDPOINTS)]
        self.entries = [self.start_entry() for _ in range(ENTRIES)]

    def start_entry(self):
        entry = Entry(self, self.clock, quarantine.Quarantine(self.hub))
        entry.quarantine.receive_reports(
            entry, self.hub.known.reports(registry.NO_REVISION, self.clock.now())
        )
        return entry

    def restart_entry(self):
        self.entries[self.rng.randrange(ENTRIES)] = self.start_entry()

    def available(self):
        now = self.clock.now()
        if now < self.stalled_until_ms:
            return []
        return [e for e in self.endpoints if e.down_until_ms <= now]

    def crash(self, endpoint):
        now = self.clock.now()
        endpoint.down_until_ms = now + DOWN_MS
        endpoint.number += 1
        for ended in endpoint.running[:]:
            ended.callback("crashed")
        if not self.case.is_group:
            return
        self.stalled_until_ms = now + DOWN_MS + STALL_MS
        for other in self.endpoints:
            for ended in other.running[:]:
                self.clock.call_later(
                    STALL_MS, lambda d=ended: d.called or d.callback("")
                )

    @defer.inlineCallbacks
    def attempt(self, entry, call, is_faulty):
        """Run *call* at an endpoint; return whether it began, and an outcome."""
        endpoint = min(
            self.available(), key=lambda e: (len(e.running), self.rng.random())
        )
        member = endpoint.member()
        ended = defer.Deferred()
        endpoint.running.append(ended)
        begun = []

        def begin():
            if ended.called or self.clock.now() < self.stalled_until_ms:
                return
            if is_faulty:
                self.result.crashed_ms.append(self.clock.now())
                self.crash(endpoint)
                return
            begun.append(True)
            quarantine.request_served(entry, call)
            self.clock.call_later(
                self.rng.uniform(*ANSWER_MS),
                lambda: ended.called or ended.callback("done"),
            )

        if is_faulty:
            self.result.sent_ms.append(self.clock.now())
        self.clock.call_later(self.rng.uniform(*BEGIN_MS), begin)
        outcome = yield ended
        endpoint.running.remove(ended)
        if outcome != "done" and not begun:
            if not (is_faulty and self.rng.random() < self.case.lost):
                quarantine.connection_ended(entry, call, member)
        quarantine.leave(entry, call, outcome != "done")
        return bool(begun), outcome

    @defer.inlineCallbacks
    def serve(self, parts, is_faulty):
        """Send one request; return whether it began at its first attempt."""
        entry = self.rng.choice(self.entries)
        body = b"%d" % self.rng.getrandbits(60)
        call = state.Call(
            Request(io.BytesIO(body)),
            None,
            "s",
            config.Workspace("w"),
            int(self.clock.now()) + 8000,
            None,
            None,
            streaming=True,
            prompt_parts=(*parts, body.decode()),
        )
        for number in range(ATTEMPTS):
            limit_ms = self.clock.now() + STALL_MS
            while quarantine.must_wait(entry, call) or not self.available():
                if not self.available() and self.clock.now() > limit_ms:
                    return False
                yield self.clock.sleep(quarantine.TURN_POLL_INTERVAL_MS)
            if number:
                status = quarantine.suspect_status(entry, call)
                if status is not registry.SuspectStatus.CLEAR:
                    return False
            elif not quarantine.enter(entry, call):
                return False
            begun, outcome = yield self.attempt(entry, call, is_faulty)
            if begun or outcome == "done":
                return begun and number == 0
        return False

    def arrive(self, prompt, is_faulty, per_s):
        came_ms = self.clock.now()
        done = self.serve(prompt(self.rng), is_faulty)
        if not is_faulty:
            done.addCallback(lambda begun: self.result.sound.append((came_ms, begun)))
        done.addErrback(self.failed)
        self.schedule(self.rng.expovariate(per_s / 1000), prompt, is_faulty, per_s)

    def schedule(self, delay_ms, prompt, is_faulty, per_s):
        self.clock.call_later(delay_ms, self.arrive, prompt, is_faulty, per_s)

    def failed(self, failure):
        raise failure.value

    def other_crash(self):
        self.crash(self.rng.choice(self.endpoints))
        self.clock.call_later(self.case.other_crash_every_ms, self.other_crash)


def play(case, seed):
    """The ``Result`` of *case* with the random draws of *seed*."""
    model = Model(case, random.Random(seed))
    model.schedule(0, case.sound_prompt, False, case.sound_per_s)
    model.schedule(2000, case.faulty_prompt, True, case.faulty_per_s)
    for at_ms in case.restarts_ms:
        model.clock.call_later(at_ms, model.restart_entry)
    if case.other_crash_every_ms:
        model.clock.call_later(case.other_crash_every_ms, model.other_crash)
    for _ in range(LENGTH_MS // 5):
        model.reactor.advance(0.005)
    return model.result
