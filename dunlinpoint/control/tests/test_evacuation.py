"""Orders to begin and end the evacuation of a zone: copies, failures, old builds."""

import attrs
import pytest
from twisted.internet import task

from dunlinpoint import clock, metrics
from dunlinpoint.control import (
    agreement,
    discovery,
    evacuation,
    evacuation_orders,
    suspension,
    voters,
    zones,
)
from dunlinpoint.control.tests import cluster
from dunlinpoint.wire.gen.dunlin import ttypes

ZONES = frozenset(("z1", "z2"))
STEP_S = 0.15
START_S = 100


class Operator:
    """Orders at the instances of a net, on one clock."""

    def __init__(self, net, configured=ZONES):
        self.net = net
        self.reactor = task.Clock()
        self.reactor.advance(START_S)
        self.configured = configured
        self.orders_by_host = {host: self.start(host) for host in net.by_host}

    def start(self, host):
        """The ``Orders`` of the instance at *host*, as after a long time."""
        ms_clock = clock.Clock(self.reactor)
        return evacuation_orders.Orders(
            ms_clock,
            metrics.Counters(None),
            self.net.peers(host),
            discovery.Controls(self.net.voter(host), [], 0),
            zones.Zones(self.configured, 0),
            suspension.SuspensionDetector(ms_clock.now()),
        )

    def send(self, host, zone, active, accepted_ms=None):
        """A list that gets the outcome of an order sent to *host*."""
        outcomes = []
        orders = self.orders_by_host[host]
        orders.carry_out(zone, active, accepted_ms).addCallback(outcomes.append)
        return outcomes

    def advance(self, steps):
        for _ in range(steps):
            self.reactor.advance(STEP_S)
            for orders in self.orders_by_host.values():
                orders.suspensions.tick(orders.clock.now())

    def order(self, host, zone, active):
        """The outcome of an order that is sent to *host* and waited for."""
        outcomes = self.send(host, zone, active)
        while not outcomes:
            self.advance(1)
        return outcomes[0]


@attrs.define
class FrozenPeers:
    """The ``Peers`` of an instance that freezes before it has the voters' promises."""

    peers: agreement.Peers
    prepare: object

    def __getattr__(self, name):
        return getattr(self.peers, name)


@pytest.fixture
def operator(tmp_path):
    return Operator(cluster.make(tmp_path))


def evacuated(operator, host="c0"):
    committed = operator.net.by_host[host].committed
    return evacuation.active_zones(committed.evacuations)


def test_documents_and_voters_carry_evacuations_on_and_vice_versa(operator):
    # Failure: a document or a change of voters ends an evacuation, or an evacuation
    # reverts the document, because a proposal carries only what it changes.
    net = operator.net
    assert net.propose("c0", 0, "one").accepted
    assert operator.order("c1", "z1", True).accepted
    assert net.propose("c2", 1, "two").accepted
    net.start("c3")
    net.catch_up("c3")
    assert net.change_voters("c0", ["c1", "c2", "c3"])
    assert operator.order("c1", "z2", True).accepted
    for host in ("c1", "c2", "c3"):
        net.catch_up(host)
        committed = net.by_host[host].committed
        assert evacuated(operator, host) == {"z1", "z2"}
        assert (committed.version, committed.change_id) == (2, "two")
        assert [v.host for v in committed.voters] == ["c1", "c2", "c3"]
        assert net.by_host[host].version_of("two") == 2


def test_an_order_that_was_accepted_is_acknowledged_again(operator):
    assert operator.order("c0", "z1", True).reason == ""
    number = operator.net.by_host["c0"].committed.round
    assert operator.order("c1", "z1", True).reason == "held"
    assert operator.order("c2", "z2", False).reason == "held"
    assert operator.net.by_host["c0"].committed.round == number


@pytest.mark.parametrize("revoked", [True, False])
def test_a_copy_that_follows_its_own_or_the_opposite_order(operator, revoked):
    # Failure: an evacuation that was ended begins again, or an order that was carried
    # out is refused. c0 is cut off with a copy of the order to begin it; the operator
    # sends it to c1, and may end the evacuation there.
    operator.net.cut("c0")
    copy = operator.send("c0", "z1", True)
    assert operator.order("c1", "z1", True).accepted
    if revoked:
        assert operator.order("c1", "z1", False).accepted
    assert not copy
    operator.net.cuts = set()
    operator.advance(evacuation_orders.MAX_ATTEMPTS)
    assert [o.reason for o in copy] == ["superseded" if revoked else ""]
    assert evacuated(operator) == (set() if revoked else {"z1"})


