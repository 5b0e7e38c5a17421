"""Which checks an answer gets that ended with its connection, and how long they take.

Whether another endpoint answers shows only when it is asked: the retry may be denied,
or nobody else may run. So a first, short check comes before that, and the checks that
take longer only once nobody else can settle the matter. All end before the request's
deadline and the exit of an entry that stops, so that the answer can be passed on.
"""

import enum

import attrs

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
# Kept for the last bytes of answers before a stopping entry cuts those that are left.
STOP_RESERVE_MS = 100
# What an entry that stops has left if it asks for the rest of a stream, and checks the
# endpoint after that if none came.
MIN_STOP_LEFT_MS = MAX_FIRST_MS + CONFIRM_LIMIT_MS + MAX_LAST_MS + STOP_RESERVE_MS


@attrs.frozen
class TimeLeft:
    """The time (ms) left for the checks of an answer.

    - ``deadline_ms``: until its request's deadline.
    - ``stop_ms``: until its entry cuts the answers that are left, ``None`` unless it
      stops.
    """

    deadline_ms: int
    stop_ms: int | None = None

    @classmethod
    def at(cls, now, deadline_ms, stop_ms):
        """What is left at *now* until *deadline_ms* and *stop_ms*, or ``None``."""
        until_stop_ms = None if stop_ms is None else max(0, stop_ms - now)
        return cls(max(0, deadline_ms - now), until_stop_ms)

    def all_ms(self):
        """All of the time."""
        if self.stop_ms is None:
            return self.deadline_ms
        return min(self.deadline_ms, max(0, self.stop_ms - STOP_RESERVE_MS))

    def first_limit_ms(self):
        """How long the first check takes before another endpoint is asked."""
        return min(self.deadline_ms * PLAIN_SHARE, MAX_FIRST_MS, self.all_ms())

    def limit_ms(self, is_stream):
        """How long all checks take."""
        share = STREAM_SHARE if is_stream else PLAIN_SHARE
        return min(self.deadline_ms * share, MAX_MS, self.all_ms())

    def last_limit_ms(self):
        """How long checks take at least that come after other endpoints were asked."""
        return min(self.deadline_ms * STREAM_SHARE, MAX_LAST_MS, self.all_ms())

    def allows_asking(self, is_stream):
        """Whether another endpoint is asked before its matter is settled.

        An entry that stops asks only for rests of streams: an endpoint that lives has
        sent its whole plain answer.
        """
        return self.stop_ms is None or is_stream and self.stop_ms >= MIN_STOP_LEFT_MS


class Check(enum.Enum):
    """What an answer was checked by.

    - ``FIRST``: whether its endpoint lives, a moment after its end.
    - ``SECOND``: the same later.
    - ``LEAVE``: whether its endpoint has announced its end since.
    """

    FIRST = "first"
    SECOND = "second"
    LEAVE = "leave"


def why_not_asked(is_repeatable, attempts_left, has_ids, is_in_time):
    """Why no other endpoint may be asked (``str``), or ``None`` if one may be."""
    if not is_repeatable:
        return "route"
    if attempts_left <= 0:
        return "attempts"
    if not has_ids:
        return "no_ids"
    return None if is_in_time else "stopping"


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
