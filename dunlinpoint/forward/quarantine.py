"""Detection, isolation and refusal of requests that crash their endpoint.

A crash is attributed to a request if the connection to the endpoint ended while the
request was running there and had not produced an event, and if afterwards nothing
listens at the endpoint's address or a new incarnation of the endpoint is announced.
After a network partition, an attempt aborted by this entry, a slow response or a
connection reset, the endpoint still listens and is not announced anew, so none of
these count.

A request under which two endpoints have crashed is a suspect: at most one instance of
it runs at a time at this entry, without retries. A request under which three have
crashed is convicted and refused at once. It has not run, so the status is 503; a 4xx
would blame the caller for a fault of the endpoints. ``Retry-After`` is the time until
the conviction expires.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.forward import answers
from dunlinpoint.routing import pick
from dunlinpoint.suspects import digest, registry, sharing

log = logs.logger("entry")

# Delay between the end of a connection and the check of whether its endpoint still
# listens. A crashed process stops listening at once and takes seconds to restart.
LOOK_MS = 50
# How long after the end of a connection a new incarnation still confirms a crash.
PENDING_MS = 10_000
# Retry-After of a suspect while another instance of it is running.
ALONE_RETRY_MS = 1000


@attrs.define
class Broken:
    """An endpoint whose connection ended, and the requests that were running there."""

    member: object
    at_ms: int
    digests: set = attrs.field(factory=set)


@attrs.define
class Quarantine:
    """Known suspects, and endpoints that may have crashed.

    ``alone`` holds the digests of the suspects that are running.
    """

    sharing: sharing.Sharing
    known: registry.Registry = attrs.field(factory=registry.Registry)
    broken_by_life: dict = attrs.field(factory=dict)
    alone: set = attrs.field(factory=set)

    def hear(self, forward, reports):
        """Apply ``CrashReport``s received from a control."""
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
        """Apply reports of this entry, and share those that are new."""
        now = forward.clock.now()
        news = [w for w in waiting if self._take(forward, w.to_message(now), now)]
        if news:
            self.sharing.publish(news)


def digest_of(call):
    """Return the digest of *call*'s request."""
    if call.digest is None:
        request = call.request
        request.content.seek(0)
        caller = call.workspace.name.encode() if call.workspace is not None else b""
        call.digest = digest.of_request(
            request.method, request.uri, caller, request.content.read()
        )
    return call.digest


def suspect_status(forward, call):
    """Return the ``SuspectStatus`` of *call*.

    Digests are computed only while there are suspects.
    """
    found = forward.quarantine.known
    if not len(found):
        return registry.SuspectStatus.CLEAR
    return found.suspect_status(digest_of(call), forward.clock.now())


def enter(forward, call):
    """Whether *call* may run; if not, its final response has been sent."""
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
    """Refuse *call* with 503; it has not run."""
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
    """Release the isolation of *call*, which has ended."""
    if call.is_alone:
        forward.quarantine.alone.discard(call.digest)
        call.is_alone = False


def served(forward, call):
    """Clear *call*, which an endpoint has served without crashing."""
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
    """Start a check: the connection to *member* ended while *call* was running."""
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
    """Check whether the endpoint of *broken* still listens, and discard it later."""
    yield forward.clock.sleep(LOOK_MS)
    if (yield forward.pool.is_closed(broken.member)):
        ended(forward, life)
        return
    yield forward.clock.sleep(PENDING_MS)
    forward.quarantine.broken_by_life.pop(life, None)


def look_for_new_starts(forward):
    """Find crashed endpoints by their new incarnations, after a change of members."""
    found = forward.quarantine.broken_by_life
    if not found:
        return
    members = [m for m in forward.view.endpoints() if not m.gone]
    for life, broken in list(found.items()):
        if any(is_new_start(member, broken.member) for member in members):
            ended(forward, life)


def is_new_start(member, earlier):
    """Whether *member* proves that the incarnation *earlier* has ended."""
    if member.service_name != earlier.service_name:
        return False
    if member.endpoint_id == earlier.endpoint_id:
        return (member.incarnation or 0) > (earlier.incarnation or 0)
    return (member.host, member.port) == (earlier.host, earlier.port)


def ended(forward, life):
    """Attribute the crash of endpoint *life* to all requests that ran there."""
    broken = forward.quarantine.broken_by_life.pop(life, None)
    if broken is None:
        return
    log.info("endpoint_ended", endpoint_id=life, requests=len(broken.digests))
    forward.quarantine.note(
        forward,
        [sharing.PendingReport(name, life, broken.at_ms) for name in broken.digests],
    )
