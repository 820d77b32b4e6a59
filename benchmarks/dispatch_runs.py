"""Runs scenarios of the dispatch measures under trio's mock clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator

import attrs
import trio
from trio.testing import MockClock

from benchmarks.dispatch_load import (
    FakeServer,
    FleetSize,
    ServiceLog,
    Tenant,
    request_costs,
)
from benchmarks.dispatch_ways import (
    DispatchStrategy,
    GrantStrategy,
    StaticSplitStrategy,
)
from teaseldyke.dispatch import Completion

SAMPLE_S = 0.1
RETRY_S = 0.1  # after a backend server has refused the connection


@attrs.define(eq=False)
class FleetRun:
    """One simulated fleet under load, with the log of its requests."""

    nursery: trio.Nursery
    size: FleetSize
    strategy: DispatchStrategy
    servers: dict[str, FakeServer]
    log: ServiceLog
    seed: int
    grants: GrantStrategy | None
    delay_s: float
    _costs: dict[str, Iterator[float]] = attrs.field(factory=dict)
    _stopped_routers: set[str] = attrs.field(factory=set)

    def start_callers(self, tenant: Tenant) -> None:
        """Start the callers of a tenant."""
        for _ in range(tenant.callers):
            self.nursery.start_soon(self._call, tenant)

    def stop_callers(self, name: str) -> None:
        """Stop the callers of a router when their current requests have ended."""
        self._stopped_routers.add(name)

    async def request(self, router: str, organisation: str) -> None:
        """Dispatch one request and wait until it has completed or failed."""
        if organisation not in self._costs:
            self._costs[organisation] = request_costs(organisation, self.seed)
        cost_s = next(self._costs[organisation])
        requested_at_s = trio.current_time()
        name, token = await self.strategy.acquire(router, organisation)
        server = self.servers[name]
        if server.is_down:
            self.strategy.release(token, 0.0, Completion.REFUSED)
            await trio.sleep(RETRY_S)
            return
        wait_s = trio.current_time() - requested_at_s
        number = self.log.begin(organisation, router, name, wait_s)
        server.begin()
        with trio.move_on_after(cost_s):
            await server.stopped.wait()
        self.log.end(number)
        if server.is_down:
            server.running -= 1
            self.log.failed += 1
            self.strategy.release(token, 0.0, Completion.FAILED)
            return
        server.end(cost_s)
        self.strategy.release(token, cost_s, Completion.OK)

    async def _call(self, tenant: Tenant) -> None:
        while tenant.router not in self._stopped_routers:
            await self.request(tenant.router, tenant.organisation)

    async def measure_gap(
        self, organisations: list[str], seconds: float
    ) -> tuple[float, float]:
        """Return the largest service gap, in seconds, and the fraction of slots in use.

        The gap between two organisations is the range over which the difference of
        their service times varies.
        """
        lows: dict[tuple[str, str], float] = {}
        highs: dict[tuple[str, str], float] = {}
        busy = 0.0
        samples = round(seconds / SAMPLE_S)
        for _ in range(samples):
            await trio.sleep(SAMPLE_S)
            service = self.log.service_s()
            busy += len(self.log.running) / self.size.slots / samples
            for i, one in enumerate(organisations):
                for other in organisations[:i]:
                    gap = service.get(one, 0.0) - service.get(other, 0.0)
                    key = (one, other)
                    lows[key] = min(lows.get(key, gap), gap)
                    highs[key] = max(highs.get(key, gap), gap)
        return max(highs[key] - lows[key] for key in lows), busy


def run_fleet(
    size: FleetSize,
    way: str,
    seed: int,
    scenario: Callable[[FleetRun], Awaitable[float | tuple[float, ...]]],
    delay_s: float = 0.0015,
) -> float | tuple[float, ...]:
    """Run a scenario on a new fleet.

    Parameters
    ----------
    size : FleetSize
        Number of routers, servers, organisations and shards, and limits.
    way : {"grants", "alone", "exchange"}
        Strategy that dispatches requests: the product's, or a static split of the
        slots without or with exchange of service totals.
    seed : int
        Seeds request costs and the scenario.
    scenario : callable
        Loads the fleet and returns its figures.
    delay_s : float
        One-way delay of control messages.
    """

    async def main() -> float | tuple[float, ...]:
        servers = {}
        for i in range(size.servers):
            name = f"engine-{i}"
            servers[name] = FakeServer(
                name, size.limit, size.cold_limit, size.warm_after_requests
            )
        async with trio.open_nursery() as nursery:
            grants = None
            strategy: DispatchStrategy
            if way == "grants":
                grants = GrantStrategy(nursery, size, servers, delay_s)
                await grants.start()
                strategy = grants
            else:
                exchange_s = max(0.5, delay_s) if way == "exchange" else None
                strategy = alone = StaticSplitStrategy(size, exchange_s, delay_s)
                if exchange_s is not None:
                    nursery.start_soon(alone.exchange)
            run = FleetRun(
                nursery, size, strategy, servers, ServiceLog(), seed, grants, delay_s
            )
            result = await scenario(run)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main, clock=MockClock(autojump_threshold=0))
