"""What crashes may be due to, and which requests are refused for it.

Requests share callers and parts of prompts, so a crash is recorded under several
digests, and one of them at most is its cause. Counted by each digest alone, whatever
came along with the cause would be convicted as well, and stay so: what is refused
cannot be served, and is never cleared.

So digests are compared:

- What was served lately is proven, and convicted only after more crashes, as long as
  the crashes may be due to something that is not.
- Digests under which the same endpoints crashed are possible causes together, and only
  a request that has all of them is refused. A request that has some of them runs alone
  and without a retry: if it is served, these are cleared, and if its endpoint crashes,
  the others no longer explain all crashes.

The sets of endpoints are taken as the same if they differ by one, which another failure
may have crashed or whose report may be lost.
"""

import collections

import attrs

from dunlinpoint.suspects import registry

STATUS = registry.SuspectStatus
# Crashes by which the sets of two possible causes may differ.
TOLERATED_CRASHES = 1
# Crashes that convict what was served lately.
PROVEN_CONVICTED_CRASHES = 5


@attrs.frozen
class Verdict:
    """Whether a request may run.

    ``isolated`` holds the digests of a suspect of which no other request may run at
    the same time.
    """

    status: registry.SuspectStatus
    isolated: frozenset = frozenset()


CLEAR = Verdict(STATUS.CLEAR)


def judge(known, digests, now):
    """The ``Verdict`` on a request with *digests* by the ``Registry`` *known*.

    A suspect runs alone if it is one as a whole, if it has some of the possible causes
    of a conviction, or if nothing but what is proven may be the cause. Otherwise it is
    only not sent again.
    """
    digests = frozenset(digests)
    isolated, is_suspected = set(), False
    for digest in digests:
        suspect = known.find(digest, now)
        status = STATUS.CLEAR if suspect is None else suspect.suspect_status()
        if status is STATUS.CLEAR or is_explained(known, digest, now):
            continue
        causes = possible_causes(known, digest, now)
        if digest not in causes:
            continue
        is_suspected = True
        if status is STATUS.CONVICTED and convicts(known, digest, now):
            if causes <= digests:
                return Verdict(STATUS.CONVICTED)
            isolated |= causes & digests
        elif not suspect.subject or known.is_proven(digest, now):
            isolated.add(digest)
    if not is_suspected:
        return CLEAR
    return Verdict(STATUS.SUSPECTED, frozenset(isolated))


def convicts(known, digest, now):
    """Whether the crashes of *digest* suffice to refuse it, if nothing else is."""
    crashes = known.suspect_by_digest[digest].crashed_ms_by_incarnation
    return not known.is_proven(digest, now) or len(crashes) >= PROVEN_CONVICTED_CRASHES


def possible_causes(known, digest, now):
    """The digests that the crashes of *digest* may be due to.

    Those that are proven are left out unless all are.
    """
    crashes = _crash_count(known, digest)
    causes = set()
    for other, shared in _shared_crashes(known, digest).items():
        other_crashes = _crash_count(known, other)
        if shared < max(crashes, other_crashes) - TOLERATED_CRASHES:
            continue
        if other_crashes >= registry.SUSPECTED_CRASHES:
            causes.add(other)
    return {other for other in causes if not known.is_proven(other, now)} or causes


def is_explained(known, digest, now):
    """Whether all crashes of *digest*, and more than one other, are another's too.

    What is proven explains no crash of anything else.
    """
    crashes = _crash_count(known, digest)
    return any(
        shared == crashes
        and _crash_count(known, other) > crashes + TOLERATED_CRASHES
        and not known.is_proven(other, now)
        for other, shared in _shared_crashes(known, digest).items()
    )


def _crash_count(known, digest):
    return len(known.suspect_by_digest[digest].crashed_ms_by_incarnation)


def _shared_crashes(known, digest):
    """How many crashes of *digest* each digest has, by digest."""
    return collections.Counter(
        other
        for incarnation in known.suspect_by_digest[digest].crashed_ms_by_incarnation
        for other in known.digests_by_incarnation[incarnation]
    )
