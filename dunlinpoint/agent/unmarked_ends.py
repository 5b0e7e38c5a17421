"""Whether an answer of a server behind the agent is whole if nobody marked its end."""

import functools
import urllib.parse

from twisted.internet import defer, error

from dunlinpoint import clock, logs, probe
from dunlinpoint.answers import completeness, life_check
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("agent")

CHECK_LIMIT_MS = 500
PROBE_PATH = b"/"
PORT_BY_SCHEME = {"http": 80, "https": 443}


def checks(reactor):
    """The ``LifeChecks`` of an agent on *reactor*."""

    probe_server = functools.partial(ask, reactor)
    return life_check.LifeChecks(clock.Clock(reactor), probe_server)


@defer.inlineCallbacks
def ask(reactor, member):
    """A Deferred of the ``Evidence`` that a probe of the server *member* has found.

    Any answer will do: the servers behind an agent state no identity.
    """
    try:
        yield probe.read_head(reactor, member.host, member.port, PROBE_PATH, {})
    except error.ConnectionRefusedError:
        return life_check.Evidence.REFUSED
    except probe.NoAnswer:
        return life_check.Evidence.NONE
    return life_check.Evidence.ANSWERED


def checker(state, url, **fields):
    """The function ``is_whole(body)`` for answers of the server at *url*.

    The server must answer a moment later. A crash before the end of an answer and one
    right after it look the same. *fields* are
    logged with the decision.
    """
    parts = urllib.parse.urlsplit(url)
    port = parts.port or PORT_BY_SCHEME[parts.scheme]
    # Not the part of the URL: it may hold a user and a password.
    address = f"{parts.hostname}:{port}"
    member = ttypes.Member(endpoint_id=address, host=parts.hostname, port=port)

    @defer.inlineCallbacks
    def is_whole(body):
        evidence = yield state.life_checks.check(member, CHECK_LIMIT_MS)
        known = completeness.of_plain(evidence.life, is_leaving=False)
        log.info(
            "unmarked_end",
            endpoint_id=state.settings.endpoint_id,
            host=address,
            outcome=known.value,
            evidence=evidence.value,
            **fields,
        )
        return known is completeness.Completeness.COMPLETE

    return is_whole
