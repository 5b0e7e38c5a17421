"""Connections of callers: counts unread bytes, closes callers that read nothing."""

import collections
import fcntl
import socket
import struct
import termios

from twisted.internet import error, task, tcp

from dunlinpoint import clock, logs
from dunlinpoint.routing import backpressure

log = logs.logger("entry")

# Bytes of an answer that the operating system takes for one caller where the entry's
# memory is bounded. By default, it takes several megabytes.
SEND_BUFFER_BYTES = 64 * 1024
# Twisted's buffer of one connection is filled up to this, which is also the amount at
# which it stops reading further requests of a caller that does not read.
GIVEN_BYTES = 64 * 1024
BACKLOG = 512
# Values of ``SO_LINGER``: a reset discards what the caller has not got yet.
LINGER_RESET, LINGER_NONE = struct.pack("ii", 1, 0), struct.pack("ii", 0, 0)


class CallerConnection(tcp.Server):
    """Transport of one caller that keeps its ``CallerBuffer``.

    Written bytes wait in ``queue`` and are given to Twisted's own buffer in small
    amounts, ``given_bytes`` at a time. Twisted joins all that it is given to one string
    and keeps it until its last byte is sent, which takes the memory of a large answer
    three times.
    """

    def __init__(self, sock, protocol, client, server, sessionno, reactor):
        super().__init__(sock, protocol, client, server, sessionno, reactor)
        self.clock = server.forwarder.clock
        self.buffer = backpressure.CallerBuffer(server.forwarder.buffers, self)
        self.queue = collections.deque()
        self.given_bytes = 0
        self.ends_by_reset = False

    def write(self, data):
        """Write *data* and count it as unread."""
        self.writeSequence((data,))

    def writeSequence(self, iovec):
        """Write the byte strings of *iovec* and count them as unread."""
        if not self.connected:
            return
        pieces = [piece for piece in iovec if piece]
        self.queue.extend(pieces)
        self._give()
        self.buffer.wrote(sum(map(len, pieces)), self.clock.now())

    def _give(self):
        while self.queue and self.given_bytes <= GIVEN_BYTES:
            piece = self.queue.popleft()
            self.given_bytes += len(piece)
            super().write(piece)

    def writeSomeData(self, data):
        """Hand *data* to the operating system and count what it has taken."""
        result = super().writeSomeData(data)
        if isinstance(result, int):
            self.given_bytes -= result
            self._give()
            self.buffer.sent(result, self.clock.now())
        return result

    def reset_unless_closed(self):
        """Let the connection end by a reset, unless this entry closes it in order.

        The operating system closes the connections of a process that ends in order,
        and the caller of an answer without length and chunks takes that for its end.
        """
        self.ends_by_reset = True
        self._set_linger(LINGER_RESET)

    def _set_linger(self, value):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def connectionLost(self, reason):
        """Release the buffer of a connection that is closed."""
        if self.ends_by_reset and reason.check(error.ConnectionDone):
            self._set_linger(LINGER_NONE)
        self.buffer.close(self.clock.now())
        self.queue.clear()
        super().connectionLost(reason)

    def queued_bytes(self):
        """Return how many bytes the operating system holds for the caller."""
        try:
            packed = fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(4))
        except OSError as exc:
            log.warning("queue_unknown", error=repr(exc))
            return 0
        return struct.unpack("i", packed)[0]


class CallerPort(tcp.Port):
    """Listening port whose connections are ``CallerConnection``."""

    transport = CallerConnection

    def __init__(self, reactor, forwarder, site, host, port):
        super().__init__(port, site, BACKLOG, host, reactor)
        self.forwarder = forwarder

    def createInternetSocket(self):
        """Create the socket; its connections inherit the size of the send buffer."""
        created = super().createInternetSocket()
        if self.forwarder.buffers.memory_bytes:
            created.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        return created


def close_timed_out(forwarder):
    """Close the connections of callers that read nothing for too long."""
    buffers = forwarder.buffers
    elapsed_ms = buffers.elapsed_ms(forwarder.clock.now())
    for buffer in list(buffers.waiting):
        if not buffer.has_timed_out(buffer.connection.queued_bytes(), elapsed_ms):
            continue
        forwarder.counters.incr("slow_reader.closed")
        log.warning(
            "slow_reader_closed",
            host=buffer.connection.getPeer().host,
            port=buffer.connection.getPeer().port,
            unread_ms=buffer.unread_ms,
            unread_bytes=buffer.unread + buffer.queued,
            held_bytes=buffers.total,
        )
        buffers.waiting.discard(buffer)
        buffer.connection.abortConnection()


def log_shedding(forwarder, on):
    """Log that the entry begins or ceases to refuse new requests."""
    if on:
        forwarder.counters.incr("load_shedding_began")
    log.warning(
        "load_shedding",
        on=on,
        held_bytes=forwarder.buffers.total,
        limit_bytes=int(forwarder.buffers.threshold_bytes),
        in_flight=forwarder.in_flight,
    )


def listen(reactor, forwarder, site, host, port):
    """Listen on *host*:*port* for callers of *site*; return the ``CallerPort``."""
    forwarder.buffers.on_shedding = lambda on: log_shedding(forwarder, on)
    listening_port = CallerPort(reactor, forwarder, site, host, port)
    listening_port.startListening()
    loop = task.LoopingCall(close_timed_out, forwarder)
    loop.clock = reactor
    loop.start(clock.seconds(backpressure.CHECK_INTERVAL_MS), now=False).addErrback(
        lambda failure: log.error("check_failed", error=failure.getTraceback())
    )
    return listening_port
