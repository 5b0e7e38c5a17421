"""Detection, isolation and refusal of requests that crash their endpoint.

A crash is attributed to a request if the connection to the endpoint ended while the
request was running there and had not produced an event, and if afterwards nothing
listens at the endpoint's address or a new incarnation of the endpoint is announced.
After a network partition, an attempt aborted by this entry, a slow response or a
connection reset, the endpoint still listens and is not announced anew, so none of
these count.

A crash is recorded for the request as a whole and, if the parts of its prompt are
known, for each of them and for its caller; :mod:`~dunlinpoint.suspects.cause` compares
them. A request under which two endpoints have crashed is a suspect: it is not sent
again once it may have run, and at most one execution of it runs at a time at this
entry. A request under which three have crashed is convicted and refused at once. It
has not run, so the status is 503; a 4xx would blame the caller for a fault of the
endpoints. ``Retry-After`` is the time until the conviction expires.

An endpoint crashes when it begins to answer, so the first event of a stream clears
what the request consists of.
"""

import attrs
from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.answers import life_check
from dunlinpoint.forward import responses
from dunlinpoint.routing import pick
from dunlinpoint.suspects import cause, digest, registry, sharing

log = logs.logger("entry")

CRASH_CHECK_DELAY_MS = life_check.DELAY_MS
# How long others wait for the outcome of that check.
RELEASE_DELAY_MS = 2 * CRASH_CHECK_DELAY_MS
# How long after the end of a connection a new incarnation still confirms a crash.
RESTART_WINDOW_MS = 10_000
# Retry-After of a suspect while another execution of it is in progress.
SUSPECT_RETRY_AFTER_MS = 1000
# How long a suspect waits for another execution: a first event takes a fraction of it.
MAX_TURN_WAIT_MS = 500
TURN_POLL_INTERVAL_MS = 25


@attrs.frozen
class EndedAttempt:
    """A request that was running at an endpoint.

    ``subject_by_digest`` holds the digests that identify it, and what each names.
    """

    request_id: bytes | None
    prompt_parts: tuple
    subject_by_digest: dict


@attrs.define
class PendingCheck:
    """An endpoint whose connection ended, and the requests that were running there.

    ``connection_ended_ms`` is the time of the local clock at which it ended, and
    ``is_listening`` whether the endpoint was found to listen afterwards. ``served``
    holds the digests of requests that were served since.
    """

    member: object
    connection_ended_ms: int
    is_listening: bool = False
    attempts: list = attrs.field(factory=list)
    served: set = attrs.field(factory=set)

    def subject_by_digest(self):
        """The digests that the crash may be due to, and what each names."""
        found = {}
        for attempt in self.attempts:
            found |= attempt.subject_by_digest
        return {d: subject for d, subject in found.items() if d not in self.served}


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
                subject=report.subject,
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

    def republish(self, now):
        """Share all known crashes again.

        Entries that start get the reports from the controls, and the controls keep
        them in memory only.
        """
        reports = self.known.reports(registry.NO_REVISION, now)
        crashes = [
            sharing.PendingReport(r.digest, r.life, now - r.age_ms, r.subject)
            for r in reports
            if r.life
        ]
        if crashes:
            self.sharing.publish(crashes)


def digest_of(call):
    """Return the digest of *call*'s request."""
    if call.digest is None:
        request = call.request
        caller = call.workspace.name.encode() if call.workspace is not None else b""
        call.digest = digest.of_request(
            request.method, request.uri, caller, call.read_body()
        )
    return call.digest


def shared_subject_by_digest(call):
    """Return the digests that *call* shares with other requests, and what each names.

    Its caller is one of them only if the parts of its prompt are known.
    """
    if call.shared_subject_by_digest is None:
        subjects = [digest.part_subject(part) for part in call.prompt_parts]
        if subjects and call.workspace is not None:
            subjects.append(digest.caller_subject(call.workspace.name))
        call.shared_subject_by_digest = {
            digest.of_subject(subject): subject for subject in subjects
        }
    return call.shared_subject_by_digest


