"""Cost of requests, streams and routers, measured on real processes."""

from __future__ import annotations

import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import trio

from benchmarks.load import OpenStreams, Target, latencies_s
from benchmarks.path import (
    benchmark_plan,
    measure_plain,
    measure_streams,
    plain_targets,
    router_streams,
)
from benchmarks.processes import cpu_s, resident_bytes
from benchmarks.slopes import Slope, fit
from tests.processes.fleet import Fleet, FleetPlan, running_fleet

ROUTERS = (1, 4, 8, 16)
STARTUP_S = 6.0  # until membership is complete and the first reports are sent
IDLE_S = 12.0
OPEN_STREAMS = (50, 200, 500)
QUEUED_REQUESTS = (50, 200, 500)
STREAM_READ_S = 4.0
LOADED_ROUTERS = 4
LOADED_RATE_PER_S = 200
LOADED_S = 6.0
SLOW_TOKENS_PER_S = 0.2
SLOW_WORK_S = 600.0
US_PER_S = 1e6


@attrs.frozen
class NodeUse:
    """Resource usage of a router, and reads of the platform, since the start.

    Parameters
    ----------
    cpu_s : float
        Processor time of a router, average of all.
    control_bytes, control_frames : float
        Bytes and frames sent and received on the links of a router, average of all.
    platform_reads : float
        Reads that the table service has answered, for all routers together.
    """

    cpu_s: float
    control_bytes: float
    control_frames: float
    platform_reads: float

    def rate_since(self, before: NodeUse, divisor: float) -> NodeUse:
        """Return the increase since `before`, divided by a time or a count."""
        return NodeUse(
            (self.cpu_s - before.cpu_s) / divisor,
            (self.control_bytes - before.control_bytes) / divisor,
            (self.control_frames - before.control_frames) / divisor,
            (self.platform_reads - before.platform_reads) / divisor,
        )


async def node_usage(fleet: Fleet) -> NodeUse:
    """Return the usage since the start."""
    count = len(fleet.routers)
    used_s = sum(cpu_s(router.process.pid) for router in fleet.routers)
    sent_bytes = frames = 0
    for router in fleet.routers:
        links = (await fleet.status(router))["parts"]["links"]
        sent_bytes += links["bytes_sent"] + links["bytes_received"]
        frames += links["frames_sent"] + links["frames_received"]
    counts = await fleet.call(fleet.processes["platform"], "GET", "/counts")
    return NodeUse(
        used_s / count,
        sent_bytes / count,
        frames / count,
        counts["tables"]["reads"],
    )


async def request_slopes() -> list[Slope]:
    """Measure processor time and control traffic per forwarded request."""
    async with _fleet(benchmark_plan(0, 1, 1.0)) as fleet:
        latencies_s([plain_targets(fleet)[1]], LOADED_RATE_PER_S, 2.0)
        values = {measure.name: measure.value for measure in measure_plain(fleet)}
    slopes = [Slope("plain_request_cpu", "us a request", values["plain_request_cpu"])]
    plan = attrs.evolve(benchmark_plan(0, 1, 1.0), routers=LOADED_ROUTERS)
    async with _fleet(plan) as fleet:
        target = plain_targets(fleet)[1]
        latencies_s([target], LOADED_RATE_PER_S, 2.0)
        before = await node_usage(fleet)
        latencies_s([target], LOADED_RATE_PER_S, LOADED_S)
        usage = (await node_usage(fleet)).rate_since(
            before, LOADED_RATE_PER_S * LOADED_S / LOADED_ROUTERS
        )
    suffix = (
        f"a request at {LOADED_RATE_PER_S}/s, all {LOADED_ROUTERS} routers, idle too"
    )
    return [
        *slopes,
        Slope("fleet_request_cpu", f"us {suffix}", usage.cpu_s * US_PER_S),
        Slope("fleet_request_control", f"bytes {suffix}", usage.control_bytes),
        Slope("fleet_request_frames", f"frames {suffix}", usage.control_frames),
    ]


