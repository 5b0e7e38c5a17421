"""Bodies without end at a port of ours, and those that are refused."""

import pytest
from twisted.internet.testing import StringTransport
from twisted.web import resource, static

from dunlinpoint import http_site

BLOCK = b"x" * 64 * 1024
CHUNK = b"%x\r\n" % len(BLOCK) + BLOCK + b"\r\n"
LIMIT_BYTES = 1024 * 1024


def connect():
    """A connection to a site that bounds bodies at ``LIMIT_BYTES``."""
    root = resource.Resource()
    root.putChild(b"known", static.Data(b"here", "text/plain"))
    channel = http_site.BoundedSite(root).buildProtocol(None)
    channel.max_body_bytes = LIMIT_BYTES
    transport = StringTransport()
    channel.makeConnection(transport)
    return channel, transport


def head(path, *lines):
    return b"\r\n".join([b"GET /" + path + b" HTTP/1.1", b"Host: h", *lines, b"", b""])


@pytest.mark.parametrize(
    ("line", "block", "limit_bytes"),
    [
        (b"Transfer-Encoding: chunked", CHUNK, LIMIT_BYTES + len(CHUNK)),
        (b"Content-Length: 100000000000", BLOCK, 0),
    ],
)
@pytest.mark.parametrize("path", [b"known", b"unknown"])
def test_a_body_without_end_closes_the_connection(path, line, block, limit_bytes):
    # Failure: a port reads a body, which it would refuse, for as long as it comes, and
    # takes processor time and disk for it.
    channel, transport = connect()
    channel.dataReceived(head(path, line))
    taken = 0
    while not transport.disconnecting and taken < 2 * LIMIT_BYTES:
        channel.dataReceived(block)
        taken += len(block)
    assert transport.disconnecting and taken <= limit_bytes
    assert transport.value().startswith(b"HTTP/1.1 413")
    channel.dataReceived(block)
    assert transport.value().count(b"HTTP/1.1") == 1


def test_requests_with_bodies_within_the_limit_are_answered():
    channel, transport = connect()
    for _ in range(20):
        channel.dataReceived(head(b"known", b"Content-Length: %d" % len(BLOCK)))
        channel.dataReceived(BLOCK)
    assert transport.value().count(b"HTTP/1.1 200") == 20
    assert not transport.disconnecting
