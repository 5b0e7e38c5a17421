"""The soak test's checks detect each violation."""

import pytest

from dunlinpoint.soak import (
    callers,
    checks,
    cluster,
    cold,
    evacuations,
    faults,
    servers,
    signals,
)
from dunlinpoint.standins import cold as cold_starts

ENTRY = "entry-0"


def finished_cluster(stopped_s=(), disturbed_s=()):
    """A cluster with one entry, after its processes were stopped."""
    finished = cluster.Cluster("", 1)
    finished.entries = [cluster.Node(ENTRY, "h", "r", {}, "")]
    finished.entries[0].stopped_s = list(stopped_s)
    finished.entries[0].disturbed_s = list(disturbed_s)
    finished.entries[0].kill()
    return finished


def result(kind="/often/", status=0, is_complete=False, body=b"", signature=None):
    return callers.RequestResult(
        "r", kind, ENTRY, 1, 10.0, 12.0, status, signature, body, is_complete
    )


def execution(at_s=10.5, response_mode="serve", server_id="i-0"):
    return servers.Execution(server_id, "r", at_s, response_mode)


def violations(finished, requests=(), operator=None):
    operator = operator or callers.Operator(finished, None)
    return checks.violations(finished, list(requests), operator)


def test_a_request_interrupted_by_the_first_of_two_stops_is_detected():
    # Guards against a soak test that always passes: an entry is stopped twice and the
    # first stop interrupts a request, but only the last stop was recorded.
    finished = finished_cluster(stopped_s=[11.0, 15.0])
    finished.executions = [execution()]
    assert len(violations(finished, [result()])) == 1


@pytest.mark.parametrize("response_mode", sorted(checks.TRUNCATING_MODES))
def test_an_answer_truncated_by_a_backend_is_not_blamed_on_the_stop(response_mode):
    finished = finished_cluster(stopped_s=[11.0])
    finished.executions = [execution(response_mode=response_mode)]
    assert violations(finished, [result()]) == []


def drained(finished, at_s=20.0):
    operator = callers.Operator(finished, None)
    operator.drained = [callers.DrainedBackend("i-0", at_s)]
    return operator


def test_new_requests_at_a_draining_backend_are_detected():
    # Guards against a soak test that always passes: a draining backend still gets
    # requests, but stopping the processes at the end of the run counted as a fault,
    # and a fault exempts late requests.
    finished = finished_cluster()
    finished.executions = [execution(at_s=20.0 + checks.DRAIN_GRACE_S + 1)]
    assert len(violations(finished, operator=drained(finished))) == 1


def test_a_disturbed_process_may_learn_of_the_drain_later():
    finished = finished_cluster(disturbed_s=[21.0])
    finished.executions = [execution(at_s=20.0 + checks.DRAIN_GRACE_S + 1)]
    assert violations(finished, operator=drained(finished)) == []


def test_foreign_answers_second_executions_and_false_refusals_are_detected():
    finished = finished_cluster()
    finished.executions = [execution(), execution()]
    assert len(violations(finished, [result("/once/", 503, True)])) == 1
    finished.executions = [execution()]
    assert len(violations(finished, [result("/once/", 503, True)])) == 1
    foreign = result("/often/", 200, True, servers.body_of("other"), "i-0")
    assert len(violations(finished, [foreign])) == 1


def test_a_document_older_than_an_acknowledged_one_is_detected():
    finished = finished_cluster()
    operator = callers.Operator(finished, None)
    operator.acknowledged = [callers.AcknowledgedDocument(5, 10.0)]
    operator.reads = [
        callers.DocumentRead(4, 10.0 + checks.IN_FORCE_BOUND_S + 1, "control-0")
    ]
    assert len(violations(finished, operator=operator)) == 1


def signal_violations(kind, times_s, disturbed_s=(), signalled_s=10.0):
    """Violations if one entry's requests arrive at *times_s* after the signal."""
    finished = finished_cluster(disturbed_s=disturbed_s)
    arrivals = [signals.Arrival("i-0", "r", signalled_s, kind)]
    signal = kind if kind == signals.RATE_LIMIT else None
    arrivals += [signals.Arrival("i-0", "r", at_s, signal) for at_s in times_s]
    finished.arrivals = arrivals
    return signals.violations(finished, [result()])


VIOLATING = {
    signals.RATE_LIMIT: [11.0 + i / 10 for i in range(18)],
    signals.BACKOFF: [10.6, 11.0, 11.9],
    signals.DRAINING: [12.6],
}
ALLOWED = {
    signals.RATE_LIMIT: [11.0 + i / 10 for i in range(17)],
    signals.BACKOFF: [10.4, 10.6, 11.9, 12.1],
    signals.DRAINING: [10.1, 12.4],
}


@pytest.mark.parametrize("kind", sorted(VIOLATING))
def test_ignored_signals_are_detected(kind):
    # Guards against a soak test that passes although entries ignore the signals.
    assert len(signal_violations(kind, VIOLATING[kind])) == 1
    assert signal_violations(kind, VIOLATING[kind], disturbed_s=[10.5]) == []
    assert signal_violations(kind, ALLOWED[kind]) == []


def cold_violations(count, disturbed_s=(), link_faults_s=(), reported_s=(10.1,)):
    """Violations if *count* requests reach a cold backend from 12.0 s on."""
    finished = finished_cluster(disturbed_s=disturbed_s)
    period = cold_starts.ColdPeriod(10.0, 14.0)
    start = cold_starts.ColdStart([period], {period: list(reported_s)})
    finished.backends = [servers.Backend("i-0", "desk", None, [], cold=start)]
    finished.link_faults_s_by_id = {"i-0": list(link_faults_s)}
    finished.arrivals = [
        signals.Arrival("i-0", "r", 12.0 + i / 20, None) for i in range(count)
    ]
    return cold.violations(finished, [result()])