async def stream_slopes() -> list[Slope]:
    """Measure processor time per streamed event and memory per open stream."""
    slopes = []
    for tokens_per_s, suffix in ((15.0, "alone"), (66.0, "saturated")):
        async with _fleet(benchmark_plan(2, 0, tokens_per_s)) as fleet:
            values = {m.name: m.value for m in measure_streams(fleet)}
        unit = f"us an event, {values['streamed_events_a_read']:.1f} events a read"
        name = f"streamed_event_cpu_{suffix}"
        slopes.append(Slope(name, unit, values["streamed_event_cpu"]))
    async with _fleet(benchmark_plan(1, 0, SLOW_TOKENS_PER_S)) as fleet:
        memory = await _memory_per_open_request(
            fleet, OPEN_STREAMS, router_streams(fleet)
        )
    slopes.append(Slope("open_stream_memory", "bytes an open stream", memory))
    return slopes


async def queue_memory_slope() -> list[Slope]:
    """Measure the resident memory of a request that is queued in a router."""
    plan = benchmark_plan(0, 1, 1.0)
    service = attrs.evolve(plan.plain_service, limit=1, cold_limit=1)
    plan = attrs.evolve(plan, plain_service=service, service={"work_s": SLOW_WORK_S})
    async with _fleet(plan) as fleet:
        memory = await _memory_per_open_request(
            fleet, QUEUED_REQUESTS, [plain_targets(fleet)[1]]
        )
    return [Slope("waiting_request_memory", "bytes a waiting request", memory)]


async def node_slopes() -> list[Slope]:
    """Measure an idle router in fleets of different sizes."""
    usages, memory = [], []
    for count in ROUTERS:
        plan = attrs.evolve(benchmark_plan(0, 1, 1.0), routers=count)
        async with _fleet(plan) as fleet:
            await trio.sleep(STARTUP_S)
            before = await node_usage(fleet)
            await trio.sleep(IDLE_S)
            usages.append((count, (await node_usage(fleet)).rate_since(before, IDLE_S)))
            sizes = [resident_bytes(router.process.pid) for router in fleet.routers]
            memory.append((count, sum(sizes) / count))
            print(f"  {count} routers: {usages[-1][1]} {memory[-1][1]:.0f} bytes")
    cpu = fit([(n, usage.cpu_s) for n, usage in usages])
    bytes_s = fit([(n, usage.control_bytes) for n, usage in usages])
    frames_s = fit([(n, usage.control_frames) for n, usage in usages])
    reads_s = fit([(n, usage.platform_reads) for n, usage in usages])
    resident = fit([(float(n), float(size)) for n, size in memory])
    return [
        Slope("idle_cpu", "us a second, alone", (cpu[0] + cpu[1]) * US_PER_S),
        Slope(
            "idle_cpu_by_router", "us a second and further router", cpu[0] * US_PER_S
        ),
        Slope("idle_control_by_router", "bytes a second and router", bytes_s[0]),
        Slope("idle_frames_by_router", "frames a second and router", frames_s[0]),
        Slope("platform_reads_by_router", "reads a second and router", reads_s[0]),
        Slope("router_memory", "bytes, alone", resident[0] + resident[1]),
        Slope("router_memory_by_router", "bytes a further router", resident[0]),
    ]


@asynccontextmanager
async def _fleet(plan: FleetPlan) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(Path(directory), plan) as fleet:
            yield fleet


async def _memory_per_open_request(
    fleet: Fleet, counts: tuple[int, ...], targets: list[Target]
) -> float:
    """Return the resident memory in bytes per additional open request."""
    pid = fleet.routers[0].process.pid
    await trio.sleep(STARTUP_S)
    points = []
    opened: list[OpenStreams] = []
    total = 0
    for count in counts:
        opened.append(OpenStreams(targets, count - total))
        total = count
        opened[-1].read(STREAM_READ_S)
        points.append((float(total), float(resident_bytes(pid))))
    for streams in opened:
        streams.close()
    return fit(points)[0]
