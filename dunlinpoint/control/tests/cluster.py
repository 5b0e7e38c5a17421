"""Control instances in one process, for tests of agreement."""

import attrs
from twisted.internet import defer

from dunlinpoint.control import acceptor, agreement, voters
from dunlinpoint.wire import errors

PORT = 7000


def result(d):
    """The result of a Deferred that has fired."""
    out = []
    d.addBoth(out.append)
    return out[0]


@attrs.define(eq=False)
class Link:
    """Calls from one node to another, which fail if their link is cut."""

    net: object
    caller: str
    host: str

    def call(self, method, *args):
        if self.net.is_cut(self.caller, self.host) or self.host not in self.net.by_host:
            return defer.fail(errors.NotSent("cut"))
        node = self.net.by_host[self.host]
        return defer.maybeDeferred(getattr(node, method), *args)


@attrs.define(eq=False)
class Net:
    """Acceptors by host name, and the cut hosts and pairs of hosts."""

    folder: object
    founders: list
    by_host: dict = attrs.field(factory=dict)
    cuts: set = attrs.field(factory=set)

    def is_cut(self, one, other):
        return one != other and bool({one, other, frozenset((one, other))} & self.cuts)

    def cut(self, one, other=None):
        """Cut *one* off from *other*, or from everyone."""
        self.cuts.add(one if other is None else frozenset((one, other)))

    def start(self, host, bootstrap=False, disk=None):
        """Start or restart the instance at *host*, on its disk or a new *disk*."""
        own = [v for v in self.founders if v.host == host]
        self.by_host[host] = acceptor.Acceptor.from_config(
            str(self.folder / (disk or host)),
            own[0] if own else None,
            self.founders,
            bootstrap,
        )
        return self.by_host[host]

    def peers(self, host):
        """The ``Peers`` of the instance at *host*."""

        def known_addresses():
            return [(other, PORT) for other in self.by_host if other != host]

        return agreement.Peers(
            self.by_host[host], lambda to, _port: Link(self, host, to), known_addresses
        )

    def propose(self, host, expected, change_id, text="{}"):
        """The outcome of a change proposed at *host*."""
        return result(agreement.propose(self.peers(host), expected, change_id, text))

    def voter(self, host):
        """The instance at *host* as a voter."""
        return voters.Voter(self.by_host[host].node_id, host, PORT)

    def change_voters(self, at, hosts):
        """Propose at *at* that the instances at *hosts* vote; whether it succeeded."""
        next_voters = [self.voter(host) for host in hosts]
        return result(agreement.change_voters(self.peers(at), next_voters))

    def change_evacuation(self, at, zone, active):
        """Propose at *at* that *zone* is evacuated or not; whether it succeeded."""
        return result(agreement.change_evacuation(self.peers(at), zone, active))

    def catch_up(self, host):
        """Learn at *host* the newest decision of the instances it can reach."""
        found = result(
            agreement.check_founding(
                self.peers(host),
                next((v for v in self.founders if v.host == host), None),
                self.founders,
            )
        )
        for other, node in self.by_host.items():
            if not self.is_cut(host, other):
                self.by_host[host].commit(node.committed)
        return found


def make(folder, size=3, bootstrap=True):
    """A net of *size* founding instances, started for the first time."""
    net = Net(folder, [voters.founder(f"c{i}", PORT) for i in range(size)])
    for i in range(size):
        net.start(f"c{i}", bootstrap)
    return net