def test_an_instance_that_missed_rounds_does_not_acknowledge_by_its_own_state(operator):
    # Failure: an order is acknowledged without effect. c0 still has the evacuation as
    # active, which was ended while c0 was cut off; then an order to begin it arrives.
    assert operator.order("c0", "z1", True).accepted
    operator.net.cut("c0")
    assert operator.order("c1", "z1", False).accepted
    operator.net.cuts = set()
    first = operator.order("c0", "z1", True)
    assert (first.accepted, first.reason) == (False, "superseded")
    assert operator.order("c0", "z1", True).accepted
    assert evacuated(operator, "c1") == {"z1"}


def test_without_a_quorum_nothing_is_decided_or_acknowledged(operator):
    operator.net.cut("c0")
    for active in (True, False):
        outcome = operator.order("c0", "z1", active)
        assert (outcome.accepted, outcome.reason) == (False, "no_quorum")
    assert evacuated(operator) == set()


def test_an_order_whose_control_freezes_during_its_round_is_dropped(operator):
    # Failure: an order takes effect long after its operator has given it up, by a
    # control that was frozen between the two phases of a round.
    peers = operator.orders_by_host["c0"].peers
    prepare = peers.prepare

    def freeze(*args):
        operator.reactor.advance(evacuation_orders.ORDER_TIMEOUT_MS / 1000)
        return prepare(*args)

    operator.orders_by_host["c0"].peers = FrozenPeers(peers, freeze)
    assert operator.order("c0", "z1", True).reason == "order_too_late"
    assert operator.net.by_host["c1"].accepted is None
    assert evacuated(operator) == set()


def test_an_order_of_a_control_killed_before_it_announced_the_result(operator):
    # Failure: an acknowledged evacuation is lost. c0 and c1 accept it; c0 is killed
    # before it announces the result, and c2 proposes a document.
    net = operator.net
    first = net.by_host["c0"]
    decided = attrs.evolve(
        first.committed,
        round=1,
        evacuations=(evacuation.Evacuation("z1", True, 1),),
    )
    ballot = first.next_ballot()
    for host in ("c0", "c1"):
        node = net.by_host[host]
        node.prepare(1, ballot, node.node_id)
        assert node.accept(1, ballot, decided.to_message(), node.node_id)
    net.cut("c0")
    assert net.propose("c2", 0, "one").accepted
    assert evacuated(operator, "c2") == {"z1"}
    assert cluster.result(agreement.read(net.peers("c1"))).version == 1


def test_evacuations_outlive_restarts_and_a_lost_disk(operator):
    net = operator.net
    assert operator.order("c0", "z1", True).accepted
    for host in ("c0", "c1"):
        net.start(host)
    net.start("c2", disk="new")
    net.catch_up("c2")
    assert all(evacuated(operator, host) == {"z1"} for host in net.by_host)
    assert net.change_voters("c0", ["c0", "c1", "c2"])
    assert evacuated(operator, "c0") == {"z1"}


def test_a_state_file_without_evacuations_loads_as_none(operator):
    # Failure: after an upgrade a control does not start, or after a rollback of a
    # deployment that never used evacuations the old build does not.
    node = operator.net.by_host["c0"]
    saved = node.store.load()
    assert "evacuations" not in saved["committed"]
    assert operator.net.start("c0").committed.evacuations == ()
    assert operator.order("c1", "z1", True).accepted
    assert "evacuations" in operator.net.by_host["c1"].store.load()["committed"]


def test_orders_are_refused_while_a_control_does_not_know_evacuations(operator):
    # Failure: a control of the old build proposes a document without the evacuations.
    controls = operator.orders_by_host["c0"].controls
    old = ttypes.Heartbeat(endpoint_id="old", host="o", port=1, zone="z1", round=1)
    controls.record(old, START_S * 1000)
    assert operator.order("c0", "z1", True).reason == "evacuation_unsupported"
    upgraded = controls.to_heartbeat(operator.net.by_host["c0"].committed)
    upgraded.endpoint_id = "old"
    controls.record(upgraded, clock.Clock(operator.reactor).now())
    assert operator.order("c0", "z1", True).accepted


