"""The control instances that a follower polls, and when they confirmed the document.

All known instances are polled, as endpoints announce themselves to any of them.
A follower is configured with some addresses (the seeds) and learns the others
from any instance that answers: the voters are part of the document, the rest are
members like endpoints. Once it knows some, it polls the seeds again only after
no instance has answered for a while, as a seed's address may have been reassigned
to another machine.
"""

import attrs

from dunlinpoint.control import voters
from dunlinpoint.wire import rpc
from dunlinpoint.wire.gen.dunlin import Control

CONTROL_TIMEOUT_MS = 1000
# After this time without any answer, the seeds are polled as well.
SEED_FALLBACK_MS = 3000


@attrs.define(eq=False)
class FollowedControl:
    """The polling state of one control instance.

    *confirmed_ms* is the last time at which it held no newer document than this
    process; *reports_revision* is that of the last crash reports received from it, and
    *notified_round* the last round of which it sent no body.
    """

    link: rpc.Link
    revision: int = 0
    member_ids: set = attrs.field(factory=set)
    confirmed_ms: int | None = None
    answered_ms: int | None = None
    node_id: str = ""
    zone: str | None = None
    notified_round: int = 0
    reports_revision: int = 0
    is_active: bool = True


@attrs.define
class Controls:
    """Polled control instances by address, a (host, port)."""

    reactor: object
    seeds: list
    started_ms: int
    followed_by_address: dict = attrs.field(factory=dict)

    def answered_ms(self):
        """The time of the last answer of any instance, or ``None``."""
        times = [f.answered_ms for f in self.followed_by_address.values()]
        return max((t for t in times if t is not None), default=None)

    def all(self):
        """All ``FollowedControl`` objects."""
        return self.followed_by_address.values()

    def update(self, known, now):
        """Poll only the addresses *known*; returns the new ``FollowedControl`` list."""
        answered_ms = self.answered_ms()
        last_ms = self.started_ms if answered_ms is None else answered_ms
        wanted = set(known)
        if not wanted or now - last_ms > SEED_FALLBACK_MS:
            wanted |= set(self.seeds)
        for address in [a for a in self.followed_by_address if a not in wanted]:
            followed = self.followed_by_address.pop(address)
            followed.is_active = False
            followed.link.close()
        added = []
        for host, port in sorted(wanted - set(self.followed_by_address)):
            link = rpc.Link(
                self.reactor, host, port, Control.Client, CONTROL_TIMEOUT_MS
            )
            followed = self.followed_by_address[host, port] = FollowedControl(link)
            added.append(followed)
        return added

    def confirmed_ms(self, voting):
        """The last time a majority of *voting* held no newer document, or ``None``.

        An instance that answers at a voter's address under another id started with
        an empty disk and does not hold what that voter may have accepted.
        """
        times = []
        for voter in voting:
            followed = self.followed_by_address.get(voter.address)
            if followed is None or followed.node_id != voter.node_id:
                continue
            if followed.confirmed_ms is not None:
                times.append(followed.confirmed_ms)
        needed = voters.majority(voting)
        if not voting or len(times) < needed:
            return None
        return sorted(times, reverse=True)[needed - 1]
