"""Operators' orders to begin or to end the evacuation of a zone.

An operator that gets no answer sends the same order to another control instance, so
several instances may work on copies of one order, and a copy may be read long after
another was acknowledged. :func:`evacuation.standing` decides what a copy still does.
An instance carries its orders out one after another, since concurrent proposals would
only invalidate each other's ballots.
"""

import random

import attrs
from twisted.internet import defer

from dunlinpoint import clock, logs, metrics
from dunlinpoint.control import agreement, discovery, evacuation, suspension, zones

log = logs.logger("control")

# Operators send an order for 5 s; one that is decided later surprises them.
ORDER_TIMEOUT_MS = 5000
# Other instances may propose for the same rounds: documents, voters, further orders.
MAX_ATTEMPTS = 12
RETRY_DELAY_MS = (30, 120)
# Reasons of refusals besides those of ``agreement.Outcome``.
UNKNOWN_ZONE = "unknown_zone"
ZONE_UNSURE = "zone_unsure"
UNSUPPORTED = "evacuation_unsupported"
WAITED = "order_waited"
TOO_LATE = "order_too_late"
SUPERSEDED = "superseded"


@attrs.define
class Orders:
    """Carries out the orders that arrive at this control instance, one at a time."""

    clock: clock.Clock
    counters: metrics.Counters
    peers: agreement.Peers
    controls: discovery.Controls
    zones: zones.Zones
    suspensions: suspension.SuspensionDetector
    lock: defer.DeferredLock = attrs.field(factory=defer.DeferredLock)

    @defer.inlineCallbacks
    def carry_out(self, zone, active, accepted_ms=None):
        """Begin (*active*) or end the evacuation of *zone*.

        *accepted_ms* is when the order's connection was accepted, ``None`` if not
        known. Returns a Deferred of an ``agreement.Outcome``; one with the reason
        ``UNKNOWN_ZONE`` is final, any other refusal may be sent again.
        """
        arrived_ms = self.clock.now()
        arrived_round = self.peers.local.committed.round
        outcome = yield self._check(zone, accepted_ms, arrived_ms)
        if outcome is None:
            yield self.lock.acquire()
            try:
                outcome = yield self._decide(zone, active, arrived_round, arrived_ms)
            finally:
                self.lock.release()
        self._record(zone, active, outcome, self.clock.now() - arrived_ms)
        return outcome

    def _record(self, zone, active, outcome, took_ms):
        if outcome.accepted:
            self.counters.incr("evacuation_acknowledged")
        else:
            self.counters.refused(outcome.reason)
        self.counters.observe_ms("agreement", took_ms)
        log.info(
            "evacuation_ordered",
            zone=zone,
            on=active,
            outcome="accepted" if outcome.accepted else "refused",
            reason=outcome.reason,
            round=self.peers.local.committed.round,
            took_ms=took_ms,
        )

    def _refusal(self, reason):
        return agreement.Outcome(False, self.peers.local.committed.version, reason)

    @defer.inlineCallbacks
    def _check(self, zone, accepted_ms, now):
        """The refusal of an order that must not be proposed, or ``None``."""
        if self.suspensions.may_have_waited(accepted_ms, now):
            return self._refusal(WAITED)
        voting = self.peers.voters
        lacking = self.controls.without_feature(evacuation.FEATURE, voting, now)
        if lacking:
            log.warning("evacuation_unsupported", zone=zone, left=lacking)
            return self._refusal(UNSUPPORTED)
        if self._is_known(zone):
            return None
        if not self.zones.is_complete(now):
            return self._refusal(ZONE_UNSURE)
        # An order for the zone may have been accepted by an instance that knew it.
        newest = yield agreement.read(self.peers)
        if newest is None:
            return self._refusal(ZONE_UNSURE)
        return None if self._is_known(zone) else self._refusal(UNKNOWN_ZONE)

    def _is_known(self, zone):
        evacuations = self.peers.local.committed.evacuations
        if evacuation.record_of(evacuations, zone) is not None:
            return True
        return self.zones.is_known(zone)

    @defer.inlineCallbacks
    def _decide(self, zone, active, arrived_round, arrived_ms):
        """Propose the order until it is decided, superseded or too late."""
        local = self.peers.local

        def is_in_time():
            return self.clock.now() - arrived_ms < ORDER_TIMEOUT_MS

        for _ in range(MAX_ATTEMPTS):
            if not is_in_time():
                return self._refusal(TOO_LATE)
            standing = yield self._standing(zone, active, arrived_round)
            if standing is evacuation.Standing.SUPERSEDED:
                return self._refusal(SUPERSEDED)
            if standing is evacuation.Standing.HELD:
                return agreement.Outcome(True, local.committed.version, "held")
            if standing is evacuation.Standing.DONE:
                return agreement.Outcome(True, local.committed.version)
            if standing is evacuation.Standing.OPEN and (
                yield agreement.change_evacuation(self.peers, zone, active, is_in_time)
            ):
                return agreement.Outcome(True, local.committed.version)
            yield self.clock.sleep(random.uniform(*RETRY_DELAY_MS))
        return self._refusal("no_quorum")

    @defer.inlineCallbacks
    def _standing(self, zone, active, arrived_round):
        """The order's ``Standing``, or ``None`` if it cannot be determined.

        This instance may have missed rounds, so a zone counts as in the wanted state
        already only if a majority confirms it.
        """
        local = self.peers.local
        order = zone, active, arrived_round
        found = evacuation.standing(local.committed.evacuations, *order)
        if found is evacuation.Standing.HELD:
            newest = yield agreement.read(self.peers)
            if newest is None:
                return None
            found = evacuation.standing(newest.evacuations, *order)
        return found
