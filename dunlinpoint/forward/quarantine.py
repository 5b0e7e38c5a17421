"""Detection, isolation and refusal of requests that crash their endpoint.

A crash is attributed to a request if the connection to the endpoint ended while the
request was running there and had not produced an event, and if afterwards nothing
listens at the endpoint's address or a new incarnation of the endpoint is announced.
After a network partition, an attempt aborted by this entry, a slow response or a
connection reset, the endpoint still listens and is not announced anew, so none of
these count.

A request under which two endpoints have crashed is a suspect: at most one execution of
it runs at a time at this entry, without retries. A request under which three have
crashed is convicted and refused at once. It has not run, so the status is 503; a 4xx
would blame the caller for a fault of the endpoints. ``Retry-After`` is the time until
the conviction expires.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.forward import responses
from dunlinpoint.routing import pick
from dunlinpoint.suspects import digest, registry, sharing

log = logs.logger("entry")

# Delay between the end of a connection and the check of whether its endpoint still
# listens. A crashed process stops listening at once and takes seconds to restart.
CRASH_CHECK_DELAY_MS = 50
# How long after the end of a connection a new incarnation still confirms a crash.
RESTART_WINDOW_MS = 10_000
# Retry-After of a suspect while another execution of it is in progress.
SUSPECT_RETRY_AFTER_MS = 1000


@attrs.frozen
class EndedAttempt:
    """A request that was running at an endpoint, and its prompt's parts."""

    request_id: bytes | None
    parts: tuple


@attrs.define
class PendingCheck:
    """An endpoint whose connection ended, and the requests that were running there.

    ``connection_ended_ms`` is the time of the local clock at which it ended, and
    ``is_listening`` whether the endpoint was found to listen afterwards;
    ``attempt_by_digest`` holds an ``EndedAttempt`` for each of the requests.
    """

    member: object
    connection_ended_ms: int
    is_listening: bool = False
    attempt_by_digest: dict = attrs.field(factory=dict)


@attrs.define
class Quarantine:
    """Known suspects, and endpoints that may have crashed.

    ``running_suspects`` holds the digests of the suspects that are running.
    """

    sharing: sharing.Sharing
    known: registry.Registry = attrs.field(factory=registry.Registry)
    pending_by_incarnation: dict = attrs.field(factory=dict)
    running_suspects: set = attrs.field(factory=set)

    def receive_reports(self, forwarder, reports):
        """Apply ``CrashReport``s received from a control."""
        now = forwarder.clock.now()
        for report in reports:
            self._apply_report(forwarder, report, now)

    def _apply_report(self, forwarder, report, now):
        before = self.known.suspect_status(report.digest, now)
        if not self.known.apply_report(report, now):
            return False
        after = self.known.suspect_status(report.digest, now)
        if after is not before:
            forwarder.counters.incr(f"suspects.{after.value}")
            log.warning(
                after.value if report.life else "lifted",
                digest=report.digest.hex(),
                before=before.value,
                endpoint_id=report.life,
                age_ms=report.age_ms,
            )
        return True

    def record_local(self, forwarder, reports):
        """Apply reports of this entry, and share those that are new."""
        now = forwarder.clock.now()
        new_reports = [
            report
            for report in reports
            if self._apply_report(forwarder, report.to_message(now), now)
        ]
        if new_reports:
            self.sharing.publish(new_reports)


def digest_of(call):
    """Return the digest of *call*'s request."""
    if call.digest is None:
        request = call.request
        caller = call.workspace.name.encode() if call.workspace is not None else b""
        call.digest = digest.of_request(
            request.method, request.uri, caller, call.read_body()
        )
    return call.digest


def suspect_status(forwarder, call):
    """Return the ``SuspectStatus`` of *call*.

    Digests are computed only while there are suspects.
    """
    known = forwarder.quarantine.known
    if not len(known):
        return registry.SuspectStatus.CLEAR
    return known.suspect_status(digest_of(call), forwarder.clock.now())


def enter(forwarder, call):
    """Whether *call* may run; if not, its final response has been sent."""
    status = suspect_status(forwarder, call)
    if status is registry.SuspectStatus.CLEAR:
        return True
    running = forwarder.quarantine.running_suspects
    if status is registry.SuspectStatus.CONVICTED:
        refuse(forwarder, call, "convicted", registry.EXPIRY_MS)
    elif call.digest in running:
        refuse(forwarder, call, "suspect_at_work", SUSPECT_RETRY_AFTER_MS)
    else:
        running.add(call.digest)
        call.is_isolated = True
        return True
    return False


