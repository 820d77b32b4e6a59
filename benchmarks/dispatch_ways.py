"""Strategies that choose the next request to dispatch, behind one interface."""

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
FRAME_BYTES = 20  # sender, length fields and transport header


class ServerDown(TeaseldykeError):
    """A simulated backend server refuses connections."""

    code = "server_down"
    executed = "no"


class DispatchStrategy(Protocol):
    """Assigns slots of backend servers to requests."""

    async def acquire(self, router: str, organisation: str) -> tuple[str, object]:
        """Wait for a slot; return the backend server and a token for `release`."""
        ...

    def release(self, token: object, cost_s: float, completion: Completion) -> None:
        """Release the slot."""
        ...


@attrs.define(eq=False)
class GrantStrategy:
    """The product's strategy: a dispatcher for each shard grants slots.

    Requests stay queued at the router that received them.
    """

    nursery: trio.Nursery
    size: FleetSize
    servers: dict[str, FakeServer]
    delay_s: float = 0.0015
    load_lag_s: float = 0.3
    network: MemoryNetwork = attrs.field(init=False)
    routers: dict[str, Dispatching] = attrs.field(factory=dict)
    scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict)

    async def start(self) -> None:
        """Start every router and wait until all of them have joined."""
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
        """Simulate the crash of a router."""
        self.network.kill(name)
        self.scopes[name].cancel()
        del self.routers[name]

    def acting_dispatcher(self) -> str:
        """Return the router that is the acting dispatcher of the first shard."""
        for name, router in self.routers.items():
            if router.snapshot().shards[0].is_acting:
                return name
        raise LookupError("no router is the acting dispatcher of the first shard")

    def apply(self, router: str, configuration: Configuration) -> None:
        """Put a configuration in force at a router, unless it was killed."""
        if router in self.routers:
            self.routers[router].apply_configuration(configuration)

    async def load(self, server: BackendServer) -> object:
        """Return a load report that is up to ``load_lag_s`` old."""
        fake = self.servers[server.name]
        await trio.sleep(2 * min(self.delay_s, DELAY_TO_SERVERS_S))
        if fake.is_down:
            raise ServerDown(f"backend server {server.name!r} is down")
        return fake.published_report or fake.report()

    async def _publish(self) -> None:
        while True:
            for server in self.servers.values():
                server.published_report = server.report()
            await trio.sleep(self.load_lag_s)

    async def acquire(self, router: str, organisation: str) -> tuple[str, object]:
        """Wait for a permit that has not lapsed."""
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
        """Finish the permit with the cost and completion of its request."""
        assert isinstance(token, Permit)
        token.finish(cost_s, completion)


@attrs.define(eq=False)
class _RouterSlots:
    """Free slots of one router, and the requests queued for them."""

    free: list[str]
    queued: list[tuple[float, str, trio.Event]] = attrs.field(factory=list)


@attrs.define(eq=False)
class StaticSplitStrategy:
    """Gives each router a fixed share of the slots.

    Without exchange, each router dispatches first in, first out: the naive version.
    With exchange, routers periodically sum the service totals of all routers, and the
    organisation with the smallest total goes first: way A of the design.
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
        """Sum the service totals of all routers every ``exchange_s``."""
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
        """Wait for one of the router's own slots."""
        router_slots = self._router_slots[router]
        event = trio.Event()
        router_slots.queued.append((trio.current_time(), organisation, event))
        self._assign_free_slots(router)
        await event.wait()
        server = self._assigned.popleft()
        return server, (router, organisation, server)

    _assigned: deque[str] = attrs.field(factory=deque)

    def release(self, token: object, cost_s: float, completion: Completion) -> None:
        """Release a slot to its router and record the service."""
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
                # Charges the mean cost when the request starts.
                known[organisation] = known.get(organisation, 0.0) + 1.0
            self._assigned.append(router_slots.free.pop(0))
            event.set()
