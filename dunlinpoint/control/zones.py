"""The zones that this control instance knows to exist.

These are the configured zones, if any, and those of endpoints and controls that were
announced here or listed by another control since the start. A zone stays known when
all of its members are lost, which is when it is most likely to be evacuated.
"""

import attrs

# How long after its start an instance may not have heard of every zone: endpoints
# announce themselves every 1.2 s, and other controls may start at the same time.
STARTING_MS = 4000
# Far above the number of zones of a deployment; bounds what foreign heartbeats add.
MAX_SEEN_ZONES = 1000


@attrs.define
class Zones:
    """Zone names: ``configured`` ones (``frozenset``) and ``seen`` ones (``set``)."""

    configured: frozenset
    started_ms: int
    seen: set = attrs.field(factory=set)

    def record(self, names):
        """Record the zones of members."""
        for name in names:
            if name and len(self.seen) < MAX_SEEN_ZONES:
                self.seen.add(name)

    def is_known(self, name):
        """Whether the zone *name* is known to exist."""
        return name in self.configured or name in self.seen

    def is_complete(self, now):
        """Whether a zone that is not known can be taken not to exist."""
        return bool(self.configured) or now - self.started_ms >= STARTING_MS
