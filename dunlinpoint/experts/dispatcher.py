"""Dispatch of commands from a rank's agent to its engine.

An engine may leave a command unanswered, and execute it late or never. Its own agent
detects that soonest and repeats the command at once. When the leader repeated commands,
each round took a message to every rank and a timeout sized for the longest network
path.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock
from dunlinpoint.experts import orders

OK = (200, 202)
REFUSED = 409
# Timeout of one attempt (ms) for an engine on the agent's own host: a third of what a
# leader on another machine would wait. Repeating a command too soon is harmless, as the
# engine refuses it or accepts it as the same command.
TRY_MS = 50
# Number of attempts, and of copies sent at once after an attempt went unanswered. With
# half of all commands lost, 1 in 16 is left for the leader to repeat, and 1 in 64 while
# commands are known to get lost.
TRIES = 2
COPIES = 3
# For how long after an unanswered command further losses are expected: the causes of
# lost commands last some seconds.
UNANSWERED_MS = 5000


def best(statuses):
    """Combine the *statuses* of several copies of one command into one status.

    An accepted copy makes the engine refuse the others, so one acceptance counts more
    than any refusal.
    """
    taken = [status for status in statuses if status in OK]
    return taken[0] if taken else max(statuses)


@attrs.define
class Unanswered:
    """Time of the last unanswered command."""

    clock: clock.Clock
    at_ms: int | None = None

    def note(self):
        """Record that a command was left unanswered now."""
        self.at_ms = self.clock.now()

    def lately(self):
        """Whether a command went unanswered within ``UNANSWERED_MS``."""
        return self.at_ms is not None and self.clock.now() - self.at_ms < UNANSWERED_MS


@attrs.define
class Giver:
    """Sends commands to the engine on this agent's host, one after the other.

    ``prepared`` is the newest command to prepare a map that was dispatched.
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
        """Send *order*; a Deferred of its HTTP status, or 0 if there was no answer."""
        return self.lock.run(self._give, order)

    @defer.inlineCallbacks
    def _give(self, order):
        taken = order == self.last and self.last_status in OK
        if taken and order.operation != orders.DISARM:
            # DISARM is always sent again: an earlier command to arm that the engine
            # executes late can arm the rank once more.
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
                # An earlier copy may have been executed and caused this refusal.
                return 0
            if status:
                return status
            unsure = True
        return 0
