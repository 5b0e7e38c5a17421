"""Random replacements and losses that the platform's ``faultTolerance`` allows.

Failure: no document is read or accepted any more, or an accepted one is lost, though
never more instances were lost at a time than are to be borne. An instance counts as
lost while it is down and until :data:`core.CATCH_UP_MS` after its start; one that is
removed does not count once its successor has run for that time.
"""

import random

import attrs
import pytest

from dunlinpoint.control.tests import core as cores

EVENTS = 12
MAX_GAP_MS = 6000
DOWN_MS = (500, 1000, 3500)
SPLIT_MS = 3000
MAX_SUCCESSORS = 3
RECOVERY_MS = 12_000
SEED_ADDRESSES = 3
SEEDS = 25


@attrs.define(eq=False)
class Play:
    """A core, the instances that count as lost, and those that are replaced."""

    core: cores.Core
    rng: random.Random
    tolerated: int
    lost_until_ms: dict = attrs.field(factory=dict)
    successor_by_host: dict = attrs.field(factory=dict)
    removed: set = attrs.field(factory=set)
    documents: int = 0
    lines: list = attrs.field(factory=list)

    def now(self):
        return round(self.core.reactor.seconds() * 1000)

    def note(self, *words):
        self.lines.append((self.now(), *words))

    def lost(self):
        return {h for h, until in self.lost_until_ms.items() if until > self.now()}

    def start_again(self, host):
        self.core.start(host)
        self.lost_until_ms[host] = self.now() + cores.CATCH_UP_MS
        self.note("starts", host)

    def present(self):
        return sorted(set(self.core.zone_by_host) - self.removed)

    def victim(self):
        """An instance that may be lost now, or ``None``."""
        if len(self.lost()) >= self.tolerated:
            return None
        usable = [h for h in self.present() if h not in self.lost()]
        return self.rng.choice([h for h in usable if h in self.core.state_by_host])

    def add_successor(self):
        free = set(self.present()) - set(self.successor_by_host)
        free -= set(self.successor_by_host.values())
        if len(self.successor_by_host) >= MAX_SUCCESSORS or not free:
            return
        old, new = self.rng.choice(sorted(free)), f"s{len(self.successor_by_host)}"
        self.successor_by_host[old] = new
        self.core.start(new, self.core.zone_by_host[old])
        self.lost_until_ms[new] = self.now() + cores.CATCH_UP_MS
        self.note("adds", new, "for", old)

    def remove(self):
        lost = self.lost()
        ready = [
            old
            for old, new in self.successor_by_host.items()
            if old not in self.removed and old not in lost and new not in lost
        ]
        ready = [old for old in ready if old in self.core.state_by_host]
        if not ready:
            return
        host, planned = self.rng.choice(ready), self.rng.random() < 0.6
        self.removed.add(host)
        self.note("removes", host, "planned" if planned else "killed")
        if planned:
            self.core.terminate(host)
        else:
            self.core.kill(host)

    def lose(self):
        host = self.victim()
        if host is None:
            return
        kind = self.rng.choice(["stop", "kill", "disk"])
        self.note(kind, host)
        down_ms = self.rng.choice(DOWN_MS)
        self.lost_until_ms[host] = self.now() + down_ms + cores.CATCH_UP_MS
        if kind == "stop":
            self.core.terminate(host)
        elif kind == "kill":
            self.core.kill(host)
        else:
            self.core.lose_disk(host)
        self.core.reactor.callLater(down_ms / 1000, self.restart, host)

    def restart(self, host):
        self.core.kill(host)
        self.start_again(host)

    def split(self):
        hosts = self.present()
        half = set(self.rng.sample(hosts, len(hosts) // 2))
        self.note("splits off", *sorted(half))
        self.core.halves = (half,)
        self.core.reactor.callLater(SPLIT_MS / 1000, self.heal)

    def heal(self):
        self.core.halves = ()

    def document(self):
        if not self.core.halves and not self.lost():
            name = f"document-{self.documents + 1}"
            if self.core.propose(name) is not None:
                self.documents += 1
                self.note("accepts", name)

    def run(self):
        events = [self.add_successor, self.remove, self.lose, self.document]
        events += [self.add_successor, self.remove, self.split]
        for _ in range(EVENTS):
            self.rng.choice(events)()
            gap_ms = self.rng.choice([0, 50, 500, 1000, 2500, MAX_GAP_MS])
            self.core.advance(gap_ms)
        self.heal()
        self.core.advance(RECOVERY_MS)


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize(
    ("zones", "tolerated"), [("abc", 1), ("abcde", 2), ("abcabc", 2)]
)
def test_losses_that_are_to_be_borne(tmp_path, zones, tolerated, seed):
    core = cores.Core.from_zones(tmp_path, list(zones), SEED_ADDRESSES)
    play = Play(core, random.Random(seed), tolerated)
    play.run()
    newest = f"document-{play.documents}" if play.documents else "first"
    assert set(core.read().values()) == {newest}, play.lines
    assert core.propose("last") is not None, play.lines
