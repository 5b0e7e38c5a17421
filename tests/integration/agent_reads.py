"""What an agent makes of the answers of the servers behind it.

``python -m tests.integration.agent_reads KIND PORT`` prints it as one JSON object.
"""

import json
import sys

import attrs
from twisted.internet import defer, task

from dunlinpoint import metrics
from dunlinpoint.agent import rebalance_loop, server
from dunlinpoint.experts import engine
from dunlinpoint.wire.gen.dunlin import ttypes


def state_of(reactor, port):
    """The state of an agent whose servers are all at *port*."""
    url = f"http://127.0.0.1:{port}"
    settings = server.Settings(
        "e-1", "z", "127.0.0.1", 1, "engine", url, [], "g", weights=url
    )
    return server.State.from_config(settings, reactor, metrics.Counters(None))


@defer.inlineCallbacks
def call(reactor, port):
    """The results of a call that may run once and its repetition, and its record."""
    handler = server.Handler(state_of(reactor, port), reactor)
    order = ttypes.CallOrder("r", "slot_confirm", "k", "{}")
    results = []
    for _ in range(2):
        result = yield handler.call(order)
        results.append([result.outcome, result.status, result.body_json])
    return {"results": results, "record": attrs.asdict(handler.state.keys.by_key["k"])}


@defer.inlineCallbacks
def rebalance(reactor, port):
    """What was counted, and the experts whose weights are loaded for the next map."""
    state = state_of(reactor, port)
    failure = ""
    try:
        yield rebalance_loop.rebalance_once(state)
    except Exception as exc:
        failure = repr(exc)
    experts = sorted(expert for expert, _ in state.fetched_experts)
    return {"counted": state.counters.by_name, "experts": experts, "failure": failure}


@defer.inlineCallbacks
def counts(reactor, port):
    """The counts of a rank, ``None`` without an answer."""
    paths = engine.EnginePaths()
    rank = engine.Engine.from_config(reactor, f"127.0.0.1:{port}", paths, None)
    try:
        return {"counts": (yield rank.counts())}
    except engine.RankError:
        return {"counts": None}


@defer.inlineCallbacks
def run(reactor, kind, port):
    found = yield {"call": call, "rebalance": rebalance, "counts": counts}[kind](
        reactor, port
    )
    print(json.dumps(found))


if __name__ == "__main__":
    task.react(run, sys.argv[1:])