def subject_by_digest(call):
    """Return all digests that identify *call*, and what each names (``str``).

    The name of the request as a whole, which comes first, is empty.
    """
    return {digest_of(call): ""} | shared_subject_by_digest(call)


def judge(forwarder, call):
    """Return the ``cause.Verdict`` on *call*.

    Digests are computed only while there are suspects.
    """
    known = forwarder.quarantine.known
    if not len(known):
        return cause.CLEAR
    return cause.judge(known, subject_by_digest(call), forwarder.clock.now())


def suspect_status(forwarder, call):
    """Return the ``SuspectStatus`` of *call*."""
    return judge(forwarder, call).status


def is_refused(forwarder, call):
    """Whether *call* is convicted; its final response has been sent then."""
    if suspect_status(forwarder, call) is not registry.SuspectStatus.CONVICTED:
        return False
    refuse(forwarder, call, "convicted", registry.EXPIRY_MS)
    return True


def must_wait(forwarder, call):
    """Whether *call* is a suspect of which another execution is in progress.

    It waits for that one's first event for ``MAX_TURN_WAIT_MS`` at most.
    """
    verdict = judge(forwarder, call)
    if not verdict.isolated & forwarder.quarantine.running_suspects:
        return False
    now = forwarder.clock.now()
    if call.turn_limit_ms is None:
        call.turn_limit_ms = min(now + MAX_TURN_WAIT_MS, call.deadline_ms)
    return now < call.turn_limit_ms


def enter(forwarder, call):
    """Whether *call* may be sent now; if not, its final response has been sent."""
    if is_refused(forwarder, call):
        return False
    verdict = judge(forwarder, call)
    running = forwarder.quarantine.running_suspects
    if verdict.isolated & running:
        refuse(forwarder, call, "suspect_at_work", SUSPECT_RETRY_AFTER_MS)
        return False
    running |= verdict.isolated
    call.isolated = verdict.isolated
    return True


def refuse(forwarder, call, reason, retry_after_ms):
    """Refuse *call* with 503; it has not run."""
    responses.respond(
        forwarder,
        call.request,
        503,
        reason,
        retry_after_ms,
        digest=call.digest.hex(),
        parts=call.prompt_parts,
        service=call.service,
    )


def leave(forwarder, call, may_have_crashed=False):
    """Release the isolation of *call*, whose attempt has ended or is served.

    If its endpoint may have crashed, others wait until that has been checked.
    """
    digests, call.isolated = call.isolated, frozenset()
    running = forwarder.quarantine.running_suspects
    if digests and may_have_crashed:
        forwarder.clock.call_later(RELEASE_DELAY_MS, running.difference_update, digests)
    else:
        running -= digests


def request_served(forwarder, call):
    """Clear *call*, which an endpoint has begun to answer without crashing."""
    quarantine = forwarder.quarantine
    now = forwarder.clock.now()
    for shared in shared_subject_by_digest(call):
        quarantine.known.record_served(shared, now)
    if not len(quarantine.known) and not quarantine.pending_by_incarnation:
        return
    found = subject_by_digest(call)
    for pending in quarantine.pending_by_incarnation.values():
        pending.served |= found.keys()
    quarantine.record_local(
        forwarder,
        [
            sharing.PendingReport(served, "", now, subject)
            for served, subject in found.items()
            if quarantine.known.has_crashes(served)
        ],
    )
    leave(forwarder, call)


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
    pending.attempts.append(
        EndedAttempt(call.request_id, call.prompt_parts, subject_by_digest(call))
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
    log.info("endpoint_ended", endpoint_id=incarnation, requests=len(pending.attempts))
    for attempt in pending.attempts:
        log.info(
            "crash_attributed",
            request=responses.header_text(attempt.request_id),
            endpoint_id=incarnation,
            digest=next(iter(attempt.subject_by_digest)).hex(),
            parts=attempt.prompt_parts,
        )
    forwarder.quarantine.record_local(
        forwarder,
        [
            sharing.PendingReport(
                crashed, incarnation, pending.connection_ended_ms, subject
            )
            for crashed, subject in pending.subject_by_digest().items()
        ],
    )
