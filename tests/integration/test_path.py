"""The request path through real processes: entry, agent, simulated back end."""

import subprocess
import sys
import threading

import attrs

from dunlinpoint.config import document as config
from dunlinpoint.lab import client
from dunlinpoint.standins import engine


def test_generate_streams_whole_answer(deployment):
    port = deployment.entries_by_zone["z1"][0]
    answer = client.generate(port, "#3 draft pass schedule", max_tokens=12)
    assert answer.status == 200
    assert answer.final["outcome"] == "done"
    expected = [engine.token_of("#3 draft pass schedule", i) for i in range(12)]
    assert answer.tokens == expected
    assert {line["request_id"] for line in answer.lines} == {answer.final["request_id"]}


def test_slot_confirm_runs_once(deployment):
    port = deployment.entries_by_zone["z2"][0]
    answer = client.call(port, "slot_confirm", "key-path-1", {"slot": "kyushu-7"})
    assert answer.status == 200
    assert answer.final["outcome"] == "done"
    ran = [e for e in deployment.executions() if e["key"] == "key-path-1"]
    assert len(ran) == 1


def apply_skew_only_document(deployment, path):
    """Apply a document in which only skew has weight and moving experts is free."""
    group = attrs.evolve(config.DEFAULT.groups[0], skew_weight=1.0)
    path.write_text(config.dump(attrs.evolve(config.DEFAULT, groups=[group])))
    controls = ",".join(f"{host}:{port}" for host, port in deployment.controls)
    subprocess.run(
        [sys.executable, "-m", "dunlinpoint.cli.ctl", "apply", str(path)]
        + ["--expect", "0", "--controls", controls],
        check=True,
        timeout=30,
    )


def test_rebalance_keeps_one_map_per_step(deployment, tmp_path):
    # Guards against ranks of one group that compute a step with different expert maps,
    # because a new map takes effect at one rank within a step instead of at all ranks
    # at a step boundary. Traffic is concentrated on one block of experts, and the agent
    # commands a new map while steps run under load.
    from tests.integration.waits import wait_for

    ports = [p for ps in deployment.entries_by_zone.values() for p in ps]
    engines = [
        p.port
        for n, p in deployment.by_name.items()
        if n.startswith("engine-") and n.endswith("-backend")
    ]

    # With the default cost of moves, a rebalance pays off only from a few thousand
    # tokens per second, which a slow machine does not reach in time.
    apply_skew_only_document(deployment, tmp_path / "skew.json")

    def versions():
        threads = [
            threading.Thread(
                target=client.generate,
                args=(ports[i % len(ports)], f"#0 hot block {i}", 40),
            )
            for i in range(24)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        return [client.get(port, "/steps")["map_version"] for port in engines]

    wait_for(lambda: any(versions()), 30, 0.1)
    for port in engines:
        assert client.get(port, "/steps")["mixed_steps"] == []
