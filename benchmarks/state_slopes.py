"""Cost per organisation, queued request and outcome record, in one process."""

from __future__ import annotations

import gc
import hashlib
import tempfile
import time
import tracemalloc
from pathlib import Path

import attrs
import trio
import trio.testing

from benchmarks.slopes import Slope, fit
from teaseldyke.configuration import (
    ApplySheet,
    ConfigurationStore,
    Sheet,
    combine,
    read_sheet,
    write_sheet,
)
from teaseldyke.dispatch import Dispatching
from teaseldyke.outcomes import OutcomeRecords, Started, StoredOutcome
from teaseldyke.peers import Membership, MemoryNetwork
from teaseldyke.platform import MemoryObjectStore, MemoryTableService
from teaseldyke.types import (
    BackendServer,
    Organisation,
    RequestRule,
    Service,
    Switches,
)

ORGANISATIONS = (500, 2000, 8000)
QUEUED = (100, 1000, 4000)
QUEUE_LIMIT = 100_000
RECORDS = 400
CONCURRENT_RECORDS = 50
SERVERS = 10
US_PER_S = 1e6
OUTCOME = StoredOutcome(201, ((b"content-type", b"application/json"),), b"x" * 300)


def sheet(organisations: int) -> Sheet:
    """Return a sheet with a number of organisations."""
    rule = RequestRule("*", "/", True)
    services = {
        "language-model": Service(
            "language-model", "engine", 8, queue_limit=QUEUE_LIMIT, rules=(rule,)
        ),
        "licensing": Service("licensing", "plain", 8, rules=(rule,)),
    }
    servers = {}
    for i in range(SERVERS):
        name = f"engine-{i}"
        servers[name] = BackendServer(
            name, "language-model", "127.0.0.1", 9000 + i, "north"
        )
    organisations_by_name = {}
    for i in range(organisations):
        name = f"organisation-{i:05d}"
        key_hash = hashlib.sha256(name.encode()).hexdigest()
        organisations_by_name[name] = Organisation(
            name, 1.0 + i % 7, (key_hash,), tuple(services)
        )
    return Sheet(organisations_by_name, services, servers, ("north",))


@attrs.define
class _Points:
    """Measured values, each with its number of organisations."""

    parse_us: list[tuple[float, float]] = attrs.field(factory=list)
    accept_us: list[tuple[float, float]] = attrs.field(factory=list)
    load_us: list[tuple[float, float]] = attrs.field(factory=list)
    apply_us: list[tuple[float, float]] = attrs.field(factory=list)
    memory_bytes: list[tuple[float, float]] = attrs.field(factory=list)
    stored_bytes: list[tuple[float, float]] = attrs.field(factory=list)


async def configuration_slopes() -> list[Slope]:
    """Measure reading, accepting, loading and applying sheets of different sizes."""
    points = _Points()
    for count in ORGANISATIONS:
        await _measure_sheet(count, points)
    return [
        Slope("sheet_parse_cpu", "us an organisation", fit(points.parse_us)[0]),
        Slope("sheet_accept_cpu", "us an organisation", fit(points.accept_us)[0]),
        Slope("configuration_load_cpu", "us an organisation", fit(points.load_us)[0]),
        Slope("configuration_apply_cpu", "us an organisation", fit(points.apply_us)[0]),
        Slope(
            "configuration_memory", "bytes an organisation", fit(points.memory_bytes)[0]
        ),
        Slope("stored_sheet", "bytes an organisation", fit(points.stored_bytes)[0]),
    ]


async def _measure_sheet(count: int, points: _Points) -> None:
    generated = sheet(count)
    with tempfile.TemporaryDirectory() as directory:
        write_sheet(generated, Path(directory) / "sheet")
        started_s = time.process_time()
        read = read_sheet(Path(directory) / "sheet")
        points.parse_us.append((count, _elapsed_us(started_s)))
    table, objects = MemoryTableService(), MemoryObjectStore()
    started_s = time.process_time()
    await ConfigurationStore(table, objects).change(ApplySheet(read, 0), "c1", "bench")
    points.accept_us.append((count, _elapsed_us(started_s)))
    stored_bytes = 0
    for name in await objects.names():
        stored_bytes += len(await objects.get(name) or b"")
    points.stored_bytes.append((count, stored_bytes))
    started_s = time.process_time()
    snapshot = await ConfigurationStore(table, objects).load()
    points.load_us.append((count, _elapsed_us(started_s)))
    async with trio.open_nursery() as nursery:
        dispatching = _create_dispatching(nursery)
        started_s = time.process_time()
        dispatching.apply_configuration(snapshot.configuration)
        points.apply_us.append((count, _elapsed_us(started_s)))
    del snapshot, dispatching, read, generated
    gc.collect()
    tracemalloc.start()
    retained = await ConfigurationStore(table, objects).load()
    gc.collect()
    points.memory_bytes.append((count, tracemalloc.get_traced_memory()[0]))
    tracemalloc.stop()
    del retained


async def queue_slopes() -> list[Slope]:
    """Measure the memory of requests that are queued for a permit."""
    points: list[tuple[float, float]] = []
    for count in QUEUED:
        async with trio.open_nursery() as nursery:
            dispatching = _create_dispatching(nursery)
            dispatching.apply_configuration(combine(sheet(16), Switches(), 1))
            gc.collect()
            tracemalloc.start()
            for i in range(count):
                nursery.start_soon(
                    _wait_for_permit, dispatching, f"organisation-{i % 16:05d}"
                )
            await trio.testing.wait_all_tasks_blocked()
            gc.collect()
            points.append((count, tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            nursery.cancel_scope.cancel()
    return [
        Slope("queued_request_memory", "bytes a request in a queue", fit(points)[0])
    ]


async def record_slopes() -> list[Slope]:
    """Measure table writes and processor time per non-idempotent request."""
    slopes = []
    for concurrency in (1, CONCURRENT_RECORDS):
        table = MemoryTableService()
        records = OutcomeRecords(table, MemoryObjectStore(), "router-1", "1")
        started_s = time.process_time()
        async with trio.open_nursery() as nursery:
            await nursery.start(records.run)
            async with trio.open_nursery() as clients:
                for i in range(concurrency):
                    clients.start_soon(
                        _execute_requests, records, i, RECORDS // concurrency
                    )
            await records.drained()
            cost_us = _elapsed_us(started_s) / RECORDS
            nursery.cancel_scope.cancel()
        suffix = f"{concurrency} at once"
        slopes += [
            Slope(
                f"record_rows_{concurrency}",
                f"rows a request, {suffix}",
                records.rows_written / RECORDS,
            ),
            Slope(
                f"record_transactions_{concurrency}",
                f"transactions a request, {suffix}",
                records.transactions / RECORDS,
            ),
            Slope(f"record_cpu_{concurrency}", f"us a request, {suffix}", cost_us),
        ]
    return slopes


async def _execute_requests(records: OutcomeRecords, client: int, count: int) -> None:
    for i in range(count):
        result = await records.begin(
            "parish", f"{client}-{i}", "f", service="licensing"
        )
        assert isinstance(result, Started)
        records.mark_sending(result.attempt)
        await records.finish(result.attempt, OUTCOME)


async def _wait_for_permit(dispatching: Dispatching, organisation: str) -> None:
    await dispatching.acquire("language-model", organisation, estimate_cost=100.0)


def _create_dispatching(nursery: trio.Nursery) -> Dispatching:
    links = MemoryNetwork(nursery).join("router-1")
    return Dispatching("router-1", links, Membership("router-1"))


def _elapsed_us(started_s: float) -> float:
    return US_PER_S * (time.process_time() - started_s)
