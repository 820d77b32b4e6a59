"""Exchange of totals in a simulated fleet, without sockets and with its own clock."""

from __future__ import annotations

import math
from collections import Counter

import attrs
import pytest

from teaseldyke.gateway.interfaces import FeedRole, Peer
from teaseldyke.gateway.membership import (
    ALIVE_TIMEOUT_S,
    MEMBER_TTL_S,
    PROBE_INTERVAL_S,
    Membership,
)
from teaseldyke.gateway.sums import (
    FleetTotals,
    Sums,
    TotalsMessage,
    add_up,
    newest_limits,
    start_number,
)

ROUND_S = 0.1
SERVER = 7


@attrs.define
class Instance:
    """One instance with one request in flight at one backend server."""

    membership: Membership
    totals: FleetTotals
    number: int = 0
    sent: int = 0

    @property
    def name(self) -> str:
        return self.membership.own.name

    def running(self, now_s: float) -> int:
        """Return the requests in flight at the server, as known to this instance."""
        own = Sums({SERVER: (10, 1, 100)})
        others = self.totals.neighbour_sums(
            now_s
        ) + self.totals.other_neighbourhood_sums(now_s)
        return add_up([own, *others]).loads[SERVER][1]


class SimulatedFleet:
    def __init__(self, size: int) -> None:
        self.now_s = 100.0
        self.instances: dict[str, Instance] = {}
        self.lost: set[str] = set()
        for i in range(size):
            self.start(f"node-{i}")

    def start(self, name: str) -> None:
        """Start an instance that knows those started before it."""
        membership = Membership(Peer(name, "127.0.0.1", 1))
        for other in self.instances.values():
            membership.add(other.membership.own, self.now_s)
        self.instances[name] = Instance(membership, FleetTotals(membership))

    def alive(self) -> list[Instance]:
        return [
            instance
            for name, instance in self.instances.items()
            if name not in self.lost
        ]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / ROUND_S)):
            self.now_s += ROUND_S
            for instance in self.alive():
                self._send(instance)

    def _send(self, instance: Instance) -> None:
        membership = instance.membership
        membership.refresh(self.now_s)
        instance.number += 1
        own = Sums({SERVER: (10, 1, 100)}, demand={"app": 100})
        near, far = membership.receivers(self.now_s)
        instance.sent += len(near) + len(far)
        message = TotalsMessage(
            instance.name,
            "127.0.0.1",
            1,
            1.0,
            instance.number,
            (0, 0),
            (0, 0),
            [],
            [attrs.astuple(peer) for peer in membership.gossip_sample()],
            own,
        )
        self._deliver(near, message)
        members = [attrs.astuple(peer) for peer in membership.neighbours()]
        number = membership.neighbourhood_of(instance.name)
        sums = add_up([own, *instance.totals.neighbour_sums(self.now_s)])
        message = TotalsMessage(
            *(instance.name, "127.0.0.1", 1, 1.0, instance.number, (0, 0)),
            (number, membership.neighbourhoods),
            members,
            [],
            sums,
        )
        self._deliver(far, message)

    def _deliver(self, peers: list[Peer], message: TotalsMessage) -> None:
        for peer in peers:
            if peer.name not in self.lost:
                self.instances[peer.name].totals.receive(message, self.now_s)


