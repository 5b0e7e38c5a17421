"""Parts of answers, however their endpoint goes, and rests that bring nothing.

Each case has a service with three endpoints of its own, which are processes of an
:mod:`~tests.integration.endpoint_host`. The cases of one way to go run at once. Callers
are raw sockets of HTTP/1.1.
"""

import concurrent.futures
import contextlib
import itertools
import json
import subprocess
import sys
import time

import attrs
import pytest

from tests.integration import endpoint_process, platform_lab, waits
from tests.integration import test_close_delimited_ends as ends
from tests.integration import test_unmarked_ends as unmarked

# What the endpoint does after a part of its answer, and what follows at its port if its
# process ends by that.
WAYS = {
    "killed": ("crash", "closed"),
    "reset": ("resets", "closed"),
    "taken": ("crash", "taken"),
    "held-60": ("crash", "held-60"),
    "held-200": ("crash", "held-200"),
    "handed-on": ("crash", "handed-on"),
    "full": ("crash", "full"),
    "stops": ("stops", "closed"),
    "closes": ("closes", "closed"),
}
# By the protocol, an endpoint that lives and closes in order has ended its answer; only
# a second run shows that it is a part.
VISIBLE_WAYS = [way for way in WAYS if way != "closes"]
ENDED_WAYS = [way for way, (fault, _) in WAYS.items() if fault == "crash"]
FRAMINGS = ("none", "close")
RESUMABLE, ONCE_STREAM, IDEMPOTENT, ONCE = "resumable", "once-stream", "often", "once"
ROUTE_KINDS = {
    RESUMABLE: "streaming",
    ONCE_STREAM: "streaming",
    IDEMPOTENT: "idempotent",
    ONCE: "non_idempotent",
}
# How a second run without an event ends.
EMPTY_ENDS = ("chunks", "length", "none", "close")
# A comment in chunks, which is no event either.
COMMENT = "comment"
RESET_EVENTS = 3
CONFIG_VERSION = 4


@attrs.frozen
class Case:
    """One request: its service, the last segment of its path, and its route.

    A route of *attempts* may be sent to so many endpoints.
    """

    service: str
    kind: str
    answer: str
    attempts: int = 2

    def routes(self):
        """The case's route, and one by which the service is found ready."""
        own = platform_lab.route(f"/{self.service}/", ROUTE_KINDS[self.kind])
        ready = platform_lab.route(f"/{self.service}-ready/", "idempotent")
        return [
            own
            | {
                "service": self.service,
                "resumable": self.kind == RESUMABLE,
                "maxAttempts": self.attempts,
            },
            ready | {"service": self.service},
        ]


def case_of(way, kind, framing):
    """The case of an endpoint that goes in *way* after a part of an answer."""
    fault, _ = WAYS[way]
    is_stream = kind in (RESUMABLE, ONCE_STREAM)
    part = f"stream_{framing}_{ends.CUT_EVENTS}"
    if not is_stream:
        part = f"plain_{framing}_{ends.CUT_BYTES}"
    return Case(f"{way}-{kind}-{framing}", kind, f"{part}_{fault}")


def empty_case(end, attempts):
    """The case of a second run without an event, after a reset within chunks."""
    answer = f"stream_chunks_{RESET_EVENTS}_empty-{end}"
    return Case(f"empty-{end}-{attempts}", RESUMABLE, answer, attempts)


def unsent_case(end, attempts):
    """The case of a second run without an event, after a reset before the first one."""
    answer = f"stream_chunks_0_empty-{end}"
    return Case(f"unsent-{end}-{attempts}", RESUMABLE, answer, attempts)


def killed_case(end, framing):
    """The case of a second run without an event, after the end of a process."""
    answer = f"stream_{framing}_{ends.CUT_EVENTS}_crash-empty-{end}"
    return Case(f"killed-empty-{framing}-{end}", RESUMABLE, answer)


def twice_case(end):
    """The case of two runs without an event, after a reset within chunks."""
    answer = f"stream_chunks_{RESET_EVENTS}_all-empty-{end}"
    return Case(f"twice-empty-{end}", RESUMABLE, answer, attempts=3)


