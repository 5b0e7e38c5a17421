"""Backends that are cold for a while, and a check that entries keep to their rate.

Two backends are cold when the run begins, and turn cold once more. Arrivals count once
entries can know of the period, from entries and on links without a recent fault.
"""

import random

from dunlinpoint.standins import cold

REQUESTS_PER_S = 4.0
START_S = 3.0
OVERAGE = 1.5
TOLERANCE = 2.0
BACKENDS = 2
AGAIN_RANGE_S = (5.0, 8.0)
AGAIN_DURATION_S = 4.0
# From the acknowledgement of a heartbeat until all entries know its content.
PROPAGATION_S = 1.0
# How long a fault of a control, an entry or a link may affect what arrives.
CONTROL_FAULT_S = 0.5
ENTRY_FAULT_S = 1.0
LINK_FAULT_S = 4.0


def assign_periods(seed, backends, now_s):
    """Make some *backends*, drawn by *seed*, cold at *now_s* and once more later."""
    rng = random.Random(f"cold {seed}")
    for backend in rng.sample(backends, BACKENDS):
        again_s = now_s + rng.uniform(*AGAIN_RANGE_S)
        backend.cold.periods = [
            cold.ColdPeriod(now_s, now_s + START_S),
            cold.ColdPeriod(again_s, again_s + AGAIN_DURATION_S),
        ]


def violations(cluster, results):
    """One line for each cold backend that received too many requests."""
    entry_by_request = {r.request_id: r.entry for r in results}
    node_by_name = {node.name: node for node in cluster.entries}
    found = []
    for backend in cluster.backends:
        link_faults_s = cluster.link_faults_s_by_id.get(backend.server_id, [])
        for period in backend.cold.periods:
            known_s = _known_s(cluster, backend.cold, period)
            times_s = []
            for arrival in cluster.arrivals:
                at_s = arrival.at_s
                node = node_by_name.get(entry_by_request.get(arrival.request_id))
                if (
                    arrival.server_id == backend.server_id
                    and known_s <= at_s < period.end_s
                    and node is not None
                    and not _recent(node.disturbed_s, at_s, ENTRY_FAULT_S)
                    and not _recent(link_faults_s, at_s, LINK_FAULT_S)
                ):
                    times_s.append(at_s)
            most = cold.most_in_span(sorted(times_s))
            if most > REQUESTS_PER_S * OVERAGE + TOLERANCE:
                found.append(f"{backend.server_id} was cold and got {most} in a second")
    return found


def _known_s(cluster, cold_start, period):
    """When all entries know of *period*; its end if they can't be sure to."""
    faults_s = [at_s for node in cluster.controls for at_s in node.disturbed_s]
    for at_s in cold_start.reported_s_by_period.get(period, []):
        known_s = at_s + PROPAGATION_S
        if not _recent(faults_s, known_s, PROPAGATION_S + CONTROL_FAULT_S):
            return known_s
    return period.end_s


def _recent(faults_s, at_s, span_s):
    return any(at_s - span_s <= fault_s <= at_s for fault_s in faults_s)
