"""Which endpoint gets the next try of a request.

The least loaded wins, counted in this entry's own requests in flight, or in
what the endpoint itself last reported if that is more, against how many it
runs at once. An endpoint in another zone counts as if it had
:data:`AWAY_REQUESTS` more. Of two with the same load the one that comes first
in the entry's own order (:mod:`spread`) wins.

An endpoint that failed a request is avoided for a while, doubling with each
failure in a row: health reports lag and some endpoints fail while they
report health, so what counts is what requests met.
"""

import attrs

# How many requests more an endpoint of the entry's own zone may have: the way
# to another zone costs a millisecond or two, a queue far more.
AWAY_REQUESTS = 1.0
# How much of one request the place in the order weighs, so that it only
# decides between endpoints of the same load.
ORDER_REQUESTS = 0.9
AVOID_MS = 400
AVOID_MAX_MS = 5000
DEFAULT_SLOTS = 4
# An endpoint with requests at it that has sent nothing for so long, while
# another of its service has within OTHERS_MS, is taken for gone.
SILENCE_MS = 1000
OTHERS_MS = 200


@attrs.define
class Record:
    """What this entry knows of one endpoint from its own requests."""

    in_flight: int = 0
    failures: int = 0
    avoid_until_ms: int = 0
    heard_ms: int = 0


@attrs.define
class Picker:
    """Records by endpoint id."""

    zone: str
    record_by_id: dict = attrs.field(factory=dict)

    def record(self, endpoint_id):
        """The record of *endpoint_id*, new if there is none."""
        record = self.record_by_id.get(endpoint_id)
        if record is None:
            record = self.record_by_id[endpoint_id] = Record()
        return record

    def forget(self, live_ids):
        """Drop records of endpoints that are gone and idle."""
        for endpoint_id, record in list(self.record_by_id.items()):
            if endpoint_id not in live_ids and not record.in_flight:
                del self.record_by_id[endpoint_id]

    def pick(self, members, now, exclude=(), near=True):
        """The endpoint of *members* (in the entry's order) to try, or ``None``.

        With *near*, those of the entry's own zone are preferred.

        Endpoints in *exclude* were tried already. Avoided ones are taken
        only when there is no other: an endpoint that failed lately may
        serve, and no endpoint at all serves nothing.
        """
        best, least = None, None
        spared, soonest = None, None
        for place, member in enumerate(members):
            if member.endpoint_id in exclude:
                continue
            record = self.record(member.endpoint_id)
            if record.avoid_until_ms > now:
                if spared is None or record.avoid_until_ms < soonest:
                    spared, soonest = member, record.avoid_until_ms
                continue
            weight = self._weight(member, record, place / len(members), near)
            if best is None or weight < least:
                best, least = member, weight
        return spared if best is None else best

    def _weight(self, member, record, order, near):
        requests = max(record.in_flight, member.load or 0)
        if near and member.zone != self.zone:
            requests += AWAY_REQUESTS
        return (requests + ORDER_REQUESTS * order) / (member.slots or DEFAULT_SLOTS)

    def began(self, endpoint_id):
        """A request was sent to the endpoint."""
        self.record(endpoint_id).in_flight += 1

    def ended(self, endpoint_id):
        """A request at the endpoint is over."""
        self.record(endpoint_id).in_flight -= 1

    def heard(self, endpoint_id, now):
        """Some bytes of an answer came from the endpoint."""
        self.record(endpoint_id).heard_ms = now

    def is_gone(self, endpoint_id, members, now):
        """Whether the endpoint is silent while others of its kind are not.

        A frozen or unreachable machine closes no connection; its requests
        would wait until their callers give up. Ranks step together, so one
        that is silent among others that are not is no busy one; where all
        are silent, the group stands and another try would stand as well.
        """
        if now - self.record(endpoint_id).heard_ms < SILENCE_MS:
            return False
        others = (m.endpoint_id for m in members if m.endpoint_id != endpoint_id)
        return any(now - self.record(i).heard_ms < OTHERS_MS for i in others)

    def succeeded(self, endpoint_id):
        """The endpoint answered as it should."""
        record = self.record(endpoint_id)
        record.failures = 0
        record.avoid_until_ms = 0

    def failed(self, endpoint_id, now):
        """The endpoint failed a request: avoid it for a while."""
        record = self.record(endpoint_id)
        record.failures += 1
        pause = min(AVOID_MS * 2 ** (record.failures - 1), AVOID_MAX_MS)
        record.avoid_until_ms = now + pause
