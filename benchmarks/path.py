"""Measures one router on one core and, in the same run, direct connections.

Run by ``python -m benchmarks.path``; writes ``build/benchmark.json``.
"""

from __future__ import annotations

import json
import statistics
import sys
import tempfile
from pathlib import Path

import trio

from benchmarks.gateway import measure_gateway
from benchmarks.load import (
    OpenStreams,
    Target,
    latencies_s,
    requests_per_s,
)
from benchmarks.measures import Measure, format_table, write_measures
from benchmarks.processes import cpu_s, resident_bytes
from teaseldyke.settings import Address
from teaseldyke.types import RequestRule, Service
from tests.processes.fleet import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Fleet,
    FleetPlan,
    running_fleet,
)

REPORT = Path("build/benchmark.json")

SLOTS = 1200  # more than are ever in use, so that slots are not the limit
ROUNDS = 3  # the median is reported
LATENCY_RATE_PER_S = 200
LATENCY_S = 5.0
PLAIN_CONNECTIONS = 32
PLAIN_S = 4.0
STREAMS = 300
STREAM_TOKENS_PER_S = 66.0  # offers 19,800 events/s, each in a write of its own
STREAM_WARMUP_S = 3.0
STREAM_S = 4.0
MEMORY_STREAMS = 500
MEMORY_TOKENS_PER_S = 1.0
MEMORY_S = 6.0
MIB = 1024 * 1024

ANY_REQUEST = RequestRule("*", "/", True)


def _unlimited_service(name: str, kind: str) -> Service:
    return Service(
        name,
        "engine" if kind == "engine" else "plain",
        SLOTS,
        cold_limit=SLOTS,
        warm_after_requests=0,
        queue_limit=SLOTS,
        rules=(ANY_REQUEST,),
    )


def benchmark_plan(engines: int, services: int, tokens_per_s: float) -> FleetPlan:
    """Return a fleet in which the capacity of backend servers is never the limit."""
    return FleetPlan(
        routers=1,
        engines=engines,
        services=services,
        failure_domains=("north",),
        shares={"parish": 1.0},
        engine_service=_unlimited_service(ENGINE_SERVICE, "engine"),
        plain_service=_unlimited_service(PLAIN_SERVICE, "plain"),
        engine={"tokens_per_s": tokens_per_s, "prefill_s": 0.0},
        service={"work_s": 0.0},
    )


def _encode_request(method: str, path: str, body: bytes = b"") -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: benchmark",
        "Authorization: Bearer key-parish",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def plain_targets(fleet: Fleet) -> tuple[Target, Target]:
    """Return targets for a plain request: the service itself and the router."""
    path = "/stations/9"
    direct = fleet.services[0].address
    via_router = fleet.routers[0].address
    return (
        Target("direct", direct, _encode_request("GET", path)),
        Target(
            "router",
            via_router,
            _encode_request("GET", f"/services/{PLAIN_SERVICE}{path}"),
        ),
    )


def _stream_target(name: str, address: Address, prefix: str) -> Target:
    body = {
        "model": "standin",
        "stream": True,
        "max_tokens": 1_000_000,
        "messages": [{"role": "user", "content": "why this correction"}],
    }
    path = f"{prefix}/v1/chat/completions"
    return Target(
        name, address, _encode_request("POST", path, json.dumps(body).encode())
    )


def router_streams(fleet: Fleet) -> list[Target]:
    """Return a target for a practically endless stream through the router."""
    prefix = f"/services/{ENGINE_SERVICE}"
    return [_stream_target("router", fleet.routers[0].address, prefix)]


def _direct_streams(fleet: Fleet) -> list[Target]:
    return [_stream_target("direct", e.address, "") for e in fleet.engines]


