"""The Retry-After of a refusal for want of capacity.

It states when the entry expects capacity, and is spread, so that callers refused at the
same moment do not return at the same moment. A caller obeys a Retry-After of up to a
third of its time left.
"""

from dunlinpoint.routing import admission_control, outage

# Range after a refusal at once, because of long steps over a long window: callers that
# return sooner find the same overload.
OVERLOAD_RANGE_MS = (1800, 2600)
# Range after a wait that ended. Streams last a second or two, so enough of them end in
# that time.
WAIT_ENDED_RANGE_MS = (500, 1500)
# A retry is recognised by its time left, so it must come later than this many times the
# time in which a caller counts as a first attempt.
RECOGNISED_FACTOR = 1.1


def draw_ms(is_overload, rng):
    """A Retry-After (ms) after a refusal at once (*is_overload*) or after a wait."""
    return rng.uniform(*(OVERLOAD_RANGE_MS if is_overload else WAIT_ENDED_RANGE_MS))


def after_refusal_ms(is_overload, left_ms, timeout_ms, rng):
    """The Retry-After (ms) of a competing caller that is refused.

    It is refused at once (*is_overload*) or after a wait, and has *left_ms* left of its
    route's *timeout_ms*.
    """
    wanted_ms = draw_ms(is_overload, rng)
    first_attempt_ms = (1 - admission_control.FIRST_ATTEMPT_FRACTION) * timeout_ms
    elapsed_ms = timeout_ms - left_ms
    recognised_ms = RECOGNISED_FACTOR * first_attempt_ms - elapsed_ms
    return min(max(wanted_ms, recognised_ms), outage.max_retry_after_ms(left_ms))
