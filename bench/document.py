"""What a document costs as it grows: bytes on the wire and time to take it.

For each number of workspaces (two keys each, one route for every ten) it
prints the text's and the packed size in bytes, and the processor time in ms
to pack, to unpack and check, and to build an entry's table.

    .venv/bin/python -m bench.document [--sizes 10,100,1000,4200]
"""

import argparse
import hashlib
import json
import time

from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.forward import routes

ROUTE_EVERY = 10


def key(number):
    """A key that compresses as badly as a real one."""
    return hashlib.sha256(str(number).encode()).hexdigest()[:20]


def grown(size):
    """A document of *size* workspaces."""
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
            for i in range(0, size, ROUTE_EVERY)
        ],
    )


def timed(func, *args):
    """``(result, ms of processor time)`` of one call."""
    began = time.process_time()
    result = func(*args)
    return result, round((time.process_time() - began) * 1000, 2)


def main(argv=None):
    parser = argparse.ArgumentParser(description="cost of a document by its size")
    parser.add_argument("--sizes", default="10,100,1000,4200")
    for size in map(int, parser.parse_args(argv).sizes.split(",")):
        text = config.dump(grown(size))
        data, pack_ms = timed(packed.pack, text)
        doc, parse_ms = timed(lambda data=data: config.parse(packed.unpack(data)))
        _, table_ms = timed(routes.Table.from_document, doc, 1)
        line = {"workspaces": size, "text_bytes": len(text), "packed_bytes": len(data)}
        line.update(pack_ms=pack_ms, parse_ms=parse_ms, table_ms=table_ms)
        print(json.dumps(line))


if __name__ == "__main__":
    main()
