"""Clients for HTTP calls to engines, services and stores, with bounded answers.

Apart from :mod:`dunlinpoint.http_client`, as entries and controls need no ``treq``.
"""

import functools

import treq
from twisted.web import client, http_headers, iweb
from zope.interface import implementer

from dunlinpoint import http_client


@implementer(iweb.IAgent)
class IdentityAgent:
    """Passes requests to *agent* and refuses answers whose body is encoded.

    ``treq`` asks for bodies in gzip, and its decoder reports a cut one as complete.
    """

    def __init__(self, agent):
        self.agent = agent

    def request(self, method, uri, headers=None, bodyProducer=None):  # noqa: N803
        """Send a request; a Deferred of the response, or ``AnswerError``."""
        headers = headers.copy() if headers is not None else http_headers.Headers()
        headers.setRawHeaders(b"accept-encoding", [b"identity"])
        responding = self.agent.request(method, uri, headers, bodyProducer)
        return responding.addCallback(http_client.refuse_encoded)


def make(reactor):
    """A ``treq`` client on *reactor* whose heads are bounded.

    Pass ``unbuffered=True`` to its calls and read bodies with ``http_client.read``.
    """
    pool = http_client.Pool(reactor)
    return treq.client.HTTPClient(IdentityAgent(client.Agent(reactor, pool=pool)))


@functools.lru_cache(maxsize=1)
def default():
    """The client of this process on the global reactor."""
    from twisted.internet import reactor

    return make(reactor)
