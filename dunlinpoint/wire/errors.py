"""Errors of the wire layer: what a caller can know about a failed call."""


class WireError(Exception):
    """A call between our processes did not get an answer."""


class NotSent(WireError):
    """The call never left: no connection could be made. The peer did nothing."""


class OutcomeUnknown(WireError):
    """The call was sent but no answer came (connection lost or timeout).

    The peer may or may not have acted on it.
    """


class PeerFailed(OutcomeUnknown):
    """The peer answered that it failed within; it may have acted or not."""
