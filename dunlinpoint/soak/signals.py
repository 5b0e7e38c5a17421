"""Backends that send load signals for a period, and a check that entries comply.

One backend sends a rate limit, one refuses every request with Retry-After, and one
signals that it is draining; each starts at its own time. An arrival is checked only
if neither its entry nor the link to the backend was disturbed since the entry
received the signal.
"""

import random

import attrs

RATE_LIMIT, BACKOFF, DRAINING = "limit", "rest", "leaving"
RATE_LIMIT_PER_S = 2.0
BACKOFF_S = 2.0
SIGNAL_HEADERS = {
    RATE_LIMIT: {"Server-Limit": str(RATE_LIMIT_PER_S)},
    BACKOFF: {"Retry-After": str(BACKOFF_S)},
    DRAINING: {"Server-Leaving": "1"},
}
START_DELAY_RANGE_S = (0.0, 4.0)
SIGNAL_DURATION_S = 8.0
# Requests sent before the entry received the signal may still arrive this long after.
MAX_IN_FLIGHT_S = 0.5
RATE_WINDOW_S = 4.0
DRAIN_GRACE_S = 2.5
# Requests that an entry may still send to a backend during its backoff.
MAX_REQUESTS_DURING_BACKOFF = 2
# A limited backend may receive the limit times this factor, plus the allowance.
RATE_LIMIT_TOLERANCE = 1.5
RATE_LIMIT_ALLOWANCE = 5
# The longest time that a link fault may hold a request or an answer.
MAX_LINK_HOLD_S = 4.0


@attrs.frozen
class SignalPeriod:
    """The signal that a backend sends from *start_s* to *end_s* (monotonic time)."""

    kind: str
    start_s: float
    end_s: float


@attrs.frozen
class Arrival:
    """A request that reached a backend, and the signal it was answered with."""

    server_id: str
    request_id: str
    at_s: float
    signal: str | None


def assign_signal_periods(seed, backends, now_s):
    """Give one signal each to three backends, drawn by *seed*; start after *now_s*."""
    rng = random.Random(f"notices {seed}")
    for kind, backend in zip(
        (RATE_LIMIT, BACKOFF, DRAINING), rng.sample(backends, 3), strict=True
    ):
        start_s = now_s + rng.uniform(*START_DELAY_RANGE_S)
        backend.signal_period = SignalPeriod(kind, start_s, start_s + SIGNAL_DURATION_S)


def violations(cluster, results):
    """One line for each signal that an entry did not comply with."""
    entry_by_request = {request.request_id: request.entry for request in results}
    arrivals_by_path = {}
    for arrival in sorted(cluster.arrivals, key=lambda a: a.at_s):
        entry = entry_by_request.get(arrival.request_id)
        if entry is not None:
            arrivals_by_path.setdefault((arrival.server_id, entry), []).append(arrival)
    found, informed_arrivals_s = [], {}
    for (server_id, entry), arrivals in arrivals_by_path.items():
        is_undisturbed = undisturbed_check(cluster, server_id, entry)
        found += _check_backoff(server_id, entry, arrivals, is_undisturbed)
        found += _check_draining(server_id, entry, arrivals, is_undisturbed)
        informed_arrivals_s.setdefault(server_id, []).extend(
            _informed_arrivals_s(arrivals, is_undisturbed)
        )
    for server_id, times_s in informed_arrivals_s.items():
        found += _check_rate_limit(server_id, sorted(times_s))
    return found


def undisturbed_check(cluster, server_id, entry):
    """A function that tells whether no fault touched an entry or its link."""
    node = next(n for n in cluster.entries if n.name == entry)
    link_faults_s = cluster.link_faults_s_by_id.get(server_id, [])

    def is_undisturbed(first_s, last_s):
        """Whether no fault touched entry or link between the two times."""
        delayed = any(
            first_s - MAX_LINK_HOLD_S <= at_s <= last_s for at_s in link_faults_s
        )
        return not delayed and not any(
            first_s <= at_s <= last_s for at_s in node.disturbed_s
        )

    return is_undisturbed


def _signalled_s(arrivals, kind):
    return [arrival.at_s for arrival in arrivals if arrival.signal == kind]


def _check_backoff(server_id, entry, arrivals, is_undisturbed):
    for signalled_s in _signalled_s(arrivals, BACKOFF):
        end_s = signalled_s + BACKOFF_S
        late = [a for a in arrivals if signalled_s + MAX_IN_FLIGHT_S < a.at_s < end_s]
        if len(late) > MAX_REQUESTS_DURING_BACKOFF and is_undisturbed(
            signalled_s, end_s
        ):
            return [f"{server_id} got {len(late)} requests from {entry} during backoff"]
    return []


def _check_draining(server_id, entry, arrivals, is_undisturbed):
    signalled_s = _signalled_s(arrivals, DRAINING)
    if not signalled_s:
        return []
    late = [
        a
        for a in arrivals
        if a.at_s > signalled_s[0] + DRAIN_GRACE_S
        and is_undisturbed(signalled_s[0], a.at_s)
    ]
    if late:
        return [f"{server_id} got {len(late)} requests from {entry} while draining"]
    return []


def _informed_arrivals_s(arrivals, is_undisturbed):
    """Arrival times under the limit from an entry that had received the limit."""
    signalled_s = _signalled_s(arrivals, RATE_LIMIT)
    return [
        at_s
        for at_s in signalled_s
        if at_s > signalled_s[0] + MAX_IN_FLIGHT_S
        and is_undisturbed(signalled_s[0], at_s)
    ]


def _check_rate_limit(server_id, times_s):
    allowed = (
        RATE_LIMIT_TOLERANCE * RATE_LIMIT_PER_S * RATE_WINDOW_S + RATE_LIMIT_ALLOWANCE
    )
    for first_s in times_s:
        count = sum(first_s <= at_s < first_s + RATE_WINDOW_S for at_s in times_s)
        if count > allowed:
            return [f"{server_id} sent a rate limit and got {count} requests in 4 s"]
    return []
