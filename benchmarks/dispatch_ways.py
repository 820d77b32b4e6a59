"""Ways to decide which request goes next, behind one interface."""

from __future__ import annotations

from collections import deque
from typing import Protocol

import attrs
import trio

from benchmarks.dispatch_load import SERVICE, FakeServer, FleetSize
from teaseldyke.dispatch import (
    Completion,
    Dispatching,
    DispatchOptions,
    Permit,
    PermitLapsed,
    dispatch_codec,
)
from teaseldyke.peers import Membership, MemoryNetwork, PeerAddress
from teaseldyke.types import BackendServer, Configuration, TeaseldykeError

DELAY_TO_SERVERS_S = 0.0015
FRAME_BYTES = 20  # sender, lengths and the header of the transport


class ServerDown(TeaseldykeError):
    """A fake backend server refuses the connection."""

    code = "server_down"
    executed = "no"


class DispatchStrategy(Protocol):
    """Gives slots of backend servers to requests."""

    async def acquire(self, router: str, organisation: str) -> tuple[str, object]:
        """Wait for a slot; return the backend server and a token."""
        ...

    def release(self, token: object, cost_s: float, completion: Completion) -> None:
        """Give the slot back."""
        ...


@attrs.define(eq=False)
class GrantStrategy:
    """Ours: requests stay, a dispatcher of each shard grants slots."""

    nursery: trio.Nursery
    size: FleetSize
    servers: dict[str, FakeServer]
    delay_s: float = 0.0015
    load_lag_s: float = 0.3
    network: MemoryNetwork = attrs.field(init=False)
    routers: dict[str, Dispatching] = attrs.field(factory=dict)
    scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict)

    async def start(self) -> None:
        """Start every router and wait until the fleet takes part."""
        codec = dispatch_codec()
        self.network = MemoryNetwork(
            self.nursery,
            delay_s=self.delay_s,
            size_of=lambda message: len(codec.encode(message)) + FRAME_BYTES,
        )
        self.nursery.start_soon(self._publish)
        options = DispatchOptions(
            lease_s=max(1.0, 6 * self.delay_s),
            silence_s=max(0.5, 3 * self.delay_s),
            join_delay_s=max(1.0, 6 * self.delay_s),
        )
        peers = {n: PeerAddress("127.0.0.1", 1) for n in self.size.router_names()}
        for name in peers:
            membership = Membership(name, peers)
            links = self.network.join(name)
            router = Dispatching(name, links, membership, self, options=options)
            router.apply_configuration(self.size.configuration())
            self.routers[name] = router
            self.scopes[name] = trio.CancelScope()
            await self.nursery.start(self._run, name)
        await trio.sleep(options.join_delay_s + 0.1)

    async def _run(self, name: str, *, task_status: trio.TaskStatus[None]) -> None:
        with self.scopes[name]:
            await self.routers[name].run(task_status=task_status)

    def kill(self, name: str) -> None:
        """End a router's process."""
        self.network.kill(name)
        self.scopes[name].cancel()
        del self.routers[name]

    def acting_dispatcher(self) -> str:
        """Return the router that is dispatcher of the first shard."""
        for name, router in self.routers.items():
            if router.snapshot().shards[0].is_acting:
                return name
        raise LookupError("no router is dispatcher")

    def apply(self, router: str, configuration: Configuration) -> None:
        """Put a configuration in force at one router."""
        if router in self.routers:
            self.routers[router].apply_configuration(configuration)

    async def load(self, server: BackendServer) -> object:
        """Return a report that is up to ``load_lag_s`` old."""
        fake = self.servers[server.name]
        await trio.sleep(2 * min(self.delay_s, DELAY_TO_SERVERS_S))
        if fake.is_down:
            raise ServerDown(f"{server.name!r} is down")
        return fake.published_report or fake.report()

    async def _publish(self) -> None:
        while True:
            for server in self.servers.values():
                server.published_report = server.report()
            await trio.sleep(self.load_lag_s)

    async def acquire(self, router: str, organisation: str) -> tuple[str, object]:
        """Wait for a permit that stands."""
        first_at_s = trio.current_time()
        while True:
            permit = await self.routers[router].acquire(
                SERVICE, organisation, estimate_cost=1.0, first_at_s=first_at_s
            )
            try:
                permit.check()
            except PermitLapsed:
                continue
            permit.mark_sent()
            return permit.server.name, permit

    def release(self, token: object, cost_s: float, completion: Completion) -> None:
        """Finish the permit."""
        assert isinstance(token, Permit)
        token.finish(cost_s, completion)


@attrs.define(eq=False)
class _RouterSlots:
    """A router's fixed part of every backend server's slots."""

    free: list[str]
    queued: list[tuple[float, str, trio.Event]] = attrs.field(factory=list)


@attrs.define(eq=False)
class StaticSplitStrategy:
    """Each router alone with a fixed part of the slots.

    Without exchange, the oldest request goes first: the naive way. With exchange,
    routers add up the service totals of all from time to time, and the organisation
    with the least goes first: way A of the design.
    """

    size: FleetSize
    exchange_s: float | None = None
    delay_s: float = 0.0015
    served: dict[tuple[str, str], float] = attrs.field(factory=dict)
    known: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _router_slots: dict[str, _RouterSlots] = attrs.field(factory=dict)
    _out: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        names = self.size.router_names()
        for name in names:
            self._router_slots[name] = _RouterSlots([])
            self.known[name] = {}
        number = 0
        for i in range(self.size.servers):
            for _ in range(self.size.limit):
                self._router_slots[names[number % len(names)]].free.append(
                    f"engine-{i}"
                )
                number += 1

    async def exchange(self) -> None:
        """Add up the totals of all routers from time to time."""
        assert self.exchange_s is not None
        while True:
            await trio.sleep(self.exchange_s)
            totals: dict[str, float] = {}
            for (_, organisation), served_s in self.served.items():
                totals[organisation] = totals.get(organisation, 0.0) + served_s
            await trio.sleep(self.delay_s)
            for name in self.known:
                self.known[name] = dict(totals)

    async def acquire(self, router: str, organisation: str) -> tuple[str, object]:
        """Wait for a slot of the router's own part."""
        router_slots = self._router_slots[router]
        event = trio.Event()
        router_slots.queued.append((trio.current_time(), organisation, event))
        self._assign_free_slots(router)
        await event.wait()
        server = self._assigned.popleft()
        return server, (router, organisation, server)

    _assigned: deque[str] = attrs.field(factory=deque)

    def release(self, token: object, cost_s: float, completion: Completion) -> None:
        """Return a slot to its router's part."""
        assert isinstance(token, tuple)
        router, organisation, server = token
        key = (router, organisation)
        self.served[key] = self.served.get(key, 0.0) + cost_s
        known = self.known[router]
        known[organisation] = known.get(organisation, 0.0) + cost_s
        self._router_slots[router].free.append(server)
        self._assign_free_slots(router)

    def _assign_free_slots(self, router: str) -> None:
        router_slots = self._router_slots[router]
        while router_slots.free and router_slots.queued:
            position = 0
            if self.exchange_s is not None:
                known = self.known[router]
                order = range(len(router_slots.queued))
                position = min(
                    order, key=lambda i: (known.get(router_slots.queued[i][1], 0.0), i)
                )
            _, organisation, event = router_slots.queued.pop(position)
            if self.exchange_s is not None:
                # The request counts from its start with a mean cost.
                known[organisation] = known.get(organisation, 0.0) + 1.0
            self._assigned.append(router_slots.free.pop(0))
            event.set()