CASES_BY_WAY = {
    way: [case_of(way, *args) for args in itertools.product(ROUTE_KINDS, FRAMINGS)]
    for way in WAYS
}
EMPTY, KILLED_EMPTY, TWICE_EMPTY = "empty", "killed-empty", "twice-empty"
CASES_BY_WAY[EMPTY] = [
    case(end, attempts)
    for case in (empty_case, unsent_case)
    for end, attempts in itertools.product(EMPTY_ENDS, (2, 3))
]
CASES_BY_WAY[KILLED_EMPTY] = [
    killed_case(*args) for args in itertools.product(EMPTY_ENDS, FRAMINGS)
]
COMMENTED = killed_case(COMMENT, "none")
CASES_BY_WAY[KILLED_EMPTY].append(COMMENTED)
# A stream of which only the mark of the end is missing.
UNENDED = Case(
    "unended", RESUMABLE, f"stream_chunks_{endpoint_process.EVENT_COUNT}_resets", 3
)
CASES_BY_WAY[TWICE_EMPTY] = [*map(twice_case, EMPTY_ENDS), UNENDED]


def add_services(platform):
    """Send the document with a service for each case."""
    cases = list(itertools.chain(*CASES_BY_WAY.values()))
    doc = platform_lab.document(CONFIG_VERSION)
    service = doc["services"][0] | {"maxConns": 99}
    doc["services"] += [service | {"name": case.service} for case in cases]
    doc["routes"] += itertools.chain(*(case.routes() for case in cases))
    status, text = platform.admin("POST", "/api/config/replace", json.dumps(doc))
    assert status == 200, text


@contextlib.contextmanager
def host(platform, aftermath, services):
    """Run the endpoints of *services* on a host."""
    module, port = "tests.integration.endpoint_host", str(platform.admin_port)
    argv = [sys.executable, "-m", module, aftermath, port, platform.folder, *services]
    process = subprocess.Popen(argv)
    try:
        yield
    finally:
        process.terminate()
        process.wait(10)


@attrs.define
class Plays:
    """What the callers of all cases get, which are played one way after the other.

    ``played`` holds the answer of each case, and the ids of the endpoints that ran it.
    """

    platform: platform_lab.Platform
    played: dict = attrs.field(factory=dict)

    def of(self, way, case):
        if case not in self.played:
            self._play(way)
        return self.played[case]

    def _play(self, way):
        _, aftermath = WAYS.get(way, (None, "closed"))
        cases = CASES_BY_WAY[way]
        services = [case.service for case in cases]
        with (
            host(self.platform, aftermath, services),
            concurrent.futures.ThreadPoolExecutor(len(cases)) as pool,
        ):
            list(pool.map(self._wait_until_ready, services))
            time.sleep(2 * ends.RETRY_WINDOW_S)
            self.played |= zip(cases, pool.map(self._call, cases), strict=True)

    def _wait_until_ready(self, service):
        def reaches_two():
            path = f"/{service}-ready/plain_length_1_unsigned"
            received = ends.call(self.platform, path)
            return len(set(self._runs(received))) == 2

        waits.wait_for(reaches_two)

    def _call(self, case):
        received = ends.call(self.platform, f"/{case.service}/{case.answer}")
        return received, self._runs(received)

    def _runs(self, received):
        lines = (self.platform.folder / "runs").read_text().splitlines()
        pairs = [line.split() for line in lines]
        return [endpoint_id for endpoint_id, ran in pairs if ran == received.attempt]


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    folder = tmp_path_factory.mktemp("parts-of-streams")
    (folder / "runs").touch()
    for platform in platform_lab.run(folder, retry_window_s=ends.RETRY_WINDOW_S):
        add_services(platform)
        yield Plays(platform)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("way", WAYS)
def test_the_rest_of_a_part_is_asked_for(plays, way, framing):
    # Failure: the caller gets a part of a stream as the whole, though another endpoint
    # would have sent the rest.
    received, ran = plays.of(way, case_of(way, RESUMABLE, framing))
    unmarked.assert_complete(received, ends.ALL_EVENTS)
    assert len(ran) == len(set(ran)) == 2, ran


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("way", VISIBLE_WAYS)
def test_a_part_of_a_stream_that_may_run_once_never_looks_whole(plays, way, framing):
    # Failure: the caller gets what an endpoint sent before it went as the whole stream,
    # or the request runs twice.
    received, ran = plays.of(way, case_of(way, ONCE_STREAM, framing))
    unmarked.assert_incomplete(received, endpoint_process.events(1, ends.CUT_EVENTS))
    assert len(ran) == 1, ran


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("way", ENDED_WAYS)
def test_a_part_of_a_plain_answer_is_asked_for_again(plays, way, framing):
    # Failure: the caller gets a part of an answer or a 502, though another endpoint
    # would have sent the whole.
    received, ran = plays.of(way, case_of(way, IDEMPOTENT, framing))
    ends.assert_whole(received, ends.IDEMPOTENT)
    assert len(ran) == len(set(ran)) == 2, ran


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("way", ENDED_WAYS)
def test_a_part_of_a_plain_answer_never_looks_whole(plays, way, framing):
    # Failure: the caller gets what an endpoint sent before it went as its answer, or
    # the request runs twice.
    received, ran = plays.of(way, case_of(way, ONCE, framing))
    assert received.status != 200 or not ends.looks_complete(received), received
    assert len(ran) == 1, ran


