"""Discovery of the other control instances.

Every instance announces itself twice a second to all it knows: the configured
seeds, the voters, the instances that announced themselves here, and those in
other instances' member lists. So one seed that answers is enough, and the known
instances remain known when all seeds are lost. An announcement also carries the
sender's last round, which determines whether it may become a voter, the optional
features of agreement that it supports, and whether its process is about to end.
"""

import zlib

import attrs

from dunlinpoint.control import evacuation, voters
from dunlinpoint.wire.gen.dunlin import ttypes

KIND = "control"
ANNOUNCE_MS = 500
# The optional features of agreement that this build supports, a bit set.
FEATURES = evacuation.FEATURE
# How long an instance listed by another one is called without having announced
# itself here.
LISTED_TIMEOUT_MS = 5000


def checksum(addresses):
    """A CRC-32 of control instances' (host, port) pairs, in any order."""
    names = sorted(f"{host}:{port}" for host, port in addresses)
    return zlib.crc32(",".join(names).encode())


@attrs.define
class Announcement:
    """The last announcement of another instance.

    ``first_ms`` is when the first one of this instance was received.
    """

    voter: voters.Voter
    round: int
    received_ms: int
    features: int = 0
    leaving: bool = False
    joined_round: int = 0
    first_ms: int = 0


@attrs.define
class Controls:
    """Other control instances by id, and the addresses to call.

    Times (*now*, ``_ms``) are of this process's clock, in ms. ``leaving`` tells whether
    this process is about to end.
    """

    own: voters.Voter
    seeds: list
    started_ms: int
    leaving: bool = False
    own_joined_round: int | None = 0
    announcement_by_id: dict = attrs.field(factory=dict)
    listed_ms_by_address: dict = attrs.field(factory=dict)

    def set_seeds(self, seeds):
        """Replace the seeds by *seeds*, a sequence of (host, port)."""
        self.seeds = list(seeds)

    def record(self, heartbeat, now):
        """Record another instance's announcement."""
        voter = voters.Voter(
            heartbeat.endpoint_id, heartbeat.host, heartbeat.port, heartbeat.zone
        )
        known = self.announcement_by_id.get(voter.node_id)
        self.announcement_by_id[voter.node_id] = Announcement(
            voter,
            heartbeat.round or 0,
            now,
            heartbeat.features or 0,
            bool(heartbeat.draining),
            heartbeat.joined_round or 0,
            known.first_ms if known else now,
        )

    def record_listed(self, members, now):
        """Record the control instances among the *members* of another one."""
        for member in members:
            if member.kind == KIND and member.endpoint_id != self.own.node_id:
                self.listed_ms_by_address[member.host, member.port] = now

    def addresses(self, voting, now):
        """The sorted (host, port) of the other instances, *voting* included."""
        addresses = set(self.seeds) | {v.address for v in voting}
        addresses |= {a.voter.address for a in self.recent(now)}
        for address, listed_ms in list(self.listed_ms_by_address.items()):
            if now - listed_ms > LISTED_TIMEOUT_MS:
                del self.listed_ms_by_address[address]
            else:
                addresses.add(address)
        return sorted(addresses - {self.own.address})

    def recent(self, now):
        """Announcements within ``voters.REMOVAL_MS``; older ones are dropped."""
        for node_id, announcement in list(self.announcement_by_id.items()):
            if now - announcement.received_ms > voters.REMOVAL_MS:
                del self.announcement_by_id[node_id]
        return list(self.announcement_by_id.values())

    def silent_ms(self, node_id, now):
        """Time since the last announcement of the instance *node_id*, in ms."""
        if node_id == self.own.node_id:
            return 0
        announcement = self.announcement_by_id.get(node_id)
        return now - (
            announcement.received_ms if announcement is not None else self.started_ms
        )

    def leaving_ids(self, now):
        """The ids of instances, this one included, whose processes are to end."""
        leaving = {a.voter.node_id for a in self.recent(now) if a.leaving}
        return leaving | {self.own.node_id} if self.leaving else leaving

    def joined_round(self, node_id):
        """The round at which the instance *node_id* joined, 0 if unknown."""
        if node_id == self.own.node_id:
            return self.own_joined_round or 0
        announcement = self.announcement_by_id.get(node_id)
        return announcement.joined_round if announcement else 0

    def known_ms(self, node_id, now):
        """Time since the first announcement of the instance *node_id*, in ms."""
        announcement = self.announcement_by_id.get(node_id)
        return now - (announcement.first_ms if announcement else self.started_ms)

    def located(self, voting, now):
        """The list *voting*, with the zones that its members announce.

        The voters of the first round are known by their addresses only.
        """
        zone_by_id = {a.voter.node_id: a.voter.zone for a in self.recent(now)}
        zone_by_id[self.own.node_id] = self.own.zone
        return [attrs.evolve(v, zone=zone_by_id.get(v.node_id, v.zone)) for v in voting]

    def candidates(self, committed, now):
        """Live instances that do not vote, hold recent decisions and do not leave."""
        voting = {v.node_id for v in committed.voters}
        # In the first rounds, an instance without any decision would lag little enough.
        first_round = min(1, committed.round)
        min_round = max(first_round, committed.round - voters.MAX_LAG_ROUNDS)
        return [
            a.voter
            for a in self.recent(now)
            if a.voter.node_id not in voting
            and not a.leaving
            and now - a.received_ms <= voters.UNRESPONSIVE_MS
            and a.round >= min_round
        ]

    def without_feature(self, feature, voting, now):
        """Ids of live instances that do not announce *feature* (one bit).

        A voter that has not announced itself since the start of this instance counts
        as one of them until it is unresponsive.
        """
        lacking = [
            a.voter.node_id
            for a in self.recent(now)
            if now - a.received_ms <= voters.UNRESPONSIVE_MS
            and not a.features & feature
        ]
        known = {self.own.node_id, *self.announcement_by_id}
        if now - self.started_ms <= voters.UNRESPONSIVE_MS:
            lacking += [v.node_id for v in voting if v.node_id not in known]
        return lacking

    def to_heartbeat(self, committed):
        """This instance's announcement, a ``Heartbeat`` message."""
        return ttypes.Heartbeat(
            endpoint_id=self.own.node_id,
            zone=self.own.zone,
            host=self.own.host,
            port=self.own.port,
            kind=KIND,
            load=0,
            draining=self.leaving,
            config_version=committed.version,
            incarnation=0,
            group="",
            round=committed.round,
            features=FEATURES,
            joined_round=self.own_joined_round,
        )
