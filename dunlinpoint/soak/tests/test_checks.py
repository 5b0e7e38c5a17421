"""The soak's checks see what they are there for."""

import pytest

from dunlinpoint.soak import callers, checks, notices, servers, world

ENTRY = "entry-0"


def played(stopped_s=(), disturbed_s=()):
    """A world with one entry, as it is after its processes were ended."""
    found = world.World("", 1)
    found.entries = [world.Node(ENTRY, "h", "r", {}, "")]
    found.entries[0].stopped_s = list(stopped_s)
    found.entries[0].disturbed_s = list(disturbed_s)
    found.entries[0].end()
    return found


def seen(kind="/often/", status=0, whole=False, body=b"", mark=None):
    return callers.Seen("r", kind, ENTRY, 1, 10.0, 12.0, status, mark, body, whole)


def ran(at_s=10.5, mood="serve", server_id="i-0"):
    return servers.Run(server_id, "r", at_s, mood)


def broken(found, requests=(), operator=None):
    operator = operator or callers.Operator(found, None)
    return checks.broken(found, list(requests), operator)


def test_a_request_cut_by_the_first_of_two_stops_is_seen():
    # Symptom: a soak that passes whatever happens. Sequence: an entry is
    # stopped twice, the first stop cuts a request. Cause: only the last stop
    # of a process was kept.
    found = played(stopped_s=[11.0, 15.0])
    found.runs = [ran()]
    assert len(broken(found, [seen()])) == 1


@pytest.mark.parametrize("mood", sorted(checks.BROKE_OFF))
def test_what_a_back_end_broke_off_is_not_the_stops_fault(mood):
    found = played(stopped_s=[11.0])
    found.runs = [ran(mood=mood)]
    assert broken(found, [seen()]) == []


def drained(found, at_s=20.0):
    operator = callers.Operator(found, None)
    operator.drained = [callers.Drained("i-0", at_s)]
    return operator


def test_new_work_at_a_back_end_that_leaves_is_seen():
    # Symptom as above. Sequence: a back end leaves and goes on getting
    # requests; the run ends. Cause: ending the processes counted as a fault,
    # and a fault excuses late requests.
    found = played()
    found.runs = [ran(at_s=20.0 + checks.DRAIN_S + 1)]
    assert len(broken(found, operator=drained(found))) == 1


def test_a_disturbed_process_may_hear_of_it_later():
    found = played(disturbed_s=[21.0])
    found.runs = [ran(at_s=20.0 + checks.DRAIN_S + 1)]
    assert broken(found, operator=drained(found)) == []


def test_foreign_answers_second_runs_and_false_refusals_are_seen():
    found = played()
    found.runs = [ran(), ran()]
    assert len(broken(found, [seen("/once/", 503, True)])) == 1
    found.runs = [ran()]
    assert len(broken(found, [seen("/once/", 503, True)])) == 1
    foreign = seen("/often/", 200, True, servers.body_of("other"), "i-0")
    assert len(broken(found, [foreign])) == 1


def test_a_document_older_than_an_acknowledged_one_is_seen():
    found = played()
    operator = callers.Operator(found, None)
    operator.acked = [callers.Acked(5, 10.0)]
    operator.reads = [callers.Read(4, 10.0 + checks.IN_FORCE_S + 1, "control-0")]
    assert len(broken(found, operator=operator)) == 1


def heeded(kind, times_s, disturbed_s=(), said_s=10.0):
    """What is found where one entry's requests came at *times_s* after being told."""
    found = played(disturbed_s=disturbed_s)
    arrivals = [notices.Arrival("i-0", "r", said_s, kind)]
    said = kind if kind == notices.LIMIT else None
    arrivals += [notices.Arrival("i-0", "r", at_s, said) for at_s in times_s]
    found.arrivals = arrivals
    return notices.broken(found, [seen()])


OVER = {
    notices.LIMIT: [11.0 + i / 10 for i in range(18)],
    notices.REST: [10.6, 11.0, 11.9],
    notices.LEAVING: [12.6],
}
ALLOWED = {
    notices.LIMIT: [11.0 + i / 10 for i in range(17)],
    notices.REST: [10.4, 10.6, 11.9, 12.1],
    notices.LEAVING: [10.1, 12.4],
}


@pytest.mark.parametrize("kind", sorted(OVER))
def test_what_a_back_end_said_in_vain_is_seen(kind):
    # Guards against a soak that passes whatever entries do with it.
    assert len(heeded(kind, OVER[kind])) == 1
    assert heeded(kind, OVER[kind], disturbed_s=[10.5]) == []
    assert heeded(kind, ALLOWED[kind]) == []
