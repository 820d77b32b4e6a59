"""Processor time of a gateway's exchange rounds, by size of the fleet.

Run ``python -m benchmarks.rounds``. One instance reads the datagrams of its neighbours
and of the other neighbourhoods, without sockets, and takes part in rounds of its own.
Waking up for its timer and its sockets is not included.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

import attrs
import fire
import msgspec
import trio

from teaseldyke.gateway import (
    FeedPolls,
    FeedRole,
    FleetBounds,
    KnownVersions,
    Peer,
)
from teaseldyke.gateway.placing import Placer
from teaseldyke.gateway.sums import Sums, TotalsMessage, server_number
from teaseldyke.gateway.totals import EXCHANGE_INTERVAL_S, TotalsExchange
from teaseldyke.gateway.view import FleetView
from teaseldyke.placement import CrashEvidence, FairShares
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    AnnouncedServer,
    CallerBounds,
    RoutingTable,
    ServiceDescription,
    StoreVersion,
)

SERVERS = 64
ORGANISATIONS = 60
ROUNDS = 60
DATAGRAM_ROUNDS = 3  # rounds of the timer for each round of the other instances
USAGE_ROUNDS = 12  # rounds of the timer between datagrams with usage
VERSIONS = KnownVersions(StoreVersion(1, 5), StoreVersion(1, 9), 3)
BOUNDS = FleetBounds(0.2, 10.0, 10.0, 1.5, 5.0, 8.0)


@attrs.define
class KnownDirectory:
    """A directory that knows all changes."""

    versions: KnownVersions = VERSIONS
    polls: FeedPolls = attrs.field(factory=lambda: FeedPolls(FeedRole.FOLLOWER))

    def take_place(self, _role: FeedRole, _rank: int, _pollers: int) -> None:
        """Keep the role."""

    def is_behind(self, _versions: KnownVersions) -> bool:
        """Return that no change is missing."""
        return False


@attrs.define
class Fleet:
    """The other instances, as one instance hears of them."""

    peers: list[Peer]
    random: Random
    number: int = 0

    def datagrams(self, exchange: TotalsExchange, with_usage: bool) -> list[bytes]:
        """Return the datagrams of one round."""
        membership = exchange._membership
        own = membership.neighbourhood_of(membership.own.name)
        members: dict[int, list[Peer]] = {}
        for peer in self.peers:
            number = membership.neighbourhood_of(peer.name)
            members.setdefault(number, []).append(peer)
        self.number += 1
        count = membership.neighbourhoods
        data = []
        for number, peers in members.items():
            if number == own:
                for peer in peers:
                    data.append(self._message(peer, (0, 0), [], 4, with_usage))
                continue
            key = number, count
            data.append(self._message(peers[0], key, peers, 40, with_usage))
        return data

    def _message(
        self,
        sender: Peer,
        neighbourhood: tuple[int, int],
        members: list[Peer],
        loads: int,
        with_usage: bool,
    ) -> bytes:
        draw = self.random
        sums = Sums(
            {
                server_number(f"i-{i}"): (draw.randint(0, 9999), 2, 30_000)
                for i in draw.sample(range(SERVERS), loads)
            },
            {f"org-{i}": 5000 for i in draw.sample(range(ORGANISATIONS), 5)},
            {f"org-{i}": 50_000 for i in range(ORGANISATIONS)} if with_usage else None,
        )
        message = TotalsMessage(
            *(sender.name, sender.host, sender.port, 1.0, self.number, (5, 9)),
            neighbourhood,
            [attrs.astuple(peer) for peer in members],
            [attrs.astuple(peer) for peer in draw.sample(self.peers, 4)],
            sums,
            1,
            3,
        )
        return msgspec.msgpack.encode(message)


def make_view() -> FleetView:
    """Return a view of one service with `SERVERS` servers."""
    view = FleetView(lambda: None)
    view.set_store_available(True, "benchmark")
    service = ServiceDescription("llm", 1300, 3.0, 20.0, slots=12, memory_tokens=435224)
    bounds = CallerBounds(tokens_per_s=1e6)
    view.apply_routing(RoutingTable(1, (), (service,), (), bounds))
    view.apply_servers(
        [
            AnnouncedServer(f"i-{i}", 1, "llm", "10.0.0.1", 80, "a", 12)
            for i in range(SERVERS)
        ]
    )
    return view


async def measure(instances: int) -> dict[str, float]:
    """Return the processor time of each part, in ms a second."""
    view = make_view()
    own = Peer("front-0", "127.0.0.1", 9)
    exchange = TotalsExchange(own, view, KnownDirectory(), CrashEvidence())  # type: ignore[arg-type]
    exchange._send_data = lambda peers, data: None  # type: ignore[method-assign]
    placer = Placer(view, FairShares(), exchange, BOUNDS, "a", CrashEvidence())
    peers = [Peer(f"front-{i}", "127.0.0.1", 9) for i in range(1, instances)]
    exchange.add_peers(peers)
    fleet = Fleet(peers, Random(1))
    spent_s: dict[str, float] = {}

    def timed(name: str, call: Callable[[], object]) -> None:
        started_s = time.process_time()
        call()
        spent_s[name] = spent_s.get(name, 0.0) + time.process_time() - started_s

    def handle(datagrams: list[bytes]) -> None:
        for data in datagrams:
            exchange._handle_datagram(data, boot_time_s())

    for i in range(ROUNDS):
        if i % DATAGRAM_ROUNDS == 0:
            datagrams = fleet.datagrams(exchange, i % USAGE_ROUNDS == 0)
            timed("datagrams", lambda data=datagrams: handle(data))  # type: ignore[misc]
        timed("servers", view.refresh)
        timed("totals", lambda: exchange.send(placer))
        timed("shares", placer.recompute)
        await trio.sleep(EXCHANGE_INTERVAL_S)
    per_s = 1000.0 / (ROUNDS * EXCHANGE_INTERVAL_S)
    return {name: value * per_s for name, value in spent_s.items()}


def main(*sizes: int) -> None:
    """Print the processor time at some sizes of the fleet."""
    for instances in sizes or (30, 73, 100, 195, 300, 1000):
        parts = trio.run(measure, instances)
        columns = "  ".join(f"{name} {ms:.2f}" for name, ms in parts.items())
        print(f"{instances:5} instances: {sum(parts.values()):6.2f} ms/s  {columns}")


if __name__ == "__main__":
    fire.Fire(main)
