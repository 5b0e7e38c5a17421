"""Clients for HTTP calls to engines, services and stores, with bounded answers.

Apart from :mod:`dunlinpoint.http_client`, as entries and controls need no ``treq``.
"""

import functools

import treq
from twisted.web import client

from dunlinpoint import http_client


def make(reactor):
    """A ``treq`` client on *reactor* whose heads are bounded.

    Pass ``unbuffered=True`` to its calls and read bodies with ``http_client.read``.
    """
    pool = http_client.Pool(reactor)
    return treq.client.HTTPClient(client.Agent(reactor, pool=pool))


@functools.lru_cache(maxsize=1)
def default():
    """The client of this process on the global reactor."""
    from twisted.internet import reactor

    return make(reactor)
