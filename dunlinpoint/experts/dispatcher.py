"""Orders on the last step of their way: from a rank's agent to its engine.

An engine may leave an order unanswered, and carry it out late or never. Its own agent
finds that out soonest and gives the order again at once. Left to the lead, each
round of such orders took a message to every rank and a timeout made for the longest
way.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock
from dunlinpoint.experts import orders

OK = (200, 202)
REFUSED = 409
# How long an engine beside its agent may take to answer (ms): a third of what a lead on
# another machine would wait. An order that is given again too soon is refused or taken
# as the same, which harms nothing.
TRY_MS = 50
# How often an order is given, and how many copies at once after the first went
# unanswered: with half of them lost, 1 in 16 is left for the lead to give again, and 1
# in 64 while it is known that they get lost.
TRIES = 2
COPIES = 3
# Orders that went unanswered are a sign for so long that others will: whatever loses
# them lasts some seconds.
UNANSWERED_MS = 5000


def best(statuses):
    """What the *statuses* of one order given several times come to.

    One copy that was taken makes others be refused: that is no refusal.
    """
    taken = [status for status in statuses if status in OK]
    return taken[0] if taken else max(statuses)


@attrs.define
class Unanswered:
    """When an order was last left unanswered."""

    clock: clock.Clock
    at_ms: int | None = None

    def note(self):
        """An order was left unanswered now."""
        self.at_ms = self.clock.now()

    def lately(self):
        """Whether one was, so lately that others may be."""
        return self.at_ms is not None and self.clock.now() - self.at_ms < UNANSWERED_MS


@attrs.define
class Giver:
    """Gives orders to the engine that is beside this agent, one after the other.

    ``prepared`` is the newest order to prepare a map that it was given.
    """

    engine: object
    clock: clock.Clock
    prepared: orders.Order | None = None
    last: orders.Order | None = None
    last_status: int = 0
    lock: defer.DeferredLock = attrs.field(factory=defer.DeferredLock)
    unanswered: Unanswered = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.unanswered = Unanswered(self.clock)

    def give(self, order):
        """Give *order*; a Deferred of its status, or 0 if nothing tells."""
        return self.lock.run(self._give, order)

    @defer.inlineCallbacks
    def _give(self, order):
        taken = order == self.last and self.last_status in OK
        if taken and order.operation != orders.DISARM:
            # A rank can be armed once more by an order that its engine carries out
            # late, so one to disarm is never done with.
            return self.last_status
        if order.operation == orders.PREPARE:
            self.prepared = order
        status = yield self._try(order)
        self.last, self.last_status = order, status
        return status

    @defer.inlineCallbacks
    def _try(self, order):
        unsure = order == self.last and not self.last_status
        for _ in range(TRIES):
            copies = COPIES if self.unanswered.lately() else 1
            statuses = yield defer.gatherResults(
                [self.engine.order(order.text, TRY_MS) for _ in range(copies)]
            )
            status = best(statuses)
            if 0 in statuses:
                self.unanswered.note()
            if status == REFUSED and unsure and order.operation == orders.PREPARE:
                # The one before may have been carried out, and this refused for it.
                return 0
            if status:
                return status
            unsure = True
        return 0
