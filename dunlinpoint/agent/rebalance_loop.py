"""Commands an engine whose ranks are one process to switch its expert map.

Groups whose ranks are separate processes use :mod:`dunlinpoint.experts`.
"""

import json

from twisted.internet import defer, task

from dunlinpoint import clock, http_calls, http_client, logs
from dunlinpoint.agent import rebalance, unmarked_ends
from dunlinpoint.config import packed

log = logs.logger("agent")

REBALANCE_INTERVAL_MS = 1000
# Distance between the fencing numbers of consecutive incarnations at one map version.
FENCE_STRIDE = 1_000_000
DEFAULT_SKEW_WEIGHT = 0.5
# Most bytes of an expert's weights, which are held while they are loaded, and how long
# the rate-limited store may take for them.
MAX_WEIGHTS_BYTES = 64 * 1024 * 1024
WEIGHTS_TIMEOUT_MS = 30_000


def decode_body(document):
    """The JSON object of a ``Document`` message."""
    return json.loads(packed.unpack(document.body))


def skew_weight(state):
    """The skew weight of this agent's group in the document in force."""
    for group in decode_body(state.document).get("groups", []):
        if group.get("name") == state.settings.group:
            return float(group.get("skew_weight", DEFAULT_SKEW_WEIGHT))
    return DEFAULT_SKEW_WEIGHT


@defer.inlineCallbacks
def fetch_weights(state, old, new):
    """Load the weights of moved experts; ``False`` if the store does not send them.

    *old* and *new* are placements (``[rank]`` by expert). The store is limited
    to a few experts per second. A map that moves more than that would start from
    the first expert in each attempt and never finish, so ``state.fetched_experts``
    keeps the experts loaded so far until the map is sent to the engine.
    """
    if not state.settings.weights:
        return True
    for expert, (a, b) in enumerate(zip(old, new, strict=True)):
        if a == b or (expert, b) in state.fetched_experts:
            continue
        url = f"{state.settings.weights}/weights/{state.settings.group}/{expert}"
        response = yield http_calls.default().get(url, timeout=5, unbuffered=True)
        if response.code != 200:
            yield http_client.discard(state.clock.reactor, response, WEIGHTS_TIMEOUT_MS)
            is_limited = response.code == 429
            reason = "weights_rate_limited" if is_limited else "weights_refused"
            state.counters.retried(reason)
            return False
        yield http_client.read(
            state.clock.reactor,
            response,
            MAX_WEIGHTS_BYTES,
            WEIGHTS_TIMEOUT_MS,
            is_whole=unmarked_ends.checker(state, state.settings.weights),
        )
        state.fetched_experts.add((expert, b))
    return True


@defer.inlineCallbacks
def rebalance_once(state):
    """Read the engine's load and command a new expert map if its benefit is enough.

    The command carries a fencing number greater than any earlier one of this agent
    and of its earlier incarnations, so an engine that checks fences refuses a late
    command from a process that has been replaced. The engine switches all ranks at
    one step boundary.
    """
    if state.draining:
        return
    settings = state.settings
    try:
        response = yield http_calls.default().get(
            f"{settings.backend}/load", timeout=2, unbuffered=True
        )
        report = yield http_client.read_object(state.clock.reactor, response)
    except Exception:
        state.counters.retried("load_report_failed")
        return
    placement = report["placement"]
    ranks = max(placement) + 1
    proposed = rebalance.decide(
        report["per_expert"], placement, ranks, skew_weight(state)
    )
    if proposed is None:
        return
    if not (yield fetch_weights(state, placement, proposed)):
        return
    state.fetched_experts.clear()
    state.map_version = max(state.map_version, report["map_version"]) + 1
    command = {
        "kind": "set_map",
        "version": state.map_version,
        "placement": proposed,
        "fence": settings.incarnation * FENCE_STRIDE + state.map_version,
    }
    response = yield http_calls.default().post(
        f"{settings.backend}/orders",
        data=json.dumps(command).encode(),
        timeout=2,
        unbuffered=True,
    )
    yield http_client.discard(state.clock.reactor, response)
    if response.code == 200:
        state.counters.incr("rebalanced")
        state.counters.incr("experts_moved", rebalance.moved(placement, proposed))
        log.info("expert_map", version=state.map_version)
    else:
        state.counters.refused("map_order")


def start_rebalancing(reactor, state):
    """Consider a rebalance every ``REBALANCE_INTERVAL_MS``."""

    def attempt():
        return rebalance_once(state).addErrback(
            lambda failure: state.counters.retried("rebalance_failed")
        )

    loop = task.LoopingCall(attempt)
    loop.clock = reactor
    loop.start(clock.seconds(REBALANCE_INTERVAL_MS), now=False)
    return loop
