"""Dispatch of commands from a rank's agent to its engine.

An engine may leave a command unanswered, and execute it late or never. Its own agent
detects that soonest and repeats the command at once. When the leader repeated commands,
each round took a message to every rank and a timeout sized for the longest network
path.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import clock
from dunlinpoint.experts import commands

OK = (200, 202)
REFUSED = 409
# Timeout of one attempt (ms) for an engine on the agent's own host: a third of what a
# leader on another machine would wait. Repeating a command too soon is harmless, as the
# engine refuses it or accepts it as the same command.
ATTEMPT_TIMEOUT_MS = 50
# Number of attempts, and of copies sent at once after an attempt went unanswered. With
# half of all commands lost, 1 in 16 is left for the leader to repeat, and 1 in 64 while
# commands are known to get lost.
ATTEMPTS = 2
COPIES = 3
# For how long after an unanswered command further losses are expected: the causes of
# lost commands last some seconds.
UNANSWERED_MS = 5000


def combined_status(statuses):
    """Combine the *statuses* of several copies of one command into one status.

    An accepted copy makes the engine refuse the others, so one acceptance counts more
    than any refusal.
    """
    accepted = [status for status in statuses if status in OK]
    return accepted[0] if accepted else max(statuses)


@attrs.define
class UnansweredTracker:
    """Time of the last unanswered command."""

    clock: clock.Clock
    last_ms: int | None = None

    def record(self):
        """Record that a command was left unanswered now."""
        self.last_ms = self.clock.now()

    def is_recent(self):
        """Whether a command went unanswered within ``UNANSWERED_MS``."""
        return (
            self.last_ms is not None and self.clock.now() - self.last_ms < UNANSWERED_MS
        )


@attrs.define
class Dispatcher:
    """Sends commands to the engine on this agent's host, one after the other.

    ``prepared`` is the newest command to prepare a map that was dispatched.
    """

    engine: object
    clock: clock.Clock
    prepared: commands.Command | None = None
    last: commands.Command | None = None
    last_status: int = 0
    lock: defer.DeferredLock = attrs.field(factory=defer.DeferredLock)
    unanswered: UnansweredTracker = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.unanswered = UnansweredTracker(self.clock)

    def dispatch(self, command):
        """Send *command*; a Deferred of its HTTP status, or 0 for no answer."""
        return self.lock.run(self._dispatch, command)

    @defer.inlineCallbacks
    def _dispatch(self, command):
        accepted = command == self.last and self.last_status in OK
        if accepted and command.operation != commands.DISARM:
            # DISARM is always sent again: an earlier command to arm that the engine
            # executes late can arm the rank once more.
            return self.last_status
        if command.operation == commands.PREPARE:
            self.prepared = command
        status = yield self._attempt(command)
        self.last, self.last_status = command, status
        return status

    @defer.inlineCallbacks
    def _attempt(self, command):
        maybe_executed = command == self.last and not self.last_status
        for _ in range(ATTEMPTS):
            copies = COPIES if self.unanswered.is_recent() else 1
            statuses = yield defer.gatherResults(
                [
                    self.engine.send_command(command.text, ATTEMPT_TIMEOUT_MS)
                    for _ in range(copies)
                ]
            )
            status = combined_status(statuses)
            if 0 in statuses:
                self.unanswered.record()
            if (
                status == REFUSED
                and maybe_executed
                and command.operation == commands.PREPARE
            ):
                # An earlier copy may have been executed and caused this refusal.
                return 0
            if status:
                return status
            maybe_executed = True
        return 0