def test_a_live_voter_that_was_not_heard_yet_may_be_an_old_one(operator):
    orders = operator.orders_by_host["c0"]
    orders.controls.started_ms = orders.clock.now()
    assert operator.send("c0", "z1", True)[0].reason == "evacuation_unsupported"
    operator.advance(int(voters.UNRESPONSIVE_MS / 1000 / STEP_S) + 1)
    assert operator.order("c0", "z1", True).accepted


def test_messages_of_an_old_build_do_not_drop_evacuations(operator):
    # Failure: a control of the old build that was cut off while the order was decided
    # returns, proposes a document, and the evacuated zone gets requests again.
    assert operator.order("c0", "z1", True).accepted
    node = operator.net.by_host["c1"]
    message = node.committed.to_message()
    message.round, message.version, message.evacuations = 2, 1, None
    assert node.accept(2, node.next_ballot(), message, node.node_id)
    node.commit(node.accepted)
    assert (node.committed.version, evacuated(operator, "c1")) == (1, {"z1"})


@pytest.mark.parametrize(
    ("accepted_s", "refused"), [(-50, True), (0.9, True), (1.1, False)]
)
def test_orders_that_may_have_waited_in_a_frozen_process(operator, accepted_s, refused):
    # Failure: a frozen control reads a copy of an order when it wakes up, after the
    # opposite order was acknowledged elsewhere, and takes it as a new one.
    operator.reactor.advance(suspension.SUSPENDED_MS / 1000 + 0.5)
    woke_ms = operator.orders_by_host["c0"].clock.now()
    operator.orders_by_host["c0"].suspensions.tick(woke_ms)
    operator.advance(20)
    outcome = operator.send("c0", "z1", True, woke_ms + accepted_s * 1000)[0]
    assert (outcome.reason == "order_waited") == refused


def test_an_order_read_before_any_timer_has_run_after_a_suspension(operator):
    operator.reactor.advance(suspension.SUSPENDED_MS / 1000 + 0.5)
    assert operator.send("c0", "z1", True)[0].reason == "order_waited"


def test_a_zone_is_unknown_only_if_this_control_can_tell(operator):
    # Failure: an order that was accepted is refused as for an unknown zone when it is
    # sent again, to a control that knows no member of the zone, or has just started.
    assert operator.order("c0", "z9", True).reason == "unknown_zone"
    operator.net.cut("c0")
    assert operator.order("c0", "z9", True).reason == "zone_unsure"
    operator.net.cuts = set()
    operator.orders_by_host["c1"].zones.record(["z9"])
    assert operator.order("c1", "z9", True).accepted
    assert operator.order("c0", "z9", False).accepted


def test_without_configured_zones_a_starting_control_cannot_tell(tmp_path):
    operator = Operator(cluster.make(tmp_path), frozenset())
    known = operator.orders_by_host["c0"].zones
    known.started_ms = START_S * 1000
    assert operator.order("c0", "z1", True).reason == "zone_unsure"
    operator.advance(int(zones.STARTING_MS / 1000 / STEP_S) + 1)
    assert operator.order("c0", "z1", True).reason == "unknown_zone"
    known.record(["z1"])
    assert operator.order("c0", "z1", True).accepted


def test_eight_orders_at_once_at_two_instances(operator):
    names = frozenset(f"z{n}" for n in range(8))
    for orders in operator.orders_by_host.values():
        orders.zones.configured = names
    sent = [
        operator.send(f"c{n % 2}", zone, True) for n, zone in enumerate(sorted(names))
    ]
    operator.advance(evacuation_orders.MAX_ATTEMPTS)
    assert all(outcomes[0].accepted for outcomes in sent)
    assert evacuated(operator, "c2") == names


def test_a_list_that_an_old_build_dropped_is_completed_by_zone():
    # Guards against an evacuation that reverts: an instance learns its round from an
    # old build, which drops the list, and proposes the next decision without it.
    begun = evacuation.Evacuation("z1", True, 4)
    ended = evacuation.Evacuation("z1", False, 6)
    other = evacuation.Evacuation("z2", True, 5)
    messages = [ended.to_message()]
    assert evacuation.from_messages(messages, (begun, other)) == (ended, other)
    assert evacuation.from_messages([begun.to_message()], (ended,)) == (ended,)
    assert evacuation.from_messages(None, (begun,)) == (begun,)
    assert evacuation.from_messages([], (begun,)) == (begun,)
