"""Measures fair dispatch: the product, the naive version and way A under one load.

``python -m benchmarks.measure_dispatch`` merges its figures into
``build/measures.json`` and prints them as a table.
"""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path
from typing import Any, Literal

import attrs

from benchmarks import dispatch_scenarios as scenarios
from benchmarks.dispatch_load import COST_MAX_S, FleetSize
from benchmarks.dispatch_runs import run_fleet

REPORT = Path("build/measures.json")
SEEDS = (1, 2, 3)
DELAYS_S = (0.0015, 0.05, 0.5, 5.0)
COLD = FleetSize(cold_limit=1, warm_after_requests=8)
BYTES_BUDGET_PER_S = 18_000.0


@attrs.frozen
class Row:
    """One measured value: the worst over the seeds that ``seed`` names."""

    name: str
    unit: str
    target: float | None
    value: float
    naive: float | None = None
    seed: str = "1-3"
    better: Literal["lower", "higher"] = "lower"

    @property
    def holds(self) -> bool | None:
        """Whether the target is met; ``None`` without a target."""
        if self.target is None:
            return None
        if self.better == "lower":
            return self.value <= self.target
        return self.value >= self.target


def gap_bound(slots: int, delay_s: float) -> float:
    """Return the bound of the service gap, in units of the largest request's cost.

    All shares are 1, and a slot serves one second of cost per second. ``delay_s`` is
    the one-way delay of control messages: the dispatcher learns of a completion after
    one delay, and its next grant arrives after another.
    """
    return 2 * (slots + 1) + 2 * slots * 2 * delay_s / COST_MAX_S


def fairness_rows() -> list[Row]:
    """Compare the service gap and slot utilisation for all ways and control delays."""
    rows = []
    size = FleetSize()
    for delay_s in DELAYS_S:
        figures: dict[str, list[tuple[float, float]]] = {}
        for way in ("grants", "exchange", "alone"):
            runs = []
            for seed in SEEDS:
                found = run_fleet(size, way, seed, scenarios.fairness, delay_s)
                assert isinstance(found, tuple)
                runs.append((found[0] / COST_MAX_S, found[1]))
            figures[way] = runs
        worst = {way: max(gap for gap, _ in runs) for way, runs in figures.items()}
        label = f"{1000 * delay_s:g}ms"
        bound = gap_bound(size.slots, delay_s)
        naive = worst["alone"]
        unit = "largest requests"
        rows.append(Row(f"fairness_gap_{label}", unit, bound, worst["grants"], naive))
        ratio = max(
            ours[0] / theirs[0]
            for ours, theirs in zip(figures["grants"], figures["alone"], strict=True)
        )
        rows.append(Row(f"fairness_gap_ratio_{label}", "of naive", 0.1, ratio))
        rows.append(Row(f"fairness_gap_way_a_{label}", unit, None, worst["exchange"]))
        used = min(used for _, used in figures["grants"])
        naive_used = min(used for _, used in figures["alone"])
        target = 0.98 if delay_s == DELAYS_S[0] else None
        name = f"utilisation_{label}"
        rows.append(Row(name, "", target, used, naive_used, better="higher"))
    return rows


def shard_rows() -> list[Row]:
    """Measure the service gap with the service split over several dispatchers."""
    rows = []
    size = FleetSize(servers=8)
    for shards in (1, 2, 4):
        split = attrs.evolve(size, shards=shards)
        gaps = []
        for seed in SEEDS:
            found = run_fleet(split, "grants", seed, scenarios.fairness)
            assert isinstance(found, tuple)
            gaps.append(found[0] / COST_MAX_S)
        bound = gap_bound(size.slots, DELAYS_S[0])
        name = f"fairness_gap_shards_{shards}"
        rows.append(Row(name, "largest requests", bound, max(gaps)))
    return rows


