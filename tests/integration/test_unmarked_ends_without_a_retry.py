"""Unmarked ends of resumable streams where another endpoint may be asked, but is not.

Either nobody else runs, the budget of the entry has no retry left, or the entry stops.
Endpoints are processes of their own, callers raw sockets.
"""

import concurrent.futures
import contextlib
import itertools
import signal
import threading
import time

import pytest

from dunlinpoint.lab import deploy
from tests.integration import endpoint_process, platform_lab, waits
from tests.integration import test_close_delimited_ends as ends
from tests.integration import test_streams_and_the_entry as streams
from tests.integration import test_unmarked_ends as unmarked

FRAMINGS = ("none", "close")
RESUMABLE, ONCE_STREAM = ends.RESUMABLE, ends.ONCE_STREAM
# A new entry has no part of the slack, and so no retry at all.
NO_RETRIES = {"retry_ratio": 1e-9, "retry_slack": 8, "zones": '{"z1": "region"}'}
# While the answer to a request is under way.
UNDER_WAY_S = 2 * endpoint_process.EVENT_INTERVAL_S
DEREGISTERED_AFTER_S = 0.1
ALONE, DENIED, STOPPING = "alone", "denied", "stopping"
# Why nobody else is asked, as it is logged.
NOT_ASKED = {ALONE: "no_endpoint", DENIED: "budget"}

endpoints = ends.endpoints
three_endpoints = ends.three_endpoints


@contextlib.contextmanager
def entry_of(endpoints, why):
    """An entry that asks nobody else, for the reason *why*."""
    if why == ALONE:
        yield endpoints.platform
        return
    settings = NO_RETRIES if why == DENIED else {}
    with ends.another_entry(endpoints.platform, **settings) as platform:
        path = ends.whole(ends.IDEMPOTENT, "length")
        waits.wait_for(lambda: ends.call(platform, path).status == 200)
        yield platform


def lines_of(platform, received):
    """What is logged of the unmarked ends of the request that *received* answers."""
    lines = streams.logged(platform, "unmarked_end")
    return [line for line in lines if line["request"] == received.attempt]


def runner(endpoints):
    """The id of the endpoint that began the last run."""
    return (endpoints.folder / "runs").read_text().splitlines()[-1].split()[0]


def leave(endpoints, endpoint_id):
    """Announce that an endpoint leaves, and its end once it listens no more."""
    endpoints.state_by_id[endpoint_id] = "draining"
    port = endpoints.port_by_id[endpoint_id]
    waits.wait_for(lambda: not deploy.listening(port), every_s=0.01)
    endpoints.state_by_id[endpoint_id] = None
    time.sleep(DEREGISTERED_AFTER_S)
    endpoints.deregister(endpoint_id)


def play(endpoints, why, path, while_running=lambda endpoint_id: None):
    """What the caller of *path* gets at an entry that asks nobody else.

    *while_running* is called with the id of the endpoint that answers.
    """
    with (
        entry_of(endpoints, why) as platform,
        concurrent.futures.ThreadPoolExecutor(1) as pool,
    ):
        calling = pool.submit(ends.call, platform, path)
        time.sleep(UNDER_WAY_S)
        answering = runner(endpoints)
        if why == ALONE:
            for other in set(endpoints.running()) - {answering}:
                endpoints.process_by_id[other].kill()
        if why == STOPPING:
            platform.entry.send_signal(signal.SIGTERM)
        threading.Thread(target=while_running, args=[answering]).start()
        received = calling.result()
        if why == STOPPING:
            assert platform.entry.wait(platform_lab.GRACE_S) == 0
        return received


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("why", [ALONE, DENIED, STOPPING])
@pytest.mark.parametrize("prefix", [RESUMABLE, ONCE_STREAM])
def test_a_part_of_an_endpoint_that_stops_never_looks_whole(
    endpoints, prefix, why, framing
):
    # Failure: an endpoint cuts its streams in order and stops a moment later. It is not
    # checked a second time, as another one may be asked, but none is.
    path = ends.faulty(prefix, framing, "stops")
    received = play(endpoints, why, path)
    if prefix == RESUMABLE and why == STOPPING:
        unmarked.assert_complete(received, ends.ALL_EVENTS)
    else:
        part = endpoint_process.events(1, ends.CUT_EVENTS)
        unmarked.assert_incomplete(received, part)
        *_, line = lines_of(endpoints.platform, received)
        assert line["checks"] == ["first", "second"]
        assert line["not_asked"] == (NOT_ASKED[why] if prefix == RESUMABLE else "route")


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("why", [ALONE, DENIED, STOPPING])
@pytest.mark.parametrize("prefix", [RESUMABLE, ONCE_STREAM])
@pytest.mark.parametrize("fault", ["leaves", "stops"])
def test_a_whole_stream_of_an_endpoint_that_leaves_is_whole(
    endpoints, fault, prefix, why, framing
):
    # Failure: an endpoint that leaves ends its last stream and then announces its end,
    # which is not waited for, as another one may be asked, or as it still answered a
    # first check.
    path = ends.faulty(prefix, framing, fault, is_part=False)
    received = play(endpoints, why, path, lambda found: leave(endpoints, found))
    unmarked.assert_complete(received, ends.ALL_EVENTS)


@pytest.mark.parametrize("why", [ALONE, DENIED, STOPPING])
@pytest.mark.parametrize(
    "prefix, fault",
    list(itertools.product([RESUMABLE, ONCE_STREAM], ["whole", "closes"])),
)
def test_the_end_of_a_stream_of_an_endpoint_that_lives_on_is_passed_on(
    endpoints, prefix, fault, why
):
    # Failure: a whole stream is taken for a part, as nobody else can be asked. An
    # endpoint that lives on has by the protocol ended its answer.
    path = ends.faulty(prefix, "close", fault, is_part=fault == "closes")
    received = play(endpoints, why, path)
    is_part = fault == "closes" and (prefix, why) != (RESUMABLE, STOPPING)
    count = ends.CUT_EVENTS if is_part else endpoint_process.EVENT_COUNT
    unmarked.assert_complete(received, endpoint_process.events(1, count))
