"""Whether an endpoint lives on, checked a moment after a connection to it ended.

The kernel of a process that ends closes its connections in order. That something takes
connections at the endpoint's address afterwards does not prove that the process lives:
another incarnation may have started there, a parent may keep the listening socket, or
the kernel may queue connections of a process that has just ended. What proves it is an
answer of the same incarnation to what was sent after the connection had ended.
"""

import enum

import attrs
from twisted.internet import defer

from dunlinpoint import clock
from dunlinpoint.routing import incarnations

# A process that ends closes its sockets one after the other.
DELAY_MS = 50
# A check is shared by connections that ended up to this long after the first of them.
SHARED_MS = 25
# How long an answer is waited for at least, which takes a round trip. With less, or if
# the time ends while this process does not run, a crash would not be seen.
MIN_WAIT_MS = 20
# The interval between probes of an endpoint that have shown nothing.
REPEAT_INTERVAL_MS = 100
# Controls are asked for heartbeats only if a probe has shown nothing for this time,
# which a sound endpoint that is not full takes a fraction of.
HEARD_DELAY_MS = 150
# The interval between questions to the controls; heartbeats come every second or so.
HEARD_INTERVAL_MS = 250


class Life(enum.Enum):
    """What is known of an incarnation of an endpoint.

    - ``ALIVE``: it was running after the connection had ended.
    - ``ENDED``: it no longer runs.
    - ``UNKNOWN``: nothing was heard of it in time.
    """

    ALIVE = "alive"
    ENDED = "ended"
    UNKNOWN = "unknown"


class Evidence(enum.Enum):
    """What shows whether an incarnation of an endpoint lives on.

    - ``REFUSED``: its host refuses connections to its port.
    - ``OTHER_INSTANCE``: another instance answers at its address.
    - ``ANSWERED``: it answered a health check, or another request sent meanwhile.
    - ``LISTENING``: connections are taken at its address. This is asked only of
      endpoints for which no health check is known.
    - ``HEARTBEAT``: a control has received a heartbeat of it since.
    - ``DEREGISTERED``: it has announced its end since.
    - ``NONE``: nothing was heard.
    """

    REFUSED = "refused"
    OTHER_INSTANCE = "other_instance"
    ANSWERED = "answered"
    LISTENING = "listening"
    HEARTBEAT = "heartbeat"
    DEREGISTERED = "deregistered"
    NONE = "none"

    @property
    def life(self):
        """The ``Life`` that this shows."""
        if self is Evidence.NONE:
            return Life.UNKNOWN
        is_end = self in (Evidence.REFUSED, Evidence.OTHER_INSTANCE)
        return Life.ENDED if is_end else Life.ALIVE


@attrs.define(eq=False)
class SharedCheck:
    """A check that begins at ``begin_ms``, and the Deferreds that wait for it.

    ``waiters`` holds each with the time until which it waits. Only what shows that the
    endpoint lived after ``since_ms`` counts.
    """

    begin_ms: int
    since_ms: int
    waiters: list = attrs.field(factory=list)

    def awaiting(self):
        """The Deferreds that have not fired yet."""
        return [waiter for waiter, _ in self.waiters if not waiter.called]

    def settle(self, evidence):
        """Fire all Deferreds that wait with *evidence*."""
        for waiter in self.awaiting():
            waiter.callback(evidence)


def nothing_heard(_member, _since_ms):
    """What is heard of servers that send no heartbeats to the controls."""
    return defer.succeed(Evidence.NONE)


@attrs.define
class LifeChecks:
    """Checks of endpoints; those of one incarnation are shared.

    Without that, an endpoint at which many connections end at once would get as many
    probes. ``probe(member)`` returns a Deferred of the ``Evidence`` that a probe sent
    now has found, and ``heard(member, since_ms)`` one of what the controls have heard
    of it since *since_ms* (of this process's clock); both ``NONE`` included.
    ``pending_by_key`` holds the checks that have not begun, by incarnation and delay,
    and ``running_by_incarnation`` those that nothing has settled yet.
    """

    clock: clock.Clock
    probe: object
    heard: object = nothing_heard
    pending_by_key: dict = attrs.field(factory=dict)
    running_by_incarnation: dict = attrs.field(factory=dict)

    def check(self, member, limit_ms, delay_ms=DELAY_MS):
        """Check *member*, a connection to which has just ended, after *delay_ms*.

        A Deferred of the ``Evidence``, which is ``NONE`` if nothing was heard after
        *limit_ms* and ``MIN_WAIT_MS``.
        """
        key = incarnations.incarnation_key(member), delay_ms
        now = self.clock.now()
        begin_ms = now + min(delay_ms, limit_ms / 2)
        pending = self.pending_by_key.get(key)
        if pending is None or not 0 <= begin_ms - pending.begin_ms <= SHARED_MS:
            pending = self.pending_by_key[key] = SharedCheck(begin_ms, now)
            self._run(member, key, pending)
        pending.since_ms = max(now, begin_ms - DELAY_MS)
        waiter = defer.Deferred()
        pending.waiters.append((waiter, now + limit_ms))
        return waiter

    def answered(self, member, sent_ms):
        """Note that *member* has answered a request that was sent at *sent_ms*."""
        if not self.running_by_incarnation:
            return
        incarnation = incarnations.incarnation_key(member)
        for running in self.running_by_incarnation.get(incarnation, ()):
            if sent_ms > running.since_ms:
                running.settle(Evidence.ANSWERED)

    @defer.inlineCallbacks
    def _run(self, member, key, check):
        incarnation, _ = key
        yield self.clock.sleep(check.begin_ms - self.clock.now())
        if self.pending_by_key.get(key) is check:
            del self.pending_by_key[key]
        began_ms = self.clock.now()
        for waiter, until_ms in check.waiters:
            wait_ms = max(until_ms - began_ms, MIN_WAIT_MS)
            timer = self.clock.call_later(wait_ms, waiter.callback, Evidence.NONE)
            waiter.addBoth(_cancel, timer)
        running = self.running_by_incarnation.setdefault(incarnation, [])
        running.append(check)
        self.clock.call_later(HEARD_DELAY_MS, self._listen, member, check)
        try:
            yield self._repeat(check, REPEAT_INTERVAL_MS, self.probe, member)
        finally:
            running.remove(check)
            if not running:
                self.running_by_incarnation.pop(incarnation, None)

    def _listen(self, member, check):
        self._repeat(check, HEARD_INTERVAL_MS, self.heard, member, check.since_ms)

    @defer.inlineCallbacks
    def _repeat(self, check, interval_ms, ask, *args):
        """Call *ask* with *args* until *check* is settled."""
        try:
            while check.awaiting():
                evidence = yield ask(*args)
                if evidence is not Evidence.NONE:
                    check.settle(evidence)
                    return
                yield self.clock.sleep(interval_ms)
        except Exception as exc:
            for waiter in check.awaiting():
                waiter.errback(exc)


def _cancel(result, timer):
    if timer.active():
        timer.cancel()
    return result
