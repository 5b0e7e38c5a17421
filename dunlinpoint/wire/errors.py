"""Errors of the wire layer, by what the caller knows about a failed call."""


class WireError(Exception):
    """A call between dunlinpoint's processes failed."""


class NotSent(WireError):
    """The call was not sent, as no connection could be made; it had no effect."""


class ConnectionRefused(NotSent):
    """No process listens at the peer's address."""


class OutcomeUnknown(WireError):
    """The call was sent but not answered (connection lost or timeout).

    The peer may or may not have executed it.
    """


class PeerFailed(OutcomeUnknown):
    """The peer reported an internal error; it may or may not have executed the call."""
