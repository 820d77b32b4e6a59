"""Measures the configuration reader of one router with 18,000 organisations.

``python -m benchmarks.configuration_size ROWS [--inline]`` measures in a process of its
own, reads the rows that `write_rows` stored from another process, and prints the values
as JSON. With ``--inline`` all work is done in the event loop, for comparison.
"""

from __future__ import annotations

import gc
import json
import os
import pickle
import sys
import time
from pathlib import Path

import attrs
import trio

from benchmarks.processes import resident_bytes
from teaseldyke.configuration import (
    ApplySheet,
    Change,
    ConfigurationReader,
    ConfigurationStore,
    ReplaceKey,
    SetSwitch,
    Sheet,
    offloading,
    read_sheet,
    write_sheet,
)
from teaseldyke.peers import MemoryNetwork
from teaseldyke.platform import MemoryObjectStore, MemoryTableService, Row
from teaseldyke.types import Configuration

POLL_INTERVAL_S = 0.02
MONITOR_INTERVAL_S = 0.001
OBSERVATION_S = 0.3  # pauses are also recorded for so long after each change
STEPS = ("first", "whole", "one_key", "switch")

Tables = dict[str, dict[str, Row]]


@attrs.frozen
class StoredSteps:
    """Contents of the platform's stores after each change.

    Parameters
    ----------
    tables : list of dict
        Rows of the table service after each of `STEPS`.
    objects : dict
        Objects of all steps by name.
    """

    tables: list[Tables]
    objects: dict[str, bytes]


@attrs.define
class EventLoopMonitor:
    """Measures how long the event loop is blocked.

    Parameters
    ----------
    pauses_ms : list of float
        Delays of the wake-ups beyond `MONITOR_INTERVAL_S`.
    """

    pauses_ms: list[float] = attrs.field(factory=list)

    async def run(self) -> None:
        """Record delays until cancelled."""
        while True:
            started_at_s = time.perf_counter()
            await trio.sleep(MONITOR_INTERVAL_S)
            elapsed_s = time.perf_counter() - started_at_s
            self.pauses_ms.append(1000 * (elapsed_s - MONITOR_INTERVAL_S))

    async def max_pause_after(self, duration_s: float) -> float:
        """Wait for a duration; return the largest pause since the previous call."""
        await trio.sleep(duration_s)
        largest_ms = max(self.pauses_ms)
        self.pauses_ms.clear()
        return largest_ms


def write_rows(path: Path, sheet: Sheet) -> None:
    """Apply the changes of all steps to a store; write its contents to a file."""
    path.write_bytes(pickle.dumps(trio.run(_accept_steps, sheet)))


def measure_files(directory: Path, sheet: Sheet) -> dict[str, float]:
    """Return the time in s to read and check a sheet from CSV files and a workbook."""
    figures = {}
    for name in ("sheet", "sheet.xlsx"):
        path = directory / name
        write_sheet(sheet, path)
        started_at_s = time.perf_counter()
        assert read_sheet(path) == sheet
        figures[name] = time.perf_counter() - started_at_s
    return figures


async def _accept_steps(sheet: Sheet) -> StoredSteps:
    table = MemoryTableService()
    store = ConfigurationStore(table, MemoryObjectStore())
    doubled = {
        name: attrs.evolve(organisation, share=2 * organisation.share)
        for name, organisation in sheet.organisations.items()
    }
    changes: list[Change] = [
        ApplySheet(sheet, 0),
        ApplySheet(attrs.evolve(sheet, organisations=doubled), 1),
        ReplaceKey(next(iter(doubled)), "f" * 64),
        SetSwitch("failure-domain", sheet.failure_domains[0], True),
    ]
    tables = []
    for i, change in enumerate(changes):
        await store.change(change, f"change-{i}", "benchmark")
        rows = {row.key: row for row in await table.scan("configuration")}
        tables.append({"configuration": rows})
    objects = {
        name: await store.objects.get(name) or b""
        for name in await store.objects.names()
    }
    return StoredSteps(tables, objects)


async def _measure(steps: StoredSteps) -> dict[str, float]:
    table = MemoryTableService()
    objects = MemoryObjectStore()
    for name, data in steps.objects.items():
        await objects.put(name, data)
    figures: dict[str, float] = {}
    monitor = EventLoopMonitor()
    async with trio.open_nursery() as nursery:
        links = MemoryNetwork(nursery).join("router-1")
        reader = ConfigurationReader(
            ConfigurationStore(table, objects),
            links,
            list,
            poll_interval_s=POLL_INTERVAL_S,
        )
        index: dict[str, str] = {}
        reader.subscribe(
            lambda configuration: index.update(_index_by_key_hash(configuration))
        )
        await nursery.start(reader.run)
        nursery.start_soon(monitor.run)
        figures["idle_pause_ms"] = await monitor.max_pause_after(OBSERVATION_S)
        gc.collect()
        before_bytes = resident_bytes(os.getpid())
        await monitor.max_pause_after(OBSERVATION_S)
        for version, name in enumerate(STEPS, start=1):
            started_at_s = time.perf_counter()
            await _replace_rows(table, steps.tables[version - 1])
            while reader.snapshot.version < version:
                await trio.sleep(MONITOR_INTERVAL_S)
            figures[f"{name}_apply_s"] = time.perf_counter() - started_at_s
            figures[f"{name}_pause_ms"] = await monitor.max_pause_after(OBSERVATION_S)
            resident = resident_bytes(os.getpid())
            figures[f"{name}_memory_bytes"] = resident - before_bytes
        nursery.cancel_scope.cancel()
    return figures


async def _replace_rows(table: MemoryTableService, tables: Tables) -> None:
    table._tables = tables


def _index_by_key_hash(configuration: Configuration) -> dict[str, str]:
    """Index the organisations by key hash, as a router does."""
    index = {}
    for organisation in configuration.organisations.values():
        for key_hash in organisation.key_hashes:
            index[key_hash] = organisation.name
    return index


def main() -> None:
    """Measure and print the values as JSON."""
    steps: StoredSteps = pickle.loads(Path(sys.argv[1]).read_bytes())
    if "--inline" in sys.argv:
        offloading.THREAD_MIN_ENTRIES = sys.maxsize
    print(json.dumps(trio.run(_measure, steps)))


if __name__ == "__main__":
    main()
