"""Ranks whose engines report that they are slow, and how much their load counts.

Ranks run in lock-step, so a slow rank determines the step of its whole group unless it
has less to do. A rank's agent reports the pace of its engine: 1 is normal, and with 1.6
everything takes 1.6 times as long.

A pace is kept by the engine's address, and belongs to one incarnation of the endpoint
there. After a restart it counts only once the agent has reported anew.
"""

import attrs

from dunlinpoint import logs
from dunlinpoint.experts import messages
from dunlinpoint.routing import incarnations, outage

log = logs.logger("entry")

MIN_SLOW_PACE = messages.NORMAL_PACE + messages.MIN_PACE_CHANGE


@attrs.define
class Paces:
    """The slow ranks' paces (``float``, above 1) by incarnation of their endpoint.

    ``report_by_incarnation`` is the report that each incarnation began with, if an
    earlier one at its address may have caused it.
    """

    pace_by_incarnation: dict = attrs.field(factory=dict)
    report_by_address: dict = attrs.field(factory=dict)
    incarnation_by_address: dict = attrs.field(factory=dict)
    report_by_incarnation: dict = attrs.field(factory=dict)

    def update(self, ranks, endpoints):
        """Update from the agents of *ranks* and their *endpoints*; those turned slow.

        Both are sequences of ``Member``; the result is a list of incarnation keys.
        """
        reports = {rank.engine: (rank.pace, rank.epoch) for rank in ranks}
        paces = {}
        addresses = set()
        for member in endpoints:
            address = outage.address_of(member)
            if address not in reports:
                continue
            addresses.add(address)
            key = incarnations.incarnation_key(member)
            self._note_incarnation(address, key)
            is_outdated = self.report_by_incarnation.get(key) == reports[address]
            pace = reports[address][0]
            if not is_outdated:
                self.report_by_incarnation.pop(key, None)
                if (pace or 0) >= MIN_SLOW_PACE:
                    paces[key] = pace / messages.NORMAL_PACE
        self._drop(addresses)
        self.report_by_address = {a: reports[a] for a in addresses}
        turned = self._log_changes(paces)
        self.pace_by_incarnation = paces
        return turned

    def _note_incarnation(self, address, key):
        """Remember the last report of an earlier incarnation at *address*."""
        earlier = self.incarnation_by_address.get(address)
        if earlier not in (None, key):
            self.report_by_incarnation.pop(earlier, None)
            self.report_by_incarnation[key] = self.report_by_address.get(address)
        self.incarnation_by_address[address] = key

    def _drop(self, addresses):
        """Forget all but *addresses*."""
        for address in set(self.incarnation_by_address) - addresses:
            self.report_by_incarnation.pop(
                self.incarnation_by_address.pop(address), None
            )

    def _log_changes(self, paces):
        """Log ranks that turned slow or normal; the keys of those turned slow."""
        for key in set(paces) | set(self.pace_by_incarnation):
            before, after = self.pace_by_incarnation.get(key), paces.get(key)
            if before != after:
                log.info("rank_pace", endpoint_id=key, before=before, after=after)
        return [key for key in paces if key not in self.pace_by_incarnation]

    def of(self, key):
        """How many times the load of the incarnation *key* counts; 1.0 if not slow."""
        return self.pace_by_incarnation.get(key, 1.0)
