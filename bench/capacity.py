"""Control cost per endpoint for docs/CAPACITY.md, with simulated endpoints.

Starts one real control process. For each number K in ``--sizes``, K simulated
endpoints in this process send it a heartbeat every 300 ms, each over its own TCP
connection. Reads the control's CPU time and resident memory from /proc and the
encoded sizes of a heartbeat and its reply, and prints one JSON line per size. Takes
about ``--seconds`` per size; sizes above 400 endpoints are reduced to 400.

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

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_ENDPOINTS = 400


def wire_bytes(message):
    """Size of *message* in thrift's binary protocol, in bytes."""
    buffer = TTransport.TMemoryBuffer()
    message.write(TBinaryProtocol.TBinaryProtocol(buffer))
    return len(buffer.getvalue())


def cpu_s(pid):
    """User and system CPU time of process *pid* so far, in seconds."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def rss_mb(pid):
    """Resident memory of process *pid*, in MiB."""
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES / 2**20


def heartbeat(i, version):
    """The heartbeat of endpoint number *i*, which has document *version*."""
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
    """Send the heartbeats of *size* endpoints for *seconds*; returns a result dict."""
    links = [
        rpc.Link(reactor, "127.0.0.1", port, Control.Client, 2000) for _ in range(size)
    ]
    replies = []
    known_versions = [0] * size

    def on_reply(reply, i):
        replies.append(reply)
        if reply.document is not None:
            known_versions[i] = max(known_versions[i], reply.document.version)

    def send_all():
        for i, link in enumerate(links):
            d = link.call("heartbeat", heartbeat(i, known_versions[i]))
            d.addCallback(on_reply, i)
            d.addErrback(lambda failure: None)

    send_all()
    yield task.deferLater(reactor, 1.0, lambda: None)
    replies.clear()
    start_cpu_s, start_s = cpu_s(pid), time.monotonic()
    loop = task.LoopingCall(send_all)
    loop.clock = reactor
    loop.start(agent_server.HEARTBEAT_MS / 1000)
    yield task.deferLater(reactor, seconds, lambda: None)
    loop.stop()
    elapsed_s = time.monotonic() - start_s
    used_s = cpu_s(pid) - start_cpu_s
    for link in links:
        link.close()
    reply_bytes = wire_bytes(replies[-1]) if replies else 0
    return {
        "endpoints": size,
        "heartbeats_per_s": round(len(replies) / elapsed_s, 1),
        "control_cpu_core_share": round(used_s / elapsed_s, 4),
        "cpu_us_per_heartbeat": round(used_s / max(1, len(replies)) * 1e6, 1),
        "control_rss_mb": round(rss_mb(pid), 1),
        "heartbeat_bytes": wire_bytes(heartbeat(1, 0)),
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
