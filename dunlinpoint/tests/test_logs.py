"""Log lines are rate-limited and never block; their fields are documented."""

import ast
import json
import os
import pathlib

import logbook

import dunlinpoint
from dunlinpoint import logs, metrics

LEVELS = {"info", "warning", "error"}


def lines_of(data):
    return [json.loads(line) for line in data.decode().splitlines()]


def test_a_flood_of_lines_is_limited_and_the_omitted_are_counted(monkeypatch):
    # An overload: 500 requests are answered and 500 refused within one second, which
    # exceeds both limits.
    reader, writer = os.pipe()
    seconds = [100.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: seconds[0])
    handler = logs.LogHandler(logs.NonBlockingWriter(writer), "INFO")
    log = logbook.Logger("entry")
    with handler.applicationbound():
        for i in range(500):
            log.info("answered", request=str(i))
            log.warning("answered_ourselves", request=str(i))
        seconds[0] += 1
        log.info("answered", request="last")
    found = lines_of(os.read(reader, 1 << 20))
    events = [line["event"] for line in found]
    assert events.count("answered") == logs.INFO_PER_S + 1
    assert events.count("answered_ourselves") == logs.FAILURE_PER_S
    lost = next(line for line in found if line["event"] == "lines_lost")
    assert lost["omitted"]["answered"] == 500 - logs.INFO_PER_S


def test_a_reader_that_stopped_reading_does_not_block_the_process():
    # Guards against a process that hangs while it serves: the reader of its output
    # stops reading, the pipe fills up, and the next log line blocks.
    reader, writer = os.pipe()
    output = logs.NonBlockingWriter(writer)
    line = b"x" * 999 + b"\n"
    for _ in range(2000):
        output.write(line)
    assert output.dropped > 1000
    assert len(output.buffer) <= logs.BUFFER_BYTES
    read = 0
    while read < 2000 * len(line) and (output.buffer or read == 0):
        read += len(os.read(reader, 1 << 16))
        output.flush()
    assert not output.buffer


def test_a_reader_that_is_gone_does_not_end_the_process():
    reader, writer = os.pipe()
    os.close(reader)
    output = logs.NonBlockingWriter(writer)
    output.write(b"line\n")
    assert output.dropped == 1


def test_every_field_of_every_line_is_documented():
    folder = pathlib.Path(dunlinpoint.__file__).parent
    unnamed = []
    for path in folder.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            func = node.func
            if isinstance(func, ast.Attribute) and func.attr in LEVELS:
                names = [k.arg for k in node.keywords if k.arg]
                unnamed += [(path.name, n) for n in names if n not in logs.FIELDS]
    assert unnamed == []


def test_counters_and_histograms_are_served_as_text():
    counters = metrics.Counters(None)
    counters.refused("no_room")
    counters.observe_ms("first_event", 130)
    counters.set_level("retry_credit.s", 7.5)
    text = counters.render().decode()
    assert 'dunlinpoint_events_total{name="refused.no_room"} 1.0' in text
    assert 'dunlinpoint_first_event_ms_bucket{le="200.0"} 1.0' in text
    assert 'dunlinpoint_level{name="retry_credit.s"} 7.5' in text
