"""Processor time that idle shards cost a router in a large fleet."""

from __future__ import annotations

import time

import trio

from benchmarks.slopes import Slope, fit
from teaseldyke.dispatch import Dispatching
from teaseldyke.peers import Membership, MemoryLinks, MemoryNetwork, PeerAddress
from teaseldyke.types import BackendServer, Configuration, Organisation, Service

SHARDS = (1, 25, 75)
SERVERS_PER_SHARD = 8
ROUTERS = 420
ORGANISATIONS = 18_000
WARMUP_TICKS = 20
TICKS = 200  # a multiple of dispatching.IDLE_TICKS, the interval of idle checks
US_PER_S = 1e6


def configuration(shards: int) -> Configuration:
    """Return a configuration with a number of services of one shard each."""
    services = {}
    servers = {}
    for i in range(shards):
        service = Service(f"model-{i}", "engine", 8)
        services[service.name] = service
        for j in range(SERVERS_PER_SHARD):
            name = f"engine-{i}-{j}"
            servers[name] = BackendServer(name, service.name, "127.0.0.1", 1, "north")
    names = [f"organisation-{i:05d}" for i in range(ORGANISATIONS)]
    organisations = {name: Organisation(name, 1.0) for name in names}
    return Configuration(1, organisations, services, servers, ("north",))


async def idle_cost_us(shards: int) -> tuple[float, float]:
    """Return the time to apply a configuration (us) and that of ticks (us/s)."""
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        peers = {f"router-{i}": PeerAddress("127.0.0.1", 1) for i in range(ROUTERS)}
        links: dict[str, MemoryLinks] = {name: network.join(name) for name in peers}
        membership = Membership("router-0", peers)
        dispatching = Dispatching("router-0", links["router-0"], membership)
        started_at_s = time.perf_counter()
        dispatching.apply_configuration(configuration(shards))
        apply_s = time.perf_counter() - started_at_s
        for _ in range(WARMUP_TICKS):
            dispatching._tick(nursery)
        started_at_s = time.perf_counter()
        for _ in range(TICKS):
            dispatching._tick(nursery)
        tick_s = (time.perf_counter() - started_at_s) / TICKS
        nursery.cancel_scope.cancel()
    return apply_s * US_PER_S, tick_s / dispatching.options.tick_s * US_PER_S


async def shard_slopes() -> list[Slope]:
    """Measure the cost per additional shard for a router without requests for it."""
    applies = []
    ticks = []
    for shards in SHARDS:
        apply_us, tick_us = await idle_cost_us(shards)
        applies.append((float(shards), apply_us))
        ticks.append((float(shards), tick_us))
    return [
        Slope("idle_shard_cpu", "us a second and shard", fit(ticks)[0]),
        Slope("shard_apply_cpu", "us an apply and shard", fit(applies)[0]),
    ]
