"""Scenarios of the dispatch measures; each returns one to three figures."""

from __future__ import annotations

import math
from itertools import pairwise
from random import Random

import attrs
import trio

from benchmarks.dispatch_load import FAILURE_DOMAINS, FakeServer, Tenant, uneven_tenants
from benchmarks.dispatch_runs import FleetRun
from teaseldyke.types import Switches

SETTLE_S = 10.0
WINDOW_S = 60.0
APPLY_WITHIN_S = 1.0  # largest delay until a configuration reaches a router


def percentile(values: list[float], fraction: float) -> float:
    """Return the smallest value that ``fraction`` of all values do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


async def fairness(run: FleetRun) -> tuple[float, float]:
    """Return the service gap in seconds, and the fraction of slots in use."""
    tenants = uneven_tenants(run.size, run.seed)
    for tenant in tenants:
        run.start_callers(tenant)
    await trio.sleep(SETTLE_S + 12 * run.delay_s)
    names = [tenant.organisation for tenant in tenants]
    return await run.measure_gap(names, WINDOW_S + 24 * run.delay_s)


async def one_router(run: FleetRun) -> tuple[float, float]:
    """Like `fairness` for two organisations, with every tenant on one router."""
    for tenant in uneven_tenants(run.size, run.seed):
        run.start_callers(attrs.evolve(tenant, router="router-0"))
    await trio.sleep(SETTLE_S)
    return await run.measure_gap(["organisation-0", "organisation-1"], WINDOW_S)


async def control_traffic(run: FleetRun) -> tuple[float, float]:
    """Return the control bytes per second of the busiest node, and their mean."""
    assert run.grants is not None
    for tenant in uneven_tenants(run.size, run.seed):
        run.start_callers(tenant)
    await trio.sleep(SETTLE_S)
    before = dict(run.grants.network.bytes_sent)
    await trio.sleep(WINDOW_S)
    after = run.grants.network.bytes_sent
    rates = [(after[name] - before.get(name, 0)) / WINDOW_S for name in after]
    return max(rates), sum(rates) / len(rates)


async def cold_servers(run: FleetRun) -> float:
    """Return the requests started above a server's limit during random restarts."""
    random = Random(run.seed)
    for tenant in uneven_tenants(run.size, run.seed):
        run.start_callers(tenant)
    for _ in range(8):
        await trio.sleep(random.uniform(2.0, 6.0))
        server = run.servers[f"engine-{random.randrange(run.size.servers)}"]
        server.stop()
        await trio.sleep(random.uniform(1.0, 3.0))
        server.start()
    await trio.sleep(5.0)
    return float(sum(server.limit_excesses for server in run.servers.values()))


async def dispatcher_loss(run: FleetRun, *, frozen: bool) -> float:
    """Return the longest time in seconds without a request start after the loss."""
    assert run.grants is not None
    for i, router in enumerate(run.size.router_names()):
        run.start_callers(Tenant(f"organisation-{i}", router, 30))
    await trio.sleep(SETTLE_S + Random(run.seed).uniform(0.0, 1.0))
    lost = run.grants.acting_dispatcher()
    lost_at_s = trio.current_time()
    run.stop_callers(lost)
    if frozen:
        run.grants.network.frozen.add(lost)
    else:
        run.grants.kill(lost)
    await trio.sleep(6.0)
    times = [lost_at_s]
    for at_s, router, _ in run.log.request_starts:
        if at_s >= lost_at_s and router != lost:
            times.append(at_s)
    times.append(lost_at_s + 6.0)
    return max(later - earlier for earlier, later in pairwise(times))


async def domain_out_and_back(run: FleetRun) -> tuple[float, float, float]:
    """Take a failure domain out of service, restart its servers and bring it back.

    Returns
    -------
    last_start_s : float
        Time from taking the domain out to the last request that started in it.
    return_ratio : float
        Time until 95 % of all slots are in use, divided by the longest time that a
        returning server needs to become warm under constant load.
    failed : float
        Requests that failed.
    """
    assert run.grants is not None
    for tenant in uneven_tenants(run.size, run.seed):
        run.start_callers(tenant)
    await trio.sleep(2 * SETTLE_S)
    lost = FAILURE_DOMAINS[0]
    known = run.size.configuration()
    out_servers = {s.name for s in known.backend_servers.values()}
    out_servers &= {
        s.name for s in known.backend_servers.values() if s.failure_domain == lost
    }
    switches = Switches(failure_domains_out=frozenset({lost}))
    out_at_s = trio.current_time()
    _apply_at_random(run, attrs.evolve(known, version=2, switches=switches))
    await trio.sleep(SETTLE_S)
    last_s = out_at_s
    for at_s, _, server in run.log.request_starts:
        if server in out_servers and at_s > out_at_s:
            last_s = at_s
    for name in out_servers:
        run.servers[name].stop()
        run.servers[name].start()
    await trio.sleep(2.0)
    back_at_s = trio.current_time()
    _apply_at_random(run, attrs.evolve(known, version=3))
    target = 0.95 * run.size.slots
    while len(run.log.running) < target:
        await trio.sleep(0.05)
    returned_s = trio.current_time() - back_at_s
    alone_s = max(_ramp_time_s(run.servers[name]) for name in out_servers)
    return last_s - out_at_s, returned_s / alone_s, run.log.failed


def _ramp_time_s(server: FakeServer) -> float:
    """Return the time in which a cold server becomes warm under constant load."""
    return sum(server.costs_s[: server.warm_after_requests]) / server.cold_limit


def _apply_at_random(run: FleetRun, configuration: object) -> None:
    random = Random(run.seed)

    async def apply(router: str) -> None:
        await trio.sleep(random.uniform(0.0, APPLY_WITHIN_S))
        run.grants.apply(router, configuration)

    for router in run.size.router_names():
        run.nursery.start_soon(apply, router)


async def small_waits(run: FleetRun, *, flood: bool, busy: bool) -> float:
    """Return the 99th percentile of a small organisation's waits, in seconds."""
    small = f"organisation-{run.size.organisations - 1}"
    if busy:
        for tenant in uneven_tenants(run.size, run.seed)[1:-1]:
            run.start_callers(tenant)
    if flood:
        run.start_callers(Tenant("organisation-0", "router-0", 200))
    await trio.sleep(SETTLE_S)
    random = Random(run.seed)
    started_at_s = trio.current_time()
    while trio.current_time() < started_at_s + 4 * WINDOW_S:
        await trio.sleep(random.expovariate(1.0))
        run.nursery.start_soon(run.request, "router-3", small)
    waits = []
    for at_s, organisation, wait_s in run.log.waits:
        if organisation == small and at_s >= started_at_s:
            waits.append(wait_s)
    return percentile(waits, 0.99)