def fault_rows() -> list[Row]:
    """Measure cold servers, dispatcher loss, and a failure domain out and back."""
    cold = [
        _single_figure(run_fleet(COLD, "grants", s, scenarios.cold_servers))
        for s in SEEDS
    ]
    naive = [
        _single_figure(run_fleet(COLD, "alone", s, scenarios.cold_servers))
        for s in SEEDS
    ]
    rows = [Row("cold_overrun", "requests", 0.0, max(cold), max(naive))]
    for frozen, target in ((False, 1.0), (True, 2.0)):
        loss = partial(scenarios.dispatcher_loss, frozen=frozen)
        worst = max(
            _single_figure(run_fleet(FleetSize(), "grants", seed, loss))
            for seed in SEEDS
        )
        name = "dispatcher_loss_freeze_s" if frozen else "dispatcher_loss_kill_s"
        rows.append(Row(name, "s", target, worst))
    out, back, failed = [], [], []
    for seed in SEEDS:
        found = run_fleet(COLD, "grants", seed, scenarios.domain_out_and_back)
        assert isinstance(found, tuple)
        out.append(found[0])
        back.append(found[1])
        failed.append(found[2])
    rows.append(Row("domain_out_s", "s", 2.0, max(out)))
    rows.append(Row("domain_out_failed", "requests", 0.0, max(failed)))
    rows.append(Row("domain_return_ratio", "of the ramps alone", 1.2, max(back)))
    return rows


def load_rows() -> list[Row]:
    """Measure slot utilisation, waits during a flood, and control traffic."""
    used = []
    for seed in SEEDS:
        found = run_fleet(FleetSize(), "grants", seed, scenarios.one_router)
        assert isinstance(found, tuple)
        used.append(found[1])
    rows = [Row("utilisation_one_router", "", 0.98, min(used), better="higher")]
    for busy in (True, False):
        ratios = {}
        for way in ("grants", "alone"):
            ratios[way] = max(_waiting_ratio(way, seed, busy) for seed in SEEDS)
        name = "waiting_ratio" if busy else "waiting_ratio_from_idle"
        rows.append(Row(name, "", 2.0, ratios["grants"], ratios["alone"]))
    traffic = []
    for seed in SEEDS:
        found = run_fleet(FleetSize(), "grants", seed, scenarios.control_traffic)
        assert isinstance(found, tuple)
        traffic.append(found)
    worst = max(busiest for busiest, _ in traffic)
    mean = max(mean for _, mean in traffic)
    rows.append(Row("control_bytes_per_s", "B/s", BYTES_BUDGET_PER_S, worst))
    rows.append(Row("control_bytes_per_s_mean", "B/s", BYTES_BUDGET_PER_S, mean))
    return rows


def _waiting_ratio(way: str, seed: int, busy: bool) -> float:
    waits = {}
    for flood in (False, True):
        scenario = partial(scenarios.small_waits, flood=flood, busy=busy)
        waits[flood] = _single_figure(run_fleet(FleetSize(), way, seed, scenario))
    return waits[True] / max(waits[False], 1e-3)


def _single_figure(found: Any) -> float:
    assert isinstance(found, float)
    return found


def format_rows(rows: list[Row]) -> str:
    """Return the rows as an aligned table."""
    lines = []
    for row in rows:
        sign = "<=" if row.better == "lower" else ">="
        target = "" if row.target is None else f"{sign} {row.target:g}"
        naive = "" if row.naive is None else f"{row.naive:.3f}"
        holds = {None: "", True: "yes", False: "NO"}[row.holds]
        lines.append(
            f"{row.name:32} {row.value:10.3f} {target:12} {naive:>10} {holds:4}"
            f" {row.unit}"
        )
    return "\n".join(lines)


def merge_rows(rows: list[Row], path: Path = REPORT) -> None:
    """Replace entries of the same name in the report and keep the others."""
    entries: list[dict[str, Any]] = []
    if path.exists():
        entries = json.loads(path.read_text())
    names = {row.name for row in rows}
    entries = [entry for entry in entries if entry["name"] not in names]
    for row in rows:
        entry = attrs.asdict(row)
        del entry["better"]
        entries.append({**entry, "holds": row.holds})
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(entries, indent=2) + "\n")


def measure() -> list[Row]:
    """Run every measure and return its rows."""
    return [*fairness_rows(), *shard_rows(), *fault_rows(), *load_rows()]


if __name__ == "__main__":
    found_rows = measure()
    merge_rows(found_rows)
    print(format_rows(found_rows))
