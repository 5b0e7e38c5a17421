"""How long an answer is checked that ended with its connection.

The checks end before the request's deadline, so that the answer can still be passed on.
"""

# Share of the remaining time that the checks of a plain answer take at most.
PLAIN_SHARE = 0.25
# The same of a stream, of which no event waits for them.
STREAM_SHARE = 0.5
# The longest checks: callers abandon a stream that is silent for two seconds.
MAX_MS = 1500
# The longest first check, before another endpoint is asked, whose events wait for it.
MAX_FIRST_MS = 300
# How long the rest of a stream is asked for that its endpoint has ended as complete.
CONFIRM_LIMIT_MS = 1500
# A process that stops may cut its streams first, and answer requests until its listener
# is closed: Python's socketserver looks every 0.5 s whether to stop.
SETTLE_MS = 600


def first_limit_ms(left_ms):
    """How long the first check takes of an answer whose request has *left_ms* left."""
    return min(left_ms * PLAIN_SHARE, MAX_FIRST_MS)


def limit_ms(left_ms, is_stream):
    """How long all checks take of an answer whose request has *left_ms* left."""
    return min(left_ms * (STREAM_SHARE if is_stream else PLAIN_SHARE), MAX_MS)
