"""Which control instances are followed, and what they vouch for.

All that are known are followed: endpoints announce themselves to any of
them. A follower is told some addresses at its start (the seeds) and learns
the others from any that answers: the voters come with the document, the rest
are members like endpoints are. Once it knows some, it asks the seeds again only
when nobody else has answered for a while; a seed may long be another machine.
"""

import attrs

from dunlinpoint.control import voters
from dunlinpoint.wire import rpc
from dunlinpoint.wire.gen.dunlin import Control

CONTROL_TIMEOUT_MS = 1000
# After so long without any answer, the seeds are asked as well.
LOST_MS = 3000


@attrs.define(eq=False)
class Follow:
    """One control instance as this process follows it.

    *confirmed_ms* is when it last held nothing newer than what we hold;
    *reports_revision* names the reports on requests that it has told.
    """

    link: rpc.Link
    revision: int = 0
    member_ids: set = attrs.field(factory=set)
    confirmed_ms: int | None = None
    answered_ms: int | None = None
    node_id: str = ""
    zone: str | None = None
    asks_bodies: bool = False
    reports_revision: int = 0
    wanted: bool = True


@attrs.define
class Controls:
    """Followed control instances by address."""

    reactor: object
    seeds: list
    started_ms: int
    followed_by_address: dict = attrs.field(factory=dict)

    def answered_ms(self):
        """When any of them last answered, or ``None``."""
        times = [f.answered_ms for f in self.followed_by_address.values()]
        return max((t for t in times if t is not None), default=None)

    def all(self):
        """Every ``Follow`` there is."""
        return self.followed_by_address.values()

    def update(self, known, now):
        """Follow the addresses *known*, drop others; the new ``Follow`` ones."""
        answered_ms = self.answered_ms()
        last_ms = self.started_ms if answered_ms is None else answered_ms
        wanted = set(known)
        if not wanted or now - last_ms > LOST_MS:
            wanted |= set(self.seeds)
        for address in [a for a in self.followed_by_address if a not in wanted]:
            follow = self.followed_by_address.pop(address)
            follow.wanted = False
            follow.link.close()
        added = []
        for host, port in sorted(wanted - set(self.followed_by_address)):
            link = rpc.Link(
                self.reactor, host, port, Control.Client, CONTROL_TIMEOUT_MS
            )
            follow = self.followed_by_address[host, port] = Follow(link)
            added.append(follow)
        return added

    def confirmed_ms(self, voting):
        """When a majority of *voting* last held nothing newer, or ``None``.

        Whoever answers at a voter's address under another id has an empty
        disk, and vouches for nothing the voter may have accepted.
        """
        times = []
        for voter in voting:
            follow = self.followed_by_address.get(voter.address)
            if follow is None or follow.node_id != voter.node_id:
                continue
            if follow.confirmed_ms is not None:
                times.append(follow.confirmed_ms)
        needed = voters.majority(voting)
        if not voting or len(times) < needed:
            return None
        return sorted(times, reverse=True)[needed - 1]