class TestFleetTotals:
    @pytest.mark.parametrize("size", [1, 2, 12, 17, 30, 69, 300])
    def test_each_instance_knows_the_sum_of_all(self, size: int) -> None:
        fleet = SimulatedFleet(size)
        fleet.run(3.0)
        for instance in fleet.alive():
            assert instance.membership.instances == size
            assert instance.running(fleet.now_s) == size

    @pytest.mark.parametrize(("size", "lost"), [(12, 4), (69, 17), (69, 40)])
    def test_lost_instances_are_dropped_from_the_sums(
        self, size: int, lost: int
    ) -> None:
        fleet = SimulatedFleet(size)
        fleet.run(3.0)
        fleet.lost = {f"node-{i}" for i in range(lost)}
        fleet.run(3 * ALIVE_TIMEOUT_S)
        for instance in fleet.alive():
            assert instance.running(fleet.now_s) == size - lost
            assert instance.membership.instances == size
        fleet.run(MEMBER_TTL_S + 1.0)
        for instance in fleet.alive():
            assert instance.membership.instances == size - lost

    def test_a_lost_instance_is_rediscovered(self) -> None:
        fleet = SimulatedFleet(69)
        fleet.run(3.0)
        fleet.lost = {f"node-{i}" for i in range(20)}
        fleet.run(10.0)
        fleet.lost = set()
        fleet.run(PROBE_INTERVAL_S + 3 * ALIVE_TIMEOUT_S)
        for instance in fleet.alive():
            assert instance.running(fleet.now_s) == 69

    @pytest.mark.parametrize("size", [16, 69])
    def test_one_neighbour_leads_the_others(self, size: int) -> None:
        fleet = SimulatedFleet(size)
        fleet.run(3.0)
        roles = Counter(instance.membership.feed_role() for instance in fleet.alive())
        if size == 16:
            assert roles == {FeedRole.INDEPENDENT: 16}
            return
        assert roles[FeedRole.LEADER] == 8
        leader = next(
            instance
            for instance in fleet.alive()
            if instance.membership.feed_role() is FeedRole.LEADER
        )
        number = leader.membership.neighbourhood_of(leader.name)
        fleet.lost = {leader.name}
        fleet.run(2 * ALIVE_TIMEOUT_S)
        remaining = [
            instance.membership.feed_role()
            for instance in fleet.alive()
            if instance.membership.neighbourhood_of(instance.name) == number
        ]
        assert remaining.count(FeedRole.LEADER) == 1

    def test_ranks_are_consistent_across_instances(self) -> None:
        fleet = SimulatedFleet(69)
        fleet.run(3.0)
        ranks = [instance.membership.rank("server-7") for instance in fleet.alive()]
        assert sorted(ranks) == list(range(69))

    def test_datagrams_grow_with_the_square_root_of_the_fleet(self) -> None:
        sent = {}
        for size in (30, 300):
            fleet = SimulatedFleet(size)
            fleet.run(3.0)
            for instance in fleet.alive():
                instance.sent = 0
            fleet.run(1.0)
            sent[size] = sum(instance.sent for instance in fleet.alive()) / size
        assert sent[300] / sent[30] < math.sqrt(10.0) * 1.1
        assert sent[300] < 10 * 2.5 * math.sqrt(300)

    def test_usage_is_kept_until_it_is_sent_again(self) -> None:
        totals = FleetTotals(Membership(Peer("own", "127.0.0.1", 1)))
        received = []
        for number, usage in enumerate(({"o": 50}, None, {"o": 60}, None), start=1):
            sums = Sums({SERVER: (0, number, 0)}, {}, usage)
            message = TotalsMessage(
                *("peer", "127.0.0.1", 2, 1.0, number, (0, 0), (0, 0), [], []), sums
            )
            totals.receive(message, 1.0)
            received.append(add_up(totals.neighbour_sums(1.0)).usage)
        assert received == [{"o": 50}, {"o": 50}, {"o": 60}, {"o": 60}]

    def test_an_older_message_is_ignored(self) -> None:
        totals = FleetTotals(Membership(Peer("own", "127.0.0.1", 1)))
        message = TotalsMessage(
            *("peer", "127.0.0.1", 2, 1.0, 5, (0, 0), (0, 0), [], []),
            Sums({SERVER: (0, 3, 0)}),
        )
        older = TotalsMessage(
            *("peer", "127.0.0.1", 2, 1.0, 4, (0, 0), (0, 0), [], []),
            Sums({SERVER: (0, 9, 0)}),
        )
        assert totals.receive(message, 1.0)
        assert not totals.receive(older, 1.0)
        assert totals.neighbour_sums(1.0) == [message.sums]


class TestStatedLimits:
    @pytest.mark.parametrize("size", [2, 12, 69])
    def test_what_one_instance_was_told_reaches_all(self, size: int) -> None:
        """Instances tell what they heard themselves; neighbourhoods pass it on once."""
        fleet = SimulatedFleet(size)
        fleet.run(1.0)
        teller, *others = fleet.alive()
        told = TotalsMessage(
            *(teller.name, "127.0.0.1", 1, 1.0, 10**6, (0, 0), (0, 0), [], []),
            Sums(),
            stated_limits=[(SERVER, 5.0, 0.2)],
        )
        near, far = teller.membership.receivers(fleet.now_s)
        for peer in near:
            receiver = fleet.instances[peer.name].totals
            receiver.receive(told, fleet.now_s)
            (passed_on,) = receiver.neighbour_limits(fleet.now_s + 0.1)
            assert passed_on == (SERVER, 5.0, pytest.approx(0.3))
        assert len(near) + len(far) <= len(others)

    def test_newest_statement_of_a_server_is_passed_on(self) -> None:
        limits = [(1, 5.0, 0.3), (2, 7.0, 0.1), (1, -1.0, 0.2), (1, 6.0, 0.9)]
        assert sorted(newest_limits(limits)) == [(1, -1.0, 0.2), (2, 7.0, 0.1)]

    def test_starts_of_a_server_are_told_apart(self) -> None:
        assert start_number("e-0", 1) != start_number("e-0", 2)

    @pytest.mark.parametrize("size", [1, 2, 12, 69])
    def test_demand_is_known_by_neighbour_and_neighbourhood(self, size: int) -> None:
        fleet = SimulatedFleet(size)
        fleet.run(3.0)
        for instance in fleet.alive():
            neighbours = instance.totals.demand_of_neighbours("app", fleet.now_s)
            others = instance.totals.demand_of_neighbourhoods("app", fleet.now_s)
            assert instance.name not in neighbours
            assert set(neighbours.values()) <= {1.0}
            assert 1.0 + sum(neighbours.values()) + sum(others.values()) == size
            assert len(others) == instance.membership.neighbourhoods - 1

    def test_demand_is_added_up(self) -> None:
        parts = [Sums(demand={"app": 150}), Sums(demand={"app": 50, "llm": 7})]
        assert add_up(parts).demand == {"app": 200, "llm": 7}
