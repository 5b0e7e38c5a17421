"""Which checks an answer gets that ended with its connection, and how long they take.

Whether another endpoint answers shows only when it is asked: the retry may be denied,
or nobody else may run. So a first, short check comes before that, and the checks that
take longer only once nobody else can settle the matter. All end before the request's
deadline, so that the answer can still be passed on.
"""

from dunlinpoint.answers import life_check

# Share of the remaining time that the checks of a plain answer take at most.
PLAIN_SHARE = 0.25
# The same of a stream, of which no event waits for them.
STREAM_SHARE = 0.5
# The longest checks: callers abandon a stream that is silent for two seconds.
MAX_MS = 1500
# The longest first check, before another endpoint is asked, whose events wait for it.
MAX_FIRST_MS = 300
# The longest checks after other endpoints were asked for long.
MAX_LAST_MS = 200
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


def last_limit_ms(left_ms):
    """How long checks take at least that come after other endpoints were asked."""
    return min(left_ms * STREAM_SHARE, MAX_LAST_MS)


def is_checked_twice(evidence, left_ms):
    """Whether a stream of an endpoint that lived, by *evidence*, is checked once more.

    One that has announced its end since is not: it goes on to exit.
    """
    return (
        evidence.life is life_check.Life.ALIVE
        and evidence is not life_check.Evidence.DEREGISTERED
        and left_ms > life_check.MIN_WAIT_MS
    )


def second_delay_ms(since_ms):
    """After what time a second check begins, *since_ms* after the end of the answer."""
    return SETTLE_MS if since_ms < SETTLE_MS else life_check.DELAY_MS


def waits_for_leave(evidence, was_leaving, had_left):
    """Whether only the end that its endpoint announces can show a stream to be whole.

    An endpoint that leaves may stop listening before that. News of one that *had_left*
    by the end of its stream tell nothing of that.
    """
    return evidence.life is life_check.Life.ENDED and was_leaving and not had_left
