"""Cost of a configuration document by its size: bytes on the wire and CPU time.

For each number of workspaces (two keys each, one route per ten workspaces) it
prints the sizes of the text and of the packed document in bytes, and the CPU time
in ms to pack it, to unpack and validate it, and to build an entry's routing table.

    .venv/bin/python -m bench.document [--sizes 10,100,1000,4200]
"""

import argparse
import hashlib
import json
import time

from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.forward import routes

WORKSPACES_PER_ROUTE = 10


def key(number):
    """API key number *number*, of the same entropy as a real one.

    A regular key would compress better, and the packed size would be too small.
    """
    return hashlib.sha256(str(number).encode()).hexdigest()[:20]


def build_document(size):
    """A document with *size* workspaces."""
    service = config.Service(name="planner")
    return config.Document(
        format=config.FORMAT,
        name="bench",
        services=[service],
        workspaces=[
            config.Workspace(name=f"ws-{i}", keys=[key(2 * i), key(2 * i + 1)])
            for i in range(size)
        ],
        routes=[
            config.Route(
                name=f"r-{i}",
                host=f"brand-{i % 7}.example",
                prefix=f"/{i}/",
                kind=config.STREAMING,
                timeout_ms=8000,
                split=[config.Share(service="planner")],
            )
            for i in range(0, size, WORKSPACES_PER_ROUTE)
        ],
    )


def with_cpu_ms(func, *args):
    """Call *func*; returns ``(result, CPU time in ms)``."""
    start_s = time.process_time()
    result = func(*args)
    return result, round((time.process_time() - start_s) * 1000, 2)


def main(argv=None):
    parser = argparse.ArgumentParser(description="cost of a document by its size")
    parser.add_argument("--sizes", default="10,100,1000,4200")
    for size in map(int, parser.parse_args(argv).sizes.split(",")):
        text = config.dump(build_document(size))
        data, pack_ms = with_cpu_ms(packed.pack, text)
        doc, parse_ms = with_cpu_ms(lambda data=data: config.parse(packed.unpack(data)))
        _, table_ms = with_cpu_ms(routes.Table.from_document, doc, 1)
        line = {"workspaces": size, "text_bytes": len(text), "packed_bytes": len(data)}
        line.update(pack_ms=pack_ms, parse_ms=parse_ms, table_ms=table_ms)
        print(json.dumps(line))


if __name__ == "__main__":
    main()
