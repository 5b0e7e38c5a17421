"""Requests that may end their endpoint: noticed, held apart, and refused when sure.

What counts as evidence: the connection to an endpoint ended while a request was at work
there that had not brought an event, and then nothing listens at the endpoint's address,
or another start of it is announced. A cut, a stop of ours, a slow answer and a reset
connection leave an endpoint that listens and is not announced anew: they count for
nothing.

A request that two endpoints have ended under runs alone at this entry, and is not tried
again by itself. One that three have ended under is refused at once. It has not run, so
503 says so; the fault is the endpoints', not the caller's, so nothing that blames the
request (4xx) is said, and the time to come back is when the conviction expires.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.forward import answers
from dunlinpoint.routing import pick
from dunlinpoint.suspects import digest, registry, sharing

log = logs.logger("entry")

# How long after a connection ended its endpoint is looked for: a process that ended
# does not listen any more, and takes seconds to be back.
LOOK_MS = 50
# How long an end that nothing has shown yet may still be shown by a new start.
PENDING_MS = 10_000
# When a suspect should come back while another run of it is under way.
ALONE_RETRY_MS = 1000


@attrs.define
class Broken:
    """An endpoint whose connections ended, and the requests that were at work."""

    member: object
    at_ms: int
    digests: set = attrs.field(factory=set)


@attrs.define
class Quarantine:
    """What this entry knows, and what it is still looking into."""

    sharing: sharing.Sharing
    known: registry.Registry = attrs.field(factory=registry.Registry)
    broken_by_life: dict = attrs.field(factory=dict)
    alone: set = attrs.field(factory=set)

    def hear(self, forward, reports):
        """Take in ``CrashReport``s that a control told."""
        now = forward.clock.now()
        for report in reports:
            self._take(forward, report, now)

    def _take(self, forward, report, now):
        before = self.known.suspect_status(report.digest, now)
        if not self.known.apply_report(report, now):
            return False
        after = self.known.suspect_status(report.digest, now)
        if after is not before:
            forward.counters.incr(f"suspects.{after.value}")
            log.warning(
                after.value if report.life else "lifted",
                digest=report.digest.hex(),
                before=before.value,
                endpoint_id=report.life,
                age_ms=report.age_ms,
            )
        return True

    def note(self, forward, waiting):
        """Take in what this entry saw, and tell the others what is news."""
        now = forward.clock.now()
        news = [w for w in waiting if self._take(forward, w.to_message(now), now)]
        if news:
            self.sharing.publish(news)


def digest_of(call):
    """The digest of *call*'s request."""
    if call.digest is None:
        request = call.request
        request.content.seek(0)
        caller = call.workspace.name.encode() if call.workspace is not None else b""
        call.digest = digest.of_request(
            request.method, request.uri, caller, request.content.read()
        )
    return call.digest


def suspect_status(forward, call):
    """What *call* may do; digests are worked out only while there are suspects."""
    found = forward.quarantine.known
    if not len(found):
        return registry.SuspectStatus.CLEAR
    return found.suspect_status(digest_of(call), forward.clock.now())


def enter(forward, call):
    """Whether *call* may run; if not, it has got its final answer."""
    found = suspect_status(forward, call)
    if found is registry.SuspectStatus.CLEAR:
        return True
    alone = forward.quarantine.alone
    if found is registry.SuspectStatus.CONVICTED:
        refuse(forward, call, "convicted", registry.EXPIRY_MS)
    elif call.digest in alone:
        refuse(forward, call, "suspect_at_work", ALONE_RETRY_MS)
    else:
        alone.add(call.digest)
        call.is_alone = True
        return True
    return False


def refuse(forward, call, reason, retry_ms):
    """Refuse *call*, which has not run."""
    answers.answer(
        forward,
        call.request,
        503,
        reason,
        retry_ms,
        digest=call.digest.hex(),
        service=call.service,
    )


def leave(forward, call):
    """*call* is over."""
    if call.is_alone:
        forward.quarantine.alone.discard(call.digest)
        call.is_alone = False


def served(forward, call):
    """An endpoint served *call*: it ends no endpoint that runs it."""
    found = forward.quarantine
    if not len(found.known) and not found.broken_by_life:
        return
    name = digest_of(call)
    for broken in found.broken_by_life.values():
        broken.digests.discard(name)
    suspect = found.known.suspect_by_digest.get(name)
    if suspect is not None and suspect.ended_ms_by_incarnation:
        found.note(forward, [sharing.PendingReport(name, "", forward.clock.now())])


def broke(forward, call, member):
    """The connection to *member* ended while *call* was at work there."""
    found = forward.quarantine
    life = pick.incarnation_key(member)
    broken = found.broken_by_life.get(life)
    if broken is None:
        broken = found.broken_by_life[life] = Broken(member, forward.clock.now())
        look(forward, life, broken).addErrback(_failed)
    broken.digests.add(digest_of(call))


def _failed(failure):
    log.error("look_failed", error=failure.getTraceback())


@defer.inlineCallbacks
def look(forward, life, broken):
    """Look whether the endpoint of *broken* still listens, and later forget it."""
    yield forward.clock.sleep(LOOK_MS)
    if (yield forward.pool.is_closed(broken.member)):
        ended(forward, life)
        return
    yield forward.clock.sleep(PENDING_MS)
    forward.quarantine.broken_by_life.pop(life, None)


def look_for_new_starts(forward):
    """Members have changed: whose earlier start has ended for sure."""
    found = forward.quarantine.broken_by_life
    if not found:
        return
    members = [m for m in forward.view.endpoints() if not m.gone]
    for life, broken in list(found.items()):
        if any(is_new_start(member, broken.member) for member in members):
            ended(forward, life)


def is_new_start(member, earlier):
    """Whether *member* shows that the start *earlier* of an endpoint has ended."""
    if member.service_name != earlier.service_name:
        return False
    if member.endpoint_id == earlier.endpoint_id:
        return (member.incarnation or 0) > (earlier.incarnation or 0)
    return (member.host, member.port) == (earlier.host, earlier.port)


def ended(forward, life):
    """The endpoint of *life* has ended under all that was at work there."""
    broken = forward.quarantine.broken_by_life.pop(life, None)
    if broken is None:
        return
    log.info("endpoint_ended", endpoint_id=life, requests=len(broken.digests))
    forward.quarantine.note(
        forward,
        [sharing.PendingReport(name, life, broken.at_ms) for name in broken.digests],
    )
