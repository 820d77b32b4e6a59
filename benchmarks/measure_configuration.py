"""Measures the configuration: races, time until in force, size, and store reads.

``python -m benchmarks.measure_configuration [--routers N]`` merges its figures into
``build/measures.json``.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import attrs
import fire
import trio
from absl import logging

from benchmarks.configuration_fleet import FleetFigures, FleetMeasurement
from benchmarks.configuration_large import LargeSheetMeasurement
from benchmarks.configuration_races import run_races
from benchmarks.configuration_size import measure_files, write_rows
from benchmarks.large_sheet import large_sheet
from tests.processes.fleet import FleetPlan, running_fleet

REPORT = Path("build/measures.json")
RACES = 200
CHANGES = 40
SEED = 1
READS_BUDGET_PER_S = 200.0  # a tenth of the table service's capacity


@attrs.frozen
class Row:
    """One measured value.

    Parameters
    ----------
    name, unit : str
        Name and unit of the measure.
    target : float or None
        Largest acceptable value.
    value : float
        Measured value.
    naive : float or None
        Value of the naive version, if it was measured.
    seed : int
        Seed of the run.
    """

    name: str
    unit: str
    target: float | None
    value: float
    naive: float | None
    seed: int

    @property
    def holds(self) -> bool | None:
        """Whether the target is met; ``None`` without a target."""
        return None if self.target is None else self.value <= self.target


def measure_races() -> list[Row]:
    """Run races between operators against the product and the naive version."""
    result = run_races("teaseldyke", range(RACES))
    naive = run_races("naive", range(RACES))
    rows = [Row("configuration_races_accepted", "", None, result.accepted, None, SEED)]
    for name in (
        "lost_changes",
        "reversions",
        "half_applied",
        "both_won",
        "false_refusals",
        "late_routers",
        "unreadable",
    ):
        found = getattr(result, name)
        rows.append(Row(name, "count", 0, found, getattr(naive, name), SEED))
    return rows


def measure_size() -> list[Row]:
    """Measure a reader and the sheet's files with 18,000 organisations."""
    sheet = large_sheet()
    with tempfile.TemporaryDirectory() as directory:
        rows_path = Path(directory) / "rows"
        write_rows(rows_path, sheet)
        files = measure_files(Path(directory), sheet)
        figures = _run_size(rows_path)
        naive = _run_size(rows_path, "--inline")
    rows = [
        Row("apply_pause_ms", "ms", 20, _largest(figures), _largest(naive), SEED),
        Row(
            "config_memory_bytes",
            "bytes",
            None,
            figures["first_memory_bytes"],
            naive["first_memory_bytes"],
            SEED,
        ),
        Row("sheet_read_csv_s", "s", None, files["sheet"], None, SEED),
        Row("sheet_read_xlsx_s", "s", None, files["sheet.xlsx"], None, SEED),
    ]
    for step in ("first", "whole", "one_key", "switch"):
        for figure, unit in (("apply_s", "s"), ("pause_ms", "ms")):
            name = f"{step}_{figure}"
            rows.append(
                Row(f"config_{name}", unit, None, figures[name], naive[name], SEED)
            )
    return rows


async def measure_fleet(routers: int) -> list[Row]:
    """Measure a fleet of router processes."""
    plan = FleetPlan(routers=routers, engines=3, services=1)
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(Path(directory), plan) as fleet:
            figures = await FleetMeasurement(fleet, SEED).run(CHANGES)
    suffix = "" if routers == 7 else f"_{routers}_routers"
    target_s = 2.0 if routers == 7 else 4.0
    rows = _in_force_rows(figures, suffix, target_s)
    rows.append(
        Row(
            f"store_reads_per_s{suffix}",
            "reads/s",
            READS_BUDGET_PER_S,
            figures.store_reads_per_s,
            None,
            SEED,
        )
    )
    return rows


async def measure_large() -> list[Row]:
    """Measure three router processes to which 18,000 organisations are applied."""
    plan = FleetPlan(routers=3, engines=1, services=1)
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(Path(directory), plan) as fleet:
            measurement = LargeSheetMeasurement(fleet)
            await measurement.run()
    delay_ms = max(measurement.delays_ms)
    in_force_s = max(measurement.in_force_s)
    return [
        Row("apply_request_delay_ms", "ms", 20, delay_ms, None, SEED),
        Row("large_sheet_in_force_s", "s", 4, in_force_s, None, SEED),
    ]


def merge(rows: list[Row], path: Path) -> None:
    """Replace entries of the same name in a JSON file and keep the others."""
    entries: list[dict[str, Any]] = []
    if path.exists():
        entries = json.loads(path.read_text())
    names = {row.name for row in rows}
    entries = [entry for entry in entries if entry["name"] not in names]
    entries += [{**attrs.asdict(row), "holds": row.holds} for row in rows]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(entries, indent=2) + "\n")


def run(routers: int = 7, only: str = "") -> None:
    """Measure, merge and print; ends with status 1 if a target is missed.

    Parameters
    ----------
    routers : int
        Router processes of the fleet.
    only : {"", "races", "size", "large", "fleet"}
        Which group of measures to run; all by default.
    """
    logging.set_verbosity(logging.ERROR)
    sections: dict[str, Callable[[], list[Row]]] = {
        "races": measure_races,
        "size": measure_size,
        "large": partial(trio.run, measure_large),
        "fleet": partial(trio.run, measure_fleet, routers),
    }
    rows: list[Row] = []
    for name, measure_section in sections.items():
        if only not in ("", name):
            continue
        print(f"measuring {name} ...", flush=True)
        rows += measure_section()
    merge(rows, REPORT)
    for row in rows:
        print(f"{row.name}: {row.value:g} {row.unit}", end="")
        print(f" (target {row.target}, naive {row.naive}, holds {row.holds})")
    if any(row.holds is False for row in rows):
        raise SystemExit(1)


def _in_force_rows(figures: FleetFigures, suffix: str, target_s: float) -> list[Row]:
    rows = []
    for name, times_s in (
        ("config_in_force", figures.in_force_s),
        ("config_in_force_outage", figures.outage_in_force_s),
    ):
        p99_s = statistics.quantiles(times_s, n=100)[98]
        largest_s = max(times_s)
        rows.append(Row(f"{name}_p99_s{suffix}", "s", target_s, p99_s, None, SEED))
        rows.append(Row(f"{name}_s{suffix}", "s", target_s, largest_s, None, SEED))
    return rows


def _largest(figures: dict[str, float]) -> float:
    return max(
        value
        for name, value in figures.items()
        if name.endswith("_pause_ms") and name != "idle_pause_ms"
    )


def _run_size(rows_path: Path, *options: str) -> dict[str, float]:
    command = [sys.executable, "-m", "benchmarks.configuration_size", str(rows_path)]
    done = subprocess.run([*command, *options], capture_output=True, check=True)
    figures: dict[str, float] = json.loads(done.stdout)
    return figures


if __name__ == "__main__":
    fire.Fire(run)
