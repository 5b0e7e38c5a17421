"""HTTP client of one rank's engine, for its agent or a leader.

The agent runs on the same host as its rank's engine, where reports are fresh and
reading them costs the group nothing. Reading the counts from another machine stops the
whole group for a moment.
"""

from __future__ import annotations

import attrs
import treq
from twisted.internet import defer

from dunlinpoint import clock, http_calls, http_client

TIMEOUT_MS = 700
# A command is answered at once or not at all, so it is repeated sooner than a read.
COMMAND_TIMEOUT_MS = 150


class RankError(Exception):
    """The engine did not answer, or its answer is not that of a rank of a group."""


@attrs.frozen
class EnginePaths:
    """URL paths of an engine's own interface."""

    report: str = "/api/report"
    counts: str = "/api/picked"
    experts: str = "/api/picked?lists=1"
    command: str = "/api/order"


@attrs.frozen
class Engine:
    """The engine of one rank at *address* (``host:port``)."""

    address: str
    paths: EnginePaths
    read_state: object
    http: treq.client.HTTPClient
    reactor: object

    @classmethod
    def from_config(cls, reactor, address, paths, read_state):
        """The engine at *address*; *read_state* makes a ``RankState`` of its bodies."""
        return cls(address, paths, read_state, http_calls.make(reactor), reactor)

    @property
    def url(self):
        return f"http://{self.address}"

    def at(self, address):
        """Return a client of another rank's engine, at *address*."""
        return attrs.evolve(self, address=address)

    @defer.inlineCallbacks
    def _get(self, path):
        try:
            response = yield self.http.get(
                self.url + path, timeout=clock.seconds(TIMEOUT_MS), unbuffered=True
            )
            return (yield http_client.read_object(self.reactor, response, TIMEOUT_MS))
        except Exception as exc:
            raise RankError(repr(exc)) from exc

    @defer.inlineCallbacks
    def state(self, experts=False):
        """A Deferred of the rank's ``RankState``, with its experts if *experts*.

        Fails with ``RankError``, like :meth:`counts`.
        """
        report = yield self._get(self.paths.report)
        lists = (yield self._get(self.paths.experts)) if experts else None
        try:
            return self.read_state(report, lists)
        except (KeyError, TypeError) as exc:
            raise RankError(f"not a rank's report: {exc!r}") from exc

    @defer.inlineCallbacks
    def counts(self):
        """A Deferred of how often each expert of each set was chosen since start-up."""
        picked = yield self._get(self.paths.counts)
        try:
            return picked["counts"]
        except (KeyError, TypeError) as exc:
            raise RankError(f"not a rank's counts: {exc!r}") from exc

    @defer.inlineCallbacks
    def send_command(self, body_json, timeout_ms=COMMAND_TIMEOUT_MS):
        """Send the engine a command; a Deferred of its status, or 0 for no answer."""
        try:
            response = yield self.http.post(
                self.url + self.paths.command,
                data=body_json.encode(),
                headers={"Content-Type": "application/json"},
                timeout=clock.seconds(timeout_ms),
                unbuffered=True,
            )
            yield http_client.discard(self.reactor, response, timeout_ms)
        except Exception:
            return 0
        return response.code
