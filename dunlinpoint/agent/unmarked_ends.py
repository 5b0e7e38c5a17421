"""Whether an answer of a server behind the agent is whole if nobody marked its end."""

import urllib.parse

from twisted.internet import defer

from dunlinpoint import clock, logs, probe
from dunlinpoint.answers import completeness, crash_check
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("agent")

CHECK_LIMIT_MS = 500
PORT_BY_SCHEME = {"http": 80, "https": 443}


def checks(reactor):
    """The ``CrashChecks`` of an agent on *reactor*."""

    def refuses(member):
        return probe.refuses_connections(reactor, member.host, member.port)

    return crash_check.CrashChecks(clock.Clock(reactor), refuses)


def checker(state, url, **fields):
    """The function ``is_whole(body)`` for answers of the server at *url*.

    The server counts as crashed if it refuses connections a moment later. A crash
    before the end of an answer and one right after it look the same. *fields* are
    logged with the decision.
    """
    parts = urllib.parse.urlsplit(url)
    port = parts.port or PORT_BY_SCHEME[parts.scheme]
    # Not the part of the URL: it may hold a user and a password.
    address = f"{parts.hostname}:{port}"
    member = ttypes.Member(endpoint_id=address, host=parts.hostname, port=port)

    @defer.inlineCallbacks
    def is_whole(body):
        has_crashed = yield state.crash_checks.has_crashed(member, CHECK_LIMIT_MS)
        known = completeness.of_unmarked(
            is_stream=False,
            was_left_unread=False,
            silence_ms=0,
            has_crashed=has_crashed,
            is_leaving=False,
        )
        log.info(
            "unmarked_end",
            endpoint_id=state.settings.endpoint_id,
            host=address,
            outcome=known.value,
            has_crashed=has_crashed,
            **fields,
        )
        return known is completeness.Completeness.COMPLETE

    return is_whole
