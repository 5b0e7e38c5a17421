"""A model-engine emulator: a group of ranks stepping in lock-step.

It behaves as the platform's engines do. Sequences are batched continuously (at
most ``max_batch`` a step, higher priority first); prompt prefixes are cached in a
bounded LRU; streams can be resumed from an offset and cancelled; a sequence's KV
state can be exported and imported; cache events are published late and with gaps;
load is reported with a lag. Commands load models, adapters and versions, change the
role or stage a new expert map; their fencing number is honoured or ignored.

Each generated token is routed to one expert. The rank that holds this expert under
the current map computes it, and a step takes as long as its busiest rank. Every step
is recorded per rank with its map version, so that a test can check that all ranks of
a step used the same map.

HTTP, newline-delimited JSON:

- ``POST /generate`` ``{request_id, prompt, max_tokens, priority, topic,
  resume_from}`` streams ``{"i": offset, "t": token}`` lines, then ``{"done":
  true}``.
- ``POST /cancel/<id>``, ``GET /kv/<id>``, ``POST /kv``, ``GET /load``,
  ``GET /events?since=N``, ``POST /orders``, ``GET /steps``, and
  ``GET /requests`` (arrival time in ms by request id).
"""

from __future__ import annotations

import collections
import json
import random
import zlib

import attrs
from klein import Klein
from twisted.internet import defer

from dunlinpoint import clock

BASE_STEP_MS = 6
TOKEN_US = 150
PREFILL_US_PER_CHAR = 20
PREFIX_CHARS = 32
STEP_LOG_ENTRIES = 20000
LOAD_WINDOW_MS = 1000


@attrs.define
class Settings:
    """Settings of an emulated engine; all times in milliseconds."""

    ranks: int = 4
    experts: int = 16
    max_batch: int = 32
    cache_entries: int = 64
    load_lag_ms: int = 500
    event_delay_ms: int = 300
    event_gap_every: int = 7
    honours_fence: bool = True
    seed: int = 1


@attrs.define
class Sequence:
    """One request being generated."""

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    topic: int
    arrived: int
    tokens: list = attrs.field(factory=list)
    waiters: list = attrs.field(factory=list)
    cancelled: bool = False
    prefilled: bool = False

    @property
    def done(self):
        return self.cancelled or len(self.tokens) >= self.max_tokens


def token_of(prompt, index):
    """The deterministic *index*-th token of *prompt*'s answer."""
    return f"t{zlib.crc32(f'{prompt}#{index}'.encode()) % 10000}"


def expert_of(topic, prompt, index, experts):
    """The expert of a token: one of the four that start at the request's topic."""
    offset = zlib.crc32(f"{prompt}@{index}".encode()) % 4
    return (topic + offset) % experts