@pytest.mark.parametrize("end", EMPTY_ENDS)
def test_a_rest_without_an_event_does_not_end_a_part(plays, end):
    # Failure: a stream that was reset ends as complete, because the endpoint that was
    # asked for the rest sent none.
    received, ran = plays.of(EMPTY, empty_case(end, attempts=2))
    unmarked.assert_incomplete(received, endpoint_process.events(1, RESET_EVENTS))
    assert len(set(ran)) == 2, ran


@pytest.mark.parametrize("end", EMPTY_ENDS)
def test_the_rest_is_asked_for_after_one_without_an_event(plays, end):
    # Failure: the rest of a stream isn't asked for at a third endpoint, though the
    # second one sent none.
    received, ran = plays.of(EMPTY, empty_case(end, attempts=3))
    unmarked.assert_complete(received, ends.ALL_EVENTS)
    assert len(set(ran)) == 3, ran


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", EMPTY_ENDS)
def test_a_rest_without_an_event_does_not_end_a_part_of_a_process(plays, end, framing):
    # Failure: a part of a stream whose endpoint was killed ends as complete, because
    # the endpoint that was asked for the rest sent none.
    received, ran = plays.of(KILLED_EMPTY, killed_case(end, framing))
    unmarked.assert_incomplete(received, endpoint_process.events(1, ends.CUT_EVENTS))
    assert len(ran) == len(set(ran)) == 2, ran


def test_a_rest_of_a_comment_does_not_end_a_part_of_a_process(plays):
    # Failure: the same, where it sent a comment.
    received, ran = plays.of(KILLED_EMPTY, COMMENTED)
    part = endpoint_process.events(1, ends.CUT_EVENTS) + endpoint_process.COMMENT
    unmarked.assert_incomplete(received, part)
    assert len(ran) == len(set(ran)) == 2, ran


@pytest.mark.parametrize("end", EMPTY_ENDS)
def test_two_rests_without_an_event_do_not_end_a_part(plays, end):
    # Failure: a stream that was reset ends as complete, because two endpoints that
    # were asked for the rest failed alike.
    received, ran = plays.of(TWICE_EMPTY, twice_case(end))
    unmarked.assert_incomplete(received, endpoint_process.events(1, RESET_EVENTS))
    assert len(ran) == len(set(ran)) == 3, ran


def test_a_stream_that_lacks_only_its_end_is_completed(plays):
    # Failure: a stream of which the caller has all events breaks off, though two
    # endpoints were asked for the rest and none is left.
    received, ran = plays.of(TWICE_EMPTY, UNENDED)
    unmarked.assert_complete(received, ends.ALL_EVENTS)
    assert len(ran) == len(set(ran)) == 3, ran


@pytest.mark.parametrize("end", EMPTY_ENDS)
def test_a_rest_without_an_event_is_no_answer_if_none_came_before(plays, end):
    # Failure: the caller gets no answer at all, and its request hangs, because the head
    # of an empty run was taken for that of its stream before the run was refused.
    received, ran = plays.of(EMPTY, unsent_case(end, attempts=2))
    unmarked.assert_refused(received)
    assert len(set(ran)) == 2, ran


@pytest.mark.parametrize("end", EMPTY_ENDS)
def test_a_third_run_is_whole_if_the_first_two_sent_no_event(plays, end):
    # Failure: the same, though a third endpoint sends the whole stream.
    received, ran = plays.of(EMPTY, unsent_case(end, attempts=3))
    unmarked.assert_complete(received, ends.ALL_EVENTS)
    assert len(set(ran)) == 3, ran
