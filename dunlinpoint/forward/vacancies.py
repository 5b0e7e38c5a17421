"""Asking ranks' agents how loaded their engines are."""

import attrs
from twisted.internet import defer

from dunlinpoint import logs
from dunlinpoint.routing import outage, pick, vacancy
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Rank, ttypes

log = logs.logger("entry")

# An agent of the own zone answers in 3 to 5 ms. One that takes longer than this has
# frozen, or a core that is busy; its rank is chosen by what the entry knows itself.
TIMEOUT_MS = 60


@attrs.define
class Vacancies:
    """Links to ranks' agents, by the address of the engine that each is beside."""

    links: rpc.Links
    agent_by_address: dict = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, reactor):
        """One that asks by links of *reactor*."""
        return cls(rpc.Links(reactor, Rank.Client, TIMEOUT_MS))

    def learn(self, ranks):
        """Take in the agents among *ranks* (``Member``)."""
        self.agent_by_address = {
            rank.engine: (rank.host, rank.port) for rank in ranks if rank.engine
        }

    def knows(self, members):
        """Whether any of *members* has an agent that can be asked."""
        return any(outage.address_of(m) in self.agent_by_address for m in members)

    @defer.inlineCallbacks
    def load(self, member):
        """The ``RankLoad`` of *member*, or ``None`` if nobody says."""
        agent = self.agent_by_address.get(outage.address_of(member))
        if agent is None:
            return None
        try:
            return (yield self.links.to(*agent).call("load"))
        except (errors.WireError, ttypes.Refused) as exc:
            log.warning("load_unknown", endpoint_id=member.endpoint_id, error=str(exc))
            return None

    @defer.inlineCallbacks
    def vacant(self, candidates, returned):
        """An endpoint with a slot free for a caller that has *returned*, or ``None``.

        ``candidates(full)`` gives the endpoints to ask next (``Member``, best first),
        without those whose lives are in *full*.
        """
        full = set()
        for _ in range(vacancy.ROUNDS):
            members = candidates(full)
            found = yield defer.gatherResults([self.load(m) for m in members])
            lives = [pick.life(member) for member in members]
            by_life = dict(zip(lives, found, strict=True))
            chosen = vacancy.choose(members, by_life, returned)
            if chosen is not None or len(members) < vacancy.ASKED:
                return chosen
            full.update(lives)
        return None