def refuse(forwarder, call, reason, retry_after_ms):
    """Refuse *call* with 503; it has not run."""
    responses.respond(
        forwarder,
        call.request,
        503,
        reason,
        retry_after_ms,
        digest=call.digest.hex(),
        service=call.service,
    )


def leave(forwarder, call):
    """Release the isolation of *call*, which has ended."""
    if call.is_isolated:
        forwarder.quarantine.running_suspects.discard(call.digest)
        call.is_isolated = False


def request_served(forwarder, call):
    """Clear *call*, which an endpoint has served without crashing."""
    quarantine = forwarder.quarantine
    if not len(quarantine.known) and not quarantine.pending_by_incarnation:
        return
    request_digest = digest_of(call)
    for pending in quarantine.pending_by_incarnation.values():
        pending.attempt_by_digest.pop(request_digest, None)
    suspect = quarantine.known.suspect_by_digest.get(request_digest)
    if suspect is not None and suspect.crashed_ms_by_incarnation:
        quarantine.record_local(
            forwarder,
            [sharing.PendingReport(request_digest, "", forwarder.clock.now())],
        )


def connection_ended(forwarder, call, member):
    """Start a check: the connection to *member* ended while *call* was running."""
    quarantine = forwarder.quarantine
    incarnation = pick.incarnation_key(member)
    pending = quarantine.pending_by_incarnation.get(incarnation)
    if pending is None or pending.is_listening:
        pending = quarantine.pending_by_incarnation[incarnation] = PendingCheck(
            member, forwarder.clock.now()
        )
        check_endpoint(forwarder, incarnation, pending).addErrback(_failed)
    pending.attempt_by_digest[digest_of(call)] = EndedAttempt(
        call.request_id, call.prompt_parts
    )


def _failed(failure):
    log.error("look_failed", error=failure.getTraceback())


@defer.inlineCallbacks
def check_endpoint(forwarder, incarnation, pending):
    """Check whether the endpoint of *pending* still listens, and discard it later."""
    yield forwarder.clock.sleep(CRASH_CHECK_DELAY_MS)
    if (yield forwarder.pool.refuses_connections(pending.member)):
        endpoint_crashed(forwarder, incarnation)
        return
    pending.is_listening = True
    yield forwarder.clock.sleep(RESTART_WINDOW_MS)
    pending_by_incarnation = forwarder.quarantine.pending_by_incarnation
    if pending_by_incarnation.get(incarnation) is pending:
        del pending_by_incarnation[incarnation]


def detect_restarts(forwarder):
    """Find crashed endpoints by their new incarnations, after a change of members."""
    pending_by_incarnation = forwarder.quarantine.pending_by_incarnation
    if not pending_by_incarnation:
        return
    members = [m for m in forwarder.view.endpoints() if not m.gone]
    for incarnation, pending in list(pending_by_incarnation.items()):
        if any(is_restart_of(member, pending.member) for member in members):
            endpoint_crashed(forwarder, incarnation)


def is_restart_of(member, earlier):
    """Whether *member* proves that the incarnation *earlier* has ended."""
    if member.service_name != earlier.service_name:
        return False
    if member.endpoint_id == earlier.endpoint_id:
        return (member.incarnation or 0) > (earlier.incarnation or 0)
    return (member.host, member.port) == (earlier.host, earlier.port)


def endpoint_crashed(forwarder, incarnation):
    """Attribute the crash of endpoint *incarnation* to all requests that ran there."""
    pending = forwarder.quarantine.pending_by_incarnation.pop(incarnation, None)
    if pending is None:
        return
    log.info(
        "endpoint_ended",
        endpoint_id=incarnation,
        requests=len(pending.attempt_by_digest),
    )
    for request_digest, attempt in pending.attempt_by_digest.items():
        log.info(
            "crash_attributed",
            request=responses.header_text(attempt.request_id),
            endpoint_id=incarnation,
            digest=request_digest.hex(),
            parts=attempt.parts,
        )
    forwarder.quarantine.record_local(
        forwarder,
        [
            sharing.PendingReport(
                request_digest, incarnation, pending.connection_ended_ms
            )
            for request_digest in pending.attempt_by_digest
        ],
    )
