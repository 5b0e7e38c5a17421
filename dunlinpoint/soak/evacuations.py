"""An operator who evacuates a zone and restores it, and a check that entries comply.

Each run has one evacuation, of the zone with a single backend, beside the faults of its
schedule. An arrival is checked only if neither its entry nor the link to the backend
was disturbed shortly before, and some control was not disturbed either.
"""

import http.client
import random
import threading
import time

import attrs

from dunlinpoint.soak import cluster as clusters
from dunlinpoint.soak import signals

KIND = "evacuate"
START_RANGE_S = (1.5, 4.0)
# Longer than the time after which an order must be in force.
DURATION_RANGE_S = (7.0, 9.0)
IN_FORCE_BOUND_S = 5.0
# Operators move to another control after this time without an answer.
ANSWER_TIMEOUT_S = 1.0
RESEND_INTERVAL_S = 0.1
# Time after a fault during which a process is exempt from time bounds.
FAULT_GRACE_S = 4.0


@attrs.define
class AcknowledgedEvacuation:
    """A zone's evacuation: when it was acknowledged, and when its end was ordered.

    The latter is ``None`` while it is not ordered; times are monotonic, in s.
    """

    zone: str
    acknowledged_s: float
    revoked_s: float | None = None


def plan(seed):
    """The start and the duration of *seed*'s evacuation, in s."""
    rng = random.Random(f"evacuations {seed}")
    return rng.uniform(*START_RANGE_S), rng.uniform(*DURATION_RANGE_S)


@attrs.define(eq=False)
class Evacuator:
    """The operator's orders for one zone, and its acknowledged evacuations."""

    cluster: clusters.Cluster
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    acknowledged: list = attrs.field(factory=list)
    zone: str = clusters.SMALL_ZONE
    ending: threading.Event = attrs.field(factory=threading.Event)

    def begin(self):
        """Order the evacuation in the background; a function that ends it again."""
        threading.Thread(target=self.send_begin, daemon=True).start()
        return self.end

    def end(self):
        """Order the end of the evacuation in the background."""
        self.ending.set()
        for evacuation in self.acknowledged:
            evacuation.revoked_s = time.monotonic()
        threading.Thread(
            target=self.send, args=("finish", threading.Event()), daemon=True
        ).start()

    def send_begin(self):
        if self.send("begin", self.ending):
            self.acknowledged.append(
                AcknowledgedEvacuation(self.zone, time.monotonic())
            )
            if self.ending.is_set():
                self.acknowledged.clear()

    def send(self, action, given_up):
        """Send an order to the controls in random order; whether one acknowledged."""
        path = f"/api/evacuations/{self.zone}/{action}"
        while not (self.cluster.stop_event.is_set() or given_up.is_set()):
            node = self.rng.choice(self.cluster.controls)
            try:
                status, _, _ = clusters.http_request(
                    node.host,
                    self.cluster.admin_port,
                    "POST",
                    path,
                    timeout=ANSWER_TIMEOUT_S,
                )
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                return True
            time.sleep(RESEND_INTERVAL_S)
        return False


def violations(cluster, results, acknowledged):
    """A line for each evacuation that entries did not comply with."""
    entry_by_request = {request.request_id: request.entry for request in results}
    found = []
    for evacuation in acknowledged:
        late = [
            arrival
            for arrival in cluster.arrivals
            if cluster.zone_of(arrival.server_id) == evacuation.zone
            and _is_in_force(evacuation, arrival.at_s)
            and arrival.request_id in entry_by_request
            and _is_checked(cluster, arrival, entry_by_request[arrival.request_id])
        ]
        if late:
            found.append(f"evacuated zone {evacuation.zone} got {len(late)} requests")
    return found


def _is_in_force(evacuation, at_s):
    end_s = float("inf") if evacuation.revoked_s is None else evacuation.revoked_s
    return evacuation.acknowledged_s + IN_FORCE_BOUND_S < at_s < end_s


def _is_checked(cluster, arrival, entry):
    span = arrival.at_s - FAULT_GRACE_S, arrival.at_s
    in_contact = any(
        not any(span[0] <= at_s <= span[1] for at_s in node.disturbed_s)
        for node in cluster.controls
    )
    return in_contact and signals.undisturbed_check(cluster, arrival.server_id, entry)(
        *span
    )
