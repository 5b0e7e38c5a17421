"""Slopes for docs/CAPACITY.md, measured on small stand-ins on one machine.

Starts one real control process and, in this process, K stand-in endpoints
that heartbeat it every 300 ms over their own TCP connections, for K in
``--sizes``. Reads the control's CPU time and resident memory from /proc
and the bytes each heartbeat and reply take on the wire, and prints one
JSON line per size. Bounded: ``--seconds`` per size, at most 400 endpoints.

    .venv/bin/python -m bench.capacity --sizes 50,100,200 --seconds 5
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport
from twisted.internet import defer, task

from dunlinpoint.agent import server as agent_server
from dunlinpoint.config import document as config
from dunlinpoint.lab import deploy
from dunlinpoint.wire import rpc
from dunlinpoint.wire.gen.dunlin import Control, ttypes

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
MAX_ENDPOINTS = 400


def wire_bytes(message):
    """Bytes of *message* in thrift's binary protocol."""
    buffer = TTransport.TMemoryBuffer()
    message.write(TBinaryProtocol.TBinaryProtocol(buffer))
    return len(buffer.getvalue())


def cpu_s(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mb(pid):
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE / 2**20


def beat(i, version):
    return ttypes.Heartbeat(
        endpoint_id=f"endpoint-{i:05d}",
        zone=f"z{i % 3}",
        host="127.0.0.1",
        port=10000 + i,
        kind="engine",
        load=i % 17,
        draining=False,
        config_version=version,
        incarnation=1,
        group="planner",
    )


@defer.inlineCallbacks
def measure(reactor, port, pid, size, seconds):
    """Heartbeats of *size* endpoints for *seconds*; one result dict."""
    links = [
        rpc.Link(reactor, "127.0.0.1", port, Control.Client, 2000) for _ in range(size)
    ]
    replies = []
    known = [0] * size

    def took(reply, i):
        replies.append(reply)
        if reply.document is not None:
            known[i] = max(known[i], reply.document.version)

    def send_all():
        for i, link in enumerate(links):
            d = link.call("heartbeat", beat(i, known[i]))
            d.addCallback(took, i)
            d.addErrback(lambda failure: None)

    send_all()
    yield task.deferLater(reactor, 1.0, lambda: None)
    replies.clear()
    began_cpu, began = cpu_s(pid), time.monotonic()
    loop = task.LoopingCall(send_all)
    loop.clock = reactor
    loop.start(agent_server.HEARTBEAT_MS / 1000)
    yield task.deferLater(reactor, seconds, lambda: None)
    loop.stop()
    elapsed = time.monotonic() - began
    used = cpu_s(pid) - began_cpu
    for link in links:
        link.close()
    reply_bytes = wire_bytes(replies[-1]) if replies else 0
    return {
        "endpoints": size,
        "heartbeats_per_s": round(len(replies) / elapsed, 1),
        "control_cpu_core_share": round(used / elapsed, 4),
        "cpu_us_per_heartbeat": round(used / max(1, len(replies)) * 1e6, 1),
        "control_rss_mb": round(rss_mb(pid), 1),
        "heartbeat_bytes": wire_bytes(beat(1, 0)),
        "reply_bytes": reply_bytes,
    }


def main(argv=None):
    parser = argparse.ArgumentParser(prog="bench.capacity")
    parser.add_argument("--sizes", default="50,100,200")
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args(argv)
    sizes = [min(MAX_ENDPOINTS, int(s)) for s in args.sizes.split(",")]
    folder = tempfile.mkdtemp(prefix="dunlinpoint-capacity-")
    port = deploy.free_port()
    control = subprocess.Popen(
        [sys.executable, "-m", "dunlinpoint", "control", "--control-id", "c0"]
        + ["--zone", "z0", "--port", str(port), "--data", folder],
        stderr=subprocess.DEVNULL,
    )
    try:
        while not deploy.listening(port):
            time.sleep(0.05)
        print(json.dumps({"document_bytes": len(config.dump(config.DEFAULT))}))

        @defer.inlineCallbacks
        def run(reactor):
            link = rpc.Link(reactor, "127.0.0.1", port, Control.Client, 5000)
            yield link.call("apply", 0, "bench", config.dump(config.DEFAULT))
            for size in sizes:
                result = yield measure(reactor, port, control.pid, size, args.seconds)
                print(json.dumps(result), flush=True)

        task.react(run)
    except SystemExit:
        pass
    finally:
        control.terminate()
        control.wait(10)


if __name__ == "__main__":
    main()