def test_too_many_requests_to_a_cold_backend_are_detected():
    # Guards against a soak test that passes although cold backends would crash.
    assert len(cold_violations(9)) == 1
    assert cold_violations(8) == []
    assert cold_violations(9, disturbed_s=[11.5]) == []
    assert cold_violations(9, link_faults_s=[11.5]) == []
    assert cold_violations(9, reported_s=[13.5]) == []


def evacuation_violations(at_s, server_id="i-3", revoked_s=30.0, disturbed_s=()):
    """Violations if a request arrives at *at_s*; acknowledged at 10.0."""
    finished = finished_cluster(disturbed_s=disturbed_s)
    finished.controls = [cluster.Node("control-0", "h", "r", {}, "")]
    finished.arrivals = [signals.Arrival(server_id, "r", at_s, None)]
    began = evacuations.AcknowledgedEvacuation(cluster.SMALL_ZONE, 10.0, revoked_s)
    return evacuations.violations(finished, [result()], [began])


def test_requests_at_an_evacuated_zone_are_detected():
    # Guards against a soak test that passes although entries ignore an evacuation.
    late_s = 10.0 + evacuations.IN_FORCE_BOUND_S + 1
    assert len(evacuation_violations(late_s)) == 1
    assert len(evacuation_violations(late_s, revoked_s=None)) == 1
    assert evacuation_violations(late_s, "i-0") == []
    assert evacuation_violations(late_s, revoked_s=late_s - 0.5) == []
    assert evacuation_violations(late_s, disturbed_s=[late_s - 1]) == []
    assert evacuation_violations(late_s - 2) == []


def test_an_evacuation_leaves_the_other_faults_of_a_seed_as_they_are():
    # Guards against seeds that failed once and no longer play their faults.
    planned = faults.schedule(11)
    assert [f.kind for f in planned].count(evacuations.KIND) == 1
    others = [f for f in planned if f.kind != evacuations.KIND]
    assert others == faults.schedule(11, with_evacuation=False)


def test_a_large_stream_with_a_gap_is_detected():
    # Guards against a soak test that does not look at callers that read slowly: bytes
    # that waited for one of them are lost or reach another.
    finished = finished_cluster()
    path_prefix = servers.LARGE_STREAM_PREFIX
    whole = servers.stream_of(path_prefix, "r")
    first = servers.large_event("r", 1)
    for body, complete, expected in (
        (whole, True, 0),
        (first, False, 0),
        (first, True, 1),
        (whole[len(first) :], False, 1),
    ):
        found = result(path_prefix, 200, complete, body, "i-0")
        assert len(violations(finished, [found])) == expected


@pytest.mark.parametrize("marks_end", [True, False])
@pytest.mark.parametrize("stopped_s", [(), (11.0,)])
def test_a_whole_answer_that_looks_broken_is_detected(stopped_s, marks_end):
    # Guards against a soak test that accepts whole streams without a last chunk, calm
    # or around a planned stop, because their endpoint did not mark the end.
    whole = servers.stream_of("/stream/", "r")
    broken = result("/stream/", 200, False, whole, "i-0")

    def count(request=broken, crashed_s=(), link_faults_s=(), disturbed_s=()):
        finished = finished_cluster(stopped_s, [*stopped_s, *disturbed_s])
        run = servers.Execution("i-0", "r", 10.5, "serve", marks_end, is_whole=True)
        finished.executions = [run]
        finished.backends = [servers.Backend("i-0", "desk", None, [])]
        finished.backends[0].crashed_s = list(crashed_s)
        finished.link_faults_s_by_id = {"i-0": list(link_faults_s)}
        finished.link_faults_s = list(link_faults_s)
        return len(violations(finished, [request]))

    assert count() == 1 + len(stopped_s)
    assert count(crashed_s=[9.0]) == 1 + len(stopped_s)
    assert count(crashed_s=[10.7]) == 0
    assert count(link_faults_s=[9.0]) == 0
    assert count(disturbed_s=[10.7]) == len(stopped_s)
    assert count(result("/stream/", 200, True, whole, "i-0")) == 0


def test_a_part_that_looks_complete_is_detected():
    # Guards against a soak test that accepts the part of a crashed backend.
    for path_prefix, whole in (
        ("/stream/", servers.stream_of("/stream/", "r")),
        ("/often/", servers.body_of("r")),
    ):
        part = whole[: len(whole) // 2]
        found = violations(
            finished_cluster(), [result(path_prefix, 200, True, part, "i-0")]
        )
        assert len(found) == 1


def test_crashes_leave_the_other_faults_of_a_seed_as_they_are():
    planned = faults.schedule(11)
    others = [f for f in planned if f.kind != faults.CRASH_KIND]
    assert len(planned) - len(others) == len(faults.CRASH_RANGES_S)
    assert others == faults.schedule(11, with_crashes=False)


def test_a_stream_with_a_short_deadline_is_not_blamed_on_the_stop():
    # Guards against a soak test that blames an entry for a stream whose deadline comes
    # before its end, and against one that accepts the part as whole.
    part = servers.event("r", 1)
    for is_complete, count in ((False, 0), (True, 1)):
        request = result("/stream/", 200, is_complete, part, "i-0")
        request.deadline_ms = servers.STREAM_MS - 1
        finished = finished_cluster(stopped_s=[11.0])
        finished.executions = [execution()]
        assert len(violations(finished, [request])) == count
