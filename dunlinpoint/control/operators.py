"""Operators' documents numbered by the console: the highest number wins.

A console that numbers its documents does not base a change on one of control's
versions; it sends complete documents to any control instance and retries after a
lost answer, while another operator may do the same. The rules:

- A document with a higher number than the one in force replaces it.
- A document whose number is not higher is acknowledged without a change: it is a
  retry or was superseded. Of two with equal numbers, the first one decided stays,
  whatever the content of the other.
- A change is acknowledged only once a majority of acceptors hold it.
"""

import hashlib
import json
import random

import attrs
from twisted.internet import defer, task

from dunlinpoint import clock
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.control import agreement

MAX_ATTEMPTS = 6
RETRY_DELAY_MS = (30, 120)


@attrs.define
class NumberCache:
    """The console's number of the document in force, parsed once per version."""

    version: int = 0
    number: int = 0

    def number_of(self, document):
        """The number of *document* (a ``Decision``)."""
        if document.version != self.version:
            self.version = document.version
            self.number = json.loads(packed.unpack(document.body)).get("number", 0)
        return self.number


@defer.inlineCallbacks
def replace(reactor, peers, numbers, doc):
    """Put *doc* in force unless the current number is as high.

    Returns a Deferred of an ``Outcome``. Concurrent proposers can invalidate each
    other's ballots; each waits a random time before the next attempt, so that one
    of them succeeds.
    """
    text = config.dump(doc)
    change_id = hashlib.sha256(text.encode()).hexdigest()[:24]
    outcome = agreement.Outcome(False, 0, "no_quorum")
    for _ in range(MAX_ATTEMPTS):
        current = peers.local.committed
        if numbers.number_of(current) >= doc.number:
            return agreement.Outcome(True, current.version, "held")
        outcome = yield agreement.propose(peers, current.version, change_id, text)
        if outcome.accepted:
            return outcome
        delay_ms = random.uniform(*RETRY_DELAY_MS)
        yield task.deferLater(reactor, clock.seconds(delay_ms), lambda: None)
    return outcome
