from __future__ import annotations

from collections.abc import AsyncIterator

import attrs
import pytest
import trio

from teaseldyke.capacity import LoadReport
from teaseldyke.dispatch import Completion, Dispatching, DispatchOptions, PermitLapsed
from teaseldyke.peers import Membership, MemoryNetwork, PeerAddress
from teaseldyke.types import BackendServer, Configuration, Organisation, Service


@attrs.define(eq=False)
class FakeServer:
    name: str
    capacity: int
    cold_limit: int = 0
    running: int = 0
    max_running: int = 0
    overruns: int = 0
    started_at_s: float = 1.0
    completed: int = 0

    def restart(self) -> None:
        """Start again, cold for good."""
        self.started_at_s += 1.0
        self.completed = 0
        self.capacity = self.cold_limit

    def begin(self) -> None:
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.overruns += self.running > self.capacity


@attrs.define(eq=False)
class Fleet:
    """Several routers in one process, and the backend servers that they share."""

    nursery: trio.Nursery
    network: MemoryNetwork
    configuration: Configuration
    options: DispatchOptions
    servers: dict[str, FakeServer]
    routers: dict[str, Dispatching] = attrs.field(factory=dict)
    scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict)
    served: dict[str, float] = attrs.field(factory=dict)
    sent: list[tuple[float, str, str]] = attrs.field(factory=list)

    async def load(self, server: BackendServer) -> LoadReport:
        fake = self.servers[server.name]
        return LoadReport(fake.started_at_s, fake.running, 0, fake.completed)

    async def start(self, name: str, names: list[str]) -> Dispatching:
        peers = {n: PeerAddress("127.0.0.1", 1) for n in names}
        links = self.network.join(name)
        router = Dispatching(
            name, links, Membership(name, peers), self, options=self.options
        )
        router.apply_configuration(self.configuration)
        self.routers[name] = router
        scope = trio.CancelScope()
        self.scopes[name] = scope

        async def run(*, task_status: trio.TaskStatus[None]) -> None:
            with scope:
                await router.run(task_status=task_status)

        await self.nursery.start(run)
        return router

    def kill(self, name: str) -> None:
        self.network.kill(name)
        self.scopes.pop(name).cancel()
        del self.routers[name]

    def acting_routers(self) -> list[str]:
        found = []
        for name, router in self.routers.items():
            if any(shard.is_acting for shard in router.snapshot().shards):
                found.append(name)
        return found

    def apply(self, configuration: Configuration) -> None:
        self.configuration = configuration
        for router in self.routers.values():
            router.apply_configuration(configuration)

    async def request(
        self, router: str, organisation: str, cost: float, service: str = "llm"
    ) -> None:
        first_at_s = trio.current_time()
        while True:
            permit = await self.routers[router].acquire(
                service, organisation, estimate_cost=1.0, first_at_s=first_at_s
            )
            try:
                permit.check()
            except PermitLapsed:
                continue
            break
        permit.mark_sent()
        fake = self.servers[permit.server.name]
        self.sent.append((trio.current_time(), router, permit.server.name))
        fake.begin()
        try:
            await trio.sleep(cost)
        finally:
            fake.running -= 1
        fake.completed += 1
        self.served[organisation] = self.served.get(organisation, 0.0) + cost
        permit.finish(cost, Completion.OK)

    async def keep_busy(
        self, router: str, organisation: str, cost: float, depth: int
    ) -> None:
        """Keep ``depth`` requests of an organisation waiting or running."""

        async def caller() -> None:
            while router in self.routers:
                await self.request(router, organisation, cost)

        for _ in range(depth):
            self.nursery.start_soon(caller)


def configuration_of(
    servers: int = 2,
    limit: int = 4,
    shares: dict[str, float] | None = None,
    **service: int,
) -> Configuration:
    service.setdefault("warm_after_requests", 0)
    shares = shares or {"a": 1.0, "b": 1.0}
    names = [f"engine-{i}" for i in range(servers)]
    return Configuration(
        version=1,
        organisations={name: Organisation(name, s) for name, s in shares.items()},
        services={"llm": Service("llm", "engine", limit, **service)},
        backend_servers={
            name: BackendServer(name, "llm", "127.0.0.1", 9000 + i, f"zone-{i % 3}")
            for i, name in enumerate(names)
        },
        failure_domains=("zone-0", "zone-1", "zone-2"),
    )


@pytest.fixture
def make_configuration():
    return configuration_of


@pytest.fixture
async def make_fleet(autojump_clock: object) -> AsyncIterator[object]:
    async with trio.open_nursery() as nursery:

        async def make(
            configuration: Configuration,
            routers: int = 3,
            delay_s: float = 0.0015,
            **options: float,
        ) -> Fleet:
            options.setdefault("join_delay_s", 1.0)
            servers = {}
            for server in configuration.backend_servers.values():
                service = configuration.services[server.service]
                servers[server.name] = FakeServer(
                    server.name, service.limit, service.cold_limit
                )
            fleet = Fleet(
                nursery,
                MemoryNetwork(nursery, delay_s=delay_s),
                configuration,
                DispatchOptions(**options),
                servers,
            )
            names = [f"router-{i}" for i in range(routers)]
            for name in names:
                await fleet.start(name, names)
            await trio.sleep(1.2)
            return fleet

        yield make
        nursery.cancel_scope.cancel()