@attrs.define
class Engine:
    """State of one emulated engine: sequences, expert map, prefix cache, records."""

    settings: Settings
    clock: clock.Clock
    rng: random.Random
    placement: list
    map_version: int = 0
    staged: tuple | None = None
    step: int = 0
    by_id: dict = attrs.field(factory=dict)
    prefixes: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    events: list = attrs.field(factory=list)
    event_seq: int = 0
    load_history: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=1000)
    )
    step_log: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=STEP_LOG_ENTRIES)
    )
    highest_fence: int = 0
    commands: list = attrs.field(factory=list)
    role: str = "mixed"
    models: dict = attrs.field(factory=dict)
    running: bool = False

    @classmethod
    def from_config(cls, settings, reactor):
        """An idle engine with experts in contiguous blocks over the ranks."""
        block = -(-settings.experts // settings.ranks)
        placement = [e // block for e in range(settings.experts)]
        return cls(
            settings=settings,
            clock=clock.Clock(reactor),
            rng=random.Random(settings.seed),
            placement=placement,
        )

    # -- sequences -----------------------------------------------------

    def submit(self, request_id, prompt, max_tokens, priority, topic):
        """Start the sequence *request_id*, or find the existing one; returns it."""
        seq = self.by_id.get(request_id)
        if seq is None:
            seq = Sequence(
                request_id=request_id,
                prompt=prompt,
                max_tokens=max_tokens,
                priority=priority,
                topic=topic,
                arrived=self.clock.now(),
            )
            self.by_id[request_id] = seq
        self._ensure_stepping()
        return seq

    def cancel(self, request_id):
        """Stop generating *request_id* and end its stream; whether it is known."""
        seq = self.by_id.get(request_id)
        if seq is not None:
            seq.cancelled = True
            self._notify_waiters(seq)
        return seq is not None

    def export_kv(self, request_id):
        """The KV state of a sequence as plain data, or ``None``."""
        seq = self.by_id.get(request_id)
        if seq is None:
            return None
        return attrs.asdict(seq, filter=lambda a, v: a.name != "waiters")

    def import_kv(self, state):
        """Continue a sequence that another engine exported; returns it."""
        seq = self.submit(
            state["request_id"],
            state["prompt"],
            state["max_tokens"],
            state["priority"],
            state["topic"],
        )
        if len(state["tokens"]) > len(seq.tokens):
            seq.tokens = list(state["tokens"])
            seq.prefilled = True
        return seq

    # -- commands ------------------------------------------------------

    def execute_command(self, command):
        """Execute an engine command; ``(ok, reason)``.

        An engine that honours fencing refuses a command whose ``fence`` is
        below the highest it has seen: a deposed control instance could
        otherwise undo a newer decision. One that ignores fencing executes it.
        """
        fence = int(command.get("fence", 0))
        if self.settings.honours_fence and fence < self.highest_fence:
            return False, f"stale fence {fence} < {self.highest_fence}"
        self.highest_fence = max(self.highest_fence, fence)
        self.commands.append(command)
        kind = command["kind"]
        if kind == "set_map":
            self.staged = (int(command["version"]), list(command["placement"]))
            self._ensure_stepping()
        elif kind == "set_role":
            self.role = command["role"]
        elif kind in ("load_model", "load_adapter", "load_version"):
            self.models[kind] = command["name"]
        else:
            return False, f"unknown order {kind}"
        return True, "ok"

    # -- stepping ------------------------------------------------------

    def _ensure_stepping(self):
        if not self.running:
            self.running = True
            self.clock.call_later(0, self._step)

    def _batch(self):
        live = [s for s in self.by_id.values() if not s.done]
        live.sort(key=lambda s: (-s.priority, s.arrived))
        return live[: self.settings.max_batch]

    def _step(self):
        # A staged map takes effect between steps, for all ranks at once. A rank
        # that switched within a step would use another map than its peers, which
        # appears as two versions in the records of one step.
        if self.staged is not None:
            self.map_version, self.placement = self.staged
            self.staged = None
        batch = self._batch()
        if not batch:
            self.running = False
            return
        per_rank = [0] * self.settings.ranks
        per_expert = [0] * self.settings.experts
        prefill_us = 0
        for seq in batch:
            if not seq.prefilled:
                prefill_us += self._prefill(seq)
            index = len(seq.tokens)
            expert = expert_of(seq.topic, seq.prompt, index, self.settings.experts)
            per_rank[self.placement[expert]] += 1
            per_expert[expert] += 1
            seq.tokens.append(token_of(seq.prompt, index))
        rank_ms = [BASE_STEP_MS + (n * TOKEN_US + prefill_us) / 1000 for n in per_rank]
        self.step += 1
        for rank, ms in enumerate(rank_ms):
            self.step_log.append((self.step, rank, self.map_version, ms))
        self.load_history.append((self.clock.now(), len(batch), per_rank, per_expert))
        for seq in batch:
            self._notify_waiters(seq)
        self.clock.call_later(int(max(rank_ms)), self._step)

    def _prefill(self, seq):
        seq.prefilled = True
        prefix = seq.prompt[:PREFIX_CHARS]
        if prefix in self.prefixes:
            self.prefixes.move_to_end(prefix)
            return 0
        self.prefixes[prefix] = True
        self._event("stored", prefix)
        if len(self.prefixes) > self.settings.cache_entries:
            evicted, _ = self.prefixes.popitem(last=False)
            self._event("evicted", evicted)
        return PREFILL_US_PER_CHAR * len(seq.prompt)

    def _event(self, kind, prefix):
        self.event_seq += 1
        # Real engines lose some events, so consumers must treat the stream as an
        # incomplete hint. Here every event_gap_every-th event is dropped.
        if self.event_seq % self.settings.event_gap_every == 0:
            return
        self.events.append((self.clock.now(), self.event_seq, kind, prefix))

    def _notify_waiters(self, seq):
        waiters, seq.waiters = seq.waiters, []
        for waiter in waiters:
            waiter.callback(seq)

    def wait_for_change(self, seq):
        """A Deferred that fires with *seq* at its next change."""
        d = defer.Deferred()
        seq.waiters.append(d)
        return d

    # -- reports -------------------------------------------------------

    def load(self):
        """The load report, ``load_lag_ms`` old.

        ``per_expert`` counts tokens by expert over ``LOAD_WINDOW_MS`` before that
        time; ``per_rank`` counts the tokens of the last step by rank; ``batch`` is
        the size of its batch.
        """
        cutoff = self.clock.now() - self.settings.load_lag_ms
        window = cutoff - LOAD_WINDOW_MS
        report = {"at": None, "batch": 0, "per_rank": [0] * self.settings.ranks}
        per_expert = [0] * self.settings.experts
        for at, batch, per_rank, experts in self.load_history:
            if at > cutoff:
                break
            report = {"at": at, "batch": batch, "per_rank": per_rank}
            if at > window:
                per_expert = [a + b for a, b in zip(per_expert, experts, strict=True)]
        report["per_expert"] = per_expert
        report["map_version"] = self.map_version
        report["placement"] = list(self.placement)
        return report

    def published_events(self, since):
        """Cache events after *since* that are at least ``event_delay_ms`` old."""
        cutoff = self.clock.now() - self.settings.event_delay_ms
        return [
            {"seq": seq, "kind": kind, "prefix": prefix}
            for at, seq, kind, prefix in self.events
            if seq > since and at <= cutoff
        ]

    def step_report(self):
        """Steps with more than one map version (must be none), and rank time skew."""
        versions = collections.defaultdict(set)
        times = collections.defaultdict(list)
        for step, _rank, version, ms in self.step_log:
            versions[step].add(version)
            times[step].append(ms)
        mixed = sorted(step for step, seen in versions.items() if len(seen) > 1)
        skews = sorted(max(t) - min(t) for t in times.values() if t)
        return {
            "steps": len(versions),
            "mixed_steps": mixed,
            "skew_ms_p50": skews[len(skews) // 2] if skews else 0,
            "skew_ms_p99": skews[int(len(skews) * 0.99)] if skews else 0,
            "map_version": self.map_version,
        }


def app(engine):
    """The engine's HTTP interface as a Klein app."""
    web = Klein()

    def body(request):
        return json.loads(request.content.read() or b"{}")

    @web.route("/generate", methods=["POST"])
    @defer.inlineCallbacks
    def generate(request):
        params = body(request)
        seq = engine.submit(
            params["request_id"],
            params["prompt"],
            int(params.get("max_tokens", 16)),
            int(params.get("priority", 0)),
            int(params.get("topic", 0)),
        )
        request.setHeader("content-type", "application/x-ndjson")
        sent = int(params.get("resume_from", 0))
        while True:
            while sent < len(seq.tokens):
                line = {"i": sent, "t": seq.tokens[sent]}
                request.write(json.dumps(line).encode() + b"\n")
                sent += 1
            if seq.done:
                break
            yield engine.wait_for_change(seq)
        end = {"done": True, "cancelled": seq.cancelled}
        return json.dumps(end).encode() + b"\n"

    @web.route("/cancel/<request_id>", methods=["POST"])
    def cancel(request, request_id):
        return json.dumps({"cancelled": engine.cancel(request_id)})

    @web.route("/kv/<request_id>", methods=["GET"])
    def export_kv(request, request_id):
        state = engine.export_kv(request_id)
        if state is None:
            request.setResponseCode(404)
        return json.dumps(state)

    @web.route("/kv", methods=["POST"])
    def import_kv(request):
        seq = engine.import_kv(body(request))
        return json.dumps({"request_id": seq.request_id, "tokens": len(seq.tokens)})

    @web.route("/load", methods=["GET"])
    def load(request):
        return json.dumps(engine.load())

    @web.route("/events", methods=["GET"])
    def events(request):
        since = int(request.args.get(b"since", [b"0"])[0])
        return json.dumps(engine.published_events(since))

    @web.route("/orders", methods=["POST"])
    def orders(request):
        ok, reason = engine.execute_command(body(request))
        if not ok:
            request.setResponseCode(409)
        return json.dumps({"ok": ok, "reason": reason})

    @web.route("/requests", methods=["GET"])
    def requests(request):
        arrived = {i: s.arrived for i, s in engine.by_id.items()}
        return json.dumps(arrived)

    @web.route("/steps", methods=["GET"])
    def steps(request):
        return json.dumps(engine.step_report())

    return web
