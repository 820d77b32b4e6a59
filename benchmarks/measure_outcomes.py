"""Measures request outcomes under mixes of faults, compared with a naive router.

Run by ``python -m benchmarks.measure_outcomes``. Each mix runs on a fleet of its own:
three routers, which reach three processes of a plain service and the platform through
relays. Prints a table and merges its measures into ``build/measures.json``.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

import attrs
import fire
import trio

from benchmarks.fault_mixes import MIXES, Mix
from benchmarks.outcome_fleet import outcome_plan, running_relayed_fleet
from benchmarks.outcome_load import SETTLE_S, Harm, OutcomeLoad
from benchmarks.record_latency import RecordCost, measure_record_cost

REQUESTS = 2000  # per mix
RATE_HZ = 150.0
SEED = 1
MEASURES = Path("build/measures.json")
KINDS = ("doubled", "false_refusals", "crossed", "lost")


async def run_mix(
    mix: Mix, *, naive: bool, seed: int, requests: int, rate_hz: float
) -> Harm:
    """Run one mix on a fleet of its own."""
    with tempfile.TemporaryDirectory(prefix="teaseldyke-") as name:
        plan = outcome_plan()
        async with running_relayed_fleet(Path(name), plan, naive=naive) as fleet:
            await trio.sleep(SETTLE_S)
            return await OutcomeLoad(fleet, mix, seed, requests, rate_hz).run()


async def _run_all(seed: int, requests: int, names: str) -> None:
    harms: dict[bool, list[Harm]] = {False: [], True: []}
    chosen = [mix for mix in MIXES if not names or mix.name in names.split(",")]
    for mix in chosen:
        for naive in (False, True):
            harm = await run_mix(
                mix, naive=naive, seed=seed, requests=requests, rate_hz=RATE_HZ
            )
            harms[naive].append(harm)
            kind = "naive" if naive else "ours"
            print(f"{mix.name:22} {kind:6} {_format_harm(harm)}", flush=True)
    with tempfile.TemporaryDirectory(prefix="teaseldyke-") as name:
        cost = await measure_record_cost(Path(name))
    print(cost.describe())
    if names or requests < REQUESTS:
        print(f"a part of the mixes or requests: {MEASURES} is left as it was")
        return
    merge_measures(_measures(harms, cost, seed), MEASURES)


def _format_harm(harm: Harm) -> str:
    fields = attrs.asdict(harm)
    return "  ".join(f"{name}={value}" for name, value in fields.items())


def _measures(
    harms: dict[bool, list[Harm]], cost: RecordCost, seed: int
) -> list[dict[str, object]]:
    measures: list[dict[str, object]] = []
    for kind in KINDS:
        value = sum(getattr(harm, kind) for harm in harms[False])
        naive = sum(getattr(harm, kind) for harm in harms[True])
        measures.append(_measure(kind, "requests", 0, value, naive, seed))
    latency = cost.begin_p50_ms
    measures.append(_measure("record_latency_ms", "ms", None, latency, 0, seed))
    writes = cost.rows_per_request
    name = "store_writes_per_request"
    measures.append(_measure(name, "rows", None, writes, 0, seed))
    return measures


def _measure(
    name: str,
    unit: str,
    target: float | None,
    value: float,
    naive: float,
    seed: int,
) -> dict[str, object]:
    return {
        "name": name,
        "unit": unit,
        "target": target,
        "value": round(value, 3),
        "naive": naive,
        "seed": seed,
        "holds": None if target is None else value <= target,
    }


def merge_measures(measures: list[dict[str, object]], path: Path) -> None:
    """Replace measures of the same name in a JSON file and keep the others."""
    path.parent.mkdir(parents=True, exist_ok=True)
    before = json.loads(path.read_text()) if path.exists() else []
    names = {measure["name"] for measure in measures}
    unchanged = [measure for measure in before if measure["name"] not in names]
    path.write_text(json.dumps(unchanged + measures, indent=2) + "\n")


def main(seed: int = SEED, requests: int = REQUESTS, mixes: str = "") -> None:
    """Run all mixes, or those named (separated by commas), and write the measures.

    Measures are written only after a run of all mixes with the full requests.
    """
    trio.run(_run_all, seed, requests, mixes)


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
