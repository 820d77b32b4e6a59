"""Tenants, request costs and simulated backend servers of the dispatch measures."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from random import Random

import attrs
import trio

from teaseldyke.capacity import LoadReport
from teaseldyke.types import BackendServer, Configuration, Organisation, Service

SERVICE = "language-model"
COST_MIN_S = 0.2
COST_MAX_S = 4.0  # the cost of a request is the time for which it holds a slot
FAILURE_DOMAINS = ("zone-0", "zone-1", "zone-2")


@attrs.frozen
class FleetSize:
    """Size of a simulated fleet; the defaults are those of Khurdan."""

    routers: int = 7
    servers: int = 5
    limit: int = 8
    organisations: int = 16
    shards: int = 1
    cold_limit: int = 8
    warm_after_requests: int = 0

    @property
    def slots(self) -> int:
        """Return the concurrency limit of the fleet when every server is warm."""
        return self.servers * self.limit

    def router_names(self) -> list[str]:
        """Return the name of every router."""
        return [f"router-{i}" for i in range(self.routers)]

    def configuration(self) -> Configuration:
        """Return the configuration of the fleet."""
        names = [f"organisation-{i}" for i in range(self.organisations)]
        servers = {}
        for i in range(self.servers):
            domain = FAILURE_DOMAINS[i % len(FAILURE_DOMAINS)]
            name = f"engine-{i}"
            servers[name] = BackendServer(name, SERVICE, "127.0.0.1", 9000 + i, domain)
        service = Service(
            SERVICE,
            "engine",
            self.limit,
            cold_limit=self.cold_limit,
            warm_after_requests=self.warm_after_requests,
            queue_limit=1000,
            queue_timeout_s=1e6,
            shards=self.shards,
        )
        return Configuration(
            version=1,
            organisations={name: Organisation(name, 1.0) for name in names},
            services={SERVICE: service},
            backend_servers=servers,
            failure_domains=FAILURE_DOMAINS,
        )


@attrs.frozen
class Tenant:
    """Callers of one organisation at one router that send one request after another."""

    organisation: str
    router: str
    callers: int


def request_costs(organisation: str, seed: int) -> Iterator[float]:
    """Yield the costs of an organisation's requests in seconds, without end.

    The costs depend only on the organisation and the seed, so that every strategy
    gets the same ones.
    """
    random = Random(f"{organisation}/{seed}")
    for _ in itertools.count():
        cost_s = random.lognormvariate(-0.2, 0.8)
        yield min(COST_MAX_S, max(COST_MIN_S, cost_s))


def uneven_tenants(
    size: FleetSize, seed: int, flood_callers: int = 200
) -> list[Tenant]:
    """Assign organisations unevenly to routers; the first one floods one router."""
    random = Random(seed)
    names = size.router_names()
    tenants = [Tenant("organisation-0", names[0], flood_callers)]
    for i in range(1, size.organisations):
        router = names[min(int(random.expovariate(0.6)), size.routers - 1)]
        tenants.append(Tenant(f"organisation-{i}", router, 20))
    return tenants


@attrs.define(eq=False)
class FakeServer:
    """Simulated backend server that counts requests started above its limit."""

    name: str
    limit: int
    cold_limit: int
    warm_after_requests: int
    running: int = 0
    completed: int = 0
    completed_since_start: int = 0
    starts: int = 1
    is_down: bool = False
    limit_excesses: int = 0
    published_report: LoadReport | None = None
    costs_s: list[float] = attrs.field(factory=list)
    stopped: trio.Event = attrs.field(factory=trio.Event)

    @property
    def concurrency_limit(self) -> int:
        """Return the concurrency limit now, which is lower until the server is warm."""
        warm = self.completed_since_start >= self.warm_after_requests
        return self.limit if warm else self.cold_limit

    def begin(self) -> None:
        """Start a request."""
        self.running += 1
        self.limit_excesses += self.running > self.concurrency_limit

    def end(self, cost_s: float) -> None:
        """Complete a request."""
        self.costs_s.append(cost_s)
        self.running -= 1
        self.completed += 1
        self.completed_since_start += 1

    def stop(self) -> None:
        """Stop the server; running requests fail."""
        self.is_down = True
        self.stopped.set()

    def start(self) -> None:
        """Start the server again, cold."""
        self.is_down = False
        self.stopped = trio.Event()
        self.starts += 1
        self.completed_since_start = 0
        self.published_report = None
        self.costs_s.clear()

    def report(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(float(self.starts), self.running, 0, self.completed)


@attrs.define(eq=False)
class ServiceLog:
    """Log of request starts and waits, and of the service time of each organisation."""

    finished_s: dict[str, float] = attrs.field(factory=dict)
    running: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    request_starts: list[tuple[float, str, str]] = attrs.field(factory=list)
    waits: list[tuple[float, str, float]] = attrs.field(factory=list)
    failed: int = 0
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def begin(self, organisation: str, router: str, server: str, wait_s: float) -> int:
        """Record the start of a request and return its number."""
        now_s = trio.current_time()
        number = next(self._numbers)
        self.running[number] = (organisation, now_s)
        self.request_starts.append((now_s, router, server))
        self.waits.append((now_s, organisation, wait_s))
        return number

    def end(self, number: int) -> None:
        """Record the end of a request."""
        organisation, began_at_s = self.running.pop(number)
        known = self.finished_s.get(organisation, 0.0)
        self.finished_s[organisation] = known + trio.current_time() - began_at_s

    def service_s(self) -> dict[str, float]:
        """Return the service time that each organisation has received, in seconds."""
        service = dict(self.finished_s)
        now_s = trio.current_time()
        for organisation, began_at_s in self.running.values():
            service[organisation] = service.get(organisation, 0.0) + now_s - began_at_s
        return service