def measure_latency(fleet: Fleet) -> list[Measure]:
    """Measure the latency added by the router; direct and routed requests alternate."""
    targets = list(plain_targets(fleet))
    latencies_s(targets, LATENCY_RATE_PER_S, 1.0)
    p50_ms: dict[str, list[float]] = {"direct": [], "router": []}
    p99_ms: dict[str, list[float]] = {"direct": [], "router": []}
    for _ in range(ROUNDS):
        latencies = latencies_s(targets, LATENCY_RATE_PER_S, LATENCY_S)
        for name, values in latencies.items():
            p50_ms[name].append(1000 * values[len(values) // 2])
            p99_ms[name].append(1000 * values[len(values) * 99 // 100])
    added_p50_ms = _median_difference_ms(p50_ms)
    added_p99_ms = _median_difference_ms(p99_ms)
    return [
        Measure("added_latency_p50", "ms at 200/s", added_p50_ms, 2.0),
        Measure("added_latency_p99", "ms at 200/s", added_p99_ms, 10.0),
        Measure("direct_latency_p50", "ms", statistics.median(p50_ms["direct"])),
        Measure("direct_latency_p99", "ms", statistics.median(p99_ms["direct"])),
    ]


def _median_difference_ms(values_ms: dict[str, list[float]]) -> float:
    pairs = zip(values_ms["router"], values_ms["direct"], strict=True)
    return statistics.median(router - direct for router, direct in pairs)


def measure_plain(fleet: Fleet) -> list[Measure]:
    """Measure the throughput of plain requests and the processor time of each."""
    direct, via_router = plain_targets(fleet)
    router_pid = fleet.routers[0].process.pid
    direct_rates, rates, costs_us = [], [], []
    for _ in range(ROUNDS):
        direct_rates.append(requests_per_s(direct, PLAIN_CONNECTIONS, PLAIN_S))
        before_s = cpu_s(router_pid)
        rate = requests_per_s(via_router, PLAIN_CONNECTIONS, PLAIN_S)
        rates.append(rate)
        costs_us.append(1e6 * (cpu_s(router_pid) - before_s) / (rate * PLAIN_S))
    return [
        Measure(
            "plain_requests",
            "requests/s",
            statistics.median(rates),
            1000.0,
            "higher",
        ),
        Measure("direct_requests", "requests/s", statistics.median(direct_rates)),
        Measure("plain_request_cpu", "us", statistics.median(costs_us)),
    ]


def measure_streams(fleet: Fleet) -> list[Measure]:
    """Measure the throughput of streamed events and the processor time of each."""
    direct = OpenStreams(_direct_streams(fleet), STREAMS)
    direct.read(STREAM_WARMUP_S)
    direct_events, _ = direct.read(STREAM_S)
    direct.close()
    streams = OpenStreams(router_streams(fleet), STREAMS)
    streams.read(STREAM_WARMUP_S)
    router_pid = fleet.routers[0].process.pid
    before_s = cpu_s(router_pid)
    events, reads = streams.read(STREAM_S)
    used_s = cpu_s(router_pid) - before_s
    streams.close()
    if streams.started < STREAMS:
        raise ConnectionError(f"only {streams.started} of {STREAMS} streams started")
    rate = events / STREAM_S
    return [
        Measure("streamed_events", "events/s", rate, 15_000.0, "higher"),
        Measure("streamed_event_cpu", "us", 1e6 * used_s / events),
        Measure("streamed_router_busy", "% of a core", 100 * used_s / STREAM_S),
        Measure("streamed_events_a_read", "events", events / reads),
        Measure("direct_events", "events/s", direct_events / STREAM_S),
    ]


def measure_memory(fleet: Fleet) -> list[Measure]:
    """Measure the router's resident memory while many streams are open."""
    router_pid = fleet.routers[0].process.pid
    before_bytes = resident_bytes(router_pid)
    streams = OpenStreams(router_streams(fleet), MEMORY_STREAMS)
    streams.read(MEMORY_S)
    open_bytes = resident_bytes(router_pid)
    streams.close()
    if streams.started < MEMORY_STREAMS:
        raise ConnectionError(
            f"only {streams.started} of {MEMORY_STREAMS} streams started"
        )
    return [
        Measure("resident_at_500_streams", "MB", open_bytes / MIB, 100.0),
        Measure("resident_before", "MB", before_bytes / MIB),
    ]


async def run() -> list[Measure]:
    """Run all measurements, each group on a fleet of its own, then the gateway's."""
    measures: list[Measure] = []
    plans = (
        ("latency", benchmark_plan(0, 1, 1.0), (measure_latency, measure_plain)),
        ("streams", benchmark_plan(2, 0, STREAM_TOKENS_PER_S), (measure_streams,)),
        ("memory", benchmark_plan(1, 0, MEMORY_TOKENS_PER_S), (measure_memory,)),
    )
    for name, plan, functions in plans:
        with tempfile.TemporaryDirectory() as directory:
            async with running_fleet(Path(directory), plan) as fleet:
                for function in functions:
                    print(f"measuring {name}: {function.__name__} ...", flush=True)
                    measures += function(fleet)
    print("measuring the gateway ...", flush=True)
    return measures + await measure_gateway()


def main() -> int:
    """Measure, write and print; return 1 if a target is missed."""
    measures = trio.run(run)
    write_measures(measures, REPORT)
    print(format_table(measures))
    return 1 if any(measure.holds is False for measure in measures) else 0


if __name__ == "__main__":
    sys.exit(main())
