"""A round that nobody can complete any more, shown by calling the modules.

Three acceptors in memory, A, B and C. A decides and acknowledges change 2 with B. A's
``learn`` to B and its ``accept`` and ``learn`` to C get lost, its ``prepare`` of the
next round reaches C, and A loses its disk. Run with the Python of the project's
environment, in the repository.
"""

from twisted.internet import defer

from dunlinpoint.control import acceptor, agreement, voters
from dunlinpoint.wire import errors

A, B, C = ADDRESSES = [("127.0.0.1", 1), ("127.0.0.2", 2), ("127.0.0.3", 3)]
FOUNDERS = [voters.founder(*address) for address in ADDRESSES]
TRIES = 50


class Link:
    """Calls from one acceptor to another; those in *lost* fail."""

    def __init__(self, acceptors, lost, source, target):
        self.target = lambda: acceptors[target]
        self.is_lost = lambda method: (source, target, method) in lost

    def call(self, method, *args):
        if self.is_lost(method):
            return defer.fail(errors.NotSent("lost"))
        return defer.maybeDeferred(getattr(self.target(), method), *args)


def result_of(deferred):
    """The result of *deferred*, which has fired."""
    results = []
    deferred.addBoth(results.append)
    return results[0]


def make_acceptor(address, bootstrap):
    """An acceptor with an empty disk at *address*."""
    own = voters.founder(*address)
    return acceptor.Acceptor.from_config(None, own, FOUNDERS, bootstrap)


def main():
    acceptors = {address: make_acceptor(address, True) for address in ADDRESSES}
    lost = set()

    def peers(source):
        others = [address for address in ADDRESSES if address != source]
        return agreement.Peers(
            acceptors[source],
            lambda *target: Link(acceptors, lost, source, target),
            lambda: others,
        )

    def propose(source, version):
        text = f'{{"number": {version + 1}}}'
        change = agreement.propose(peers(source), version, f"{source}{version}", text)
        return result_of(change)

    print("change 1 at A:", propose(A, 0))
    lost |= {(A, B, "learn"), (A, C, "accept"), (A, C, "learn")}
    print("change 2 at A:", propose(A, 1))
    lost.clear()
    lost |= {(A, B, "prepare"), (A, B, "accept"), (A, C, "accept")}
    print("change 3 at A:", propose(A, 2))
    lost.clear()
    acceptors[A] = make_acceptor(A, False)
    reads, changes = [], []
    for _ in range(TRIES):
        for address in (B, C):
            reads.append(result_of(agreement.read(peers(address))))
            changes.append(propose(address, acceptors[address].committed.version))
    print("reads that succeeded:", sum(r is not None for r in reads), "of", len(reads))
    accepted = sum(change.accepted for change in changes)
    print("changes that succeeded:", accepted, "of", len(changes))
    for name, address in (("B", B), ("C", C)):
        own = acceptors[address]
        print(name, "round", own.round, "committed version", own.committed.version)


if __name__ == "__main__":
    main()
