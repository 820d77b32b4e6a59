"""Starts a small fleet as real processes, loads it and prints the service received.

Run by ``make demo``. One organisation floods one router with twice the capacity of the
engines; the others together request half of that capacity. All of them also call
the plain services, to issue grants and to look things up.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import attrs
import trio

from benchmarks.demo_outcomes import SlotUsage, check_outcomes, print_table
from teaseldyke.configuration import read_sheet
from teaseldyke.replay import (
    Replayer,
    ReplayResult,
    count_harms,
    read_executions,
    write_book_closing,
)
from teaseldyke.types import RequestRule, Service
from tests.processes.fleet import Fleet, FleetPlan, running_fleet

SHEET = Path("examples/khurdan")
DURATION_S = 20.0
FLOOD_FROM_S = 0.3 * DURATION_S
FLOOD_TO_S = 0.8 * DURATION_S
SETTLE_S = 4.0  # routers join, then hold back their share for the list's lag
POLL_S = 0.2
SEED = 1
ROUTERS = 3

ENGINES = Service(
    "language-model",
    "engine",
    limit=8,
    cold_limit=2,
    queue_timeout_s=10.0,
    rules=(RequestRule("POST", "/v1/chat/completions", True),),
)
PLAIN = Service(
    "licensing",
    "plain",
    limit=8,
    cold_limit=4,
    rules=(RequestRule("GET", "/", True),),
)


def plan() -> FleetPlan:
    """Return three routers, three engines and two plain services in three domains."""
    sheet = read_sheet(SHEET)
    shares = {o.name: o.share for o in sheet.organisations.values()}
    return FleetPlan(
        routers=ROUTERS,
        engines=3,
        services=2,
        shares=shares,
        engine_service=ENGINES,
        plain_service=PLAIN,
        engine={"limit": ENGINES.limit, "cold_limit": ENGINES.cold_limit},
        service={"limit": PLAIN.limit, "cold_limit": PLAIN.cold_limit},
    )


async def watch_engines(fleet: Fleet, usage: SlotUsage) -> None:
    """Sample the busy slots of the engines until cancelled."""
    started_at_s = trio.current_time()
    while True:
        running = 0
        for engine in fleet.engines:
            running += (await fleet.call(engine, "GET", "/load"))["running"]
        usage.sample(trio.current_time() - started_at_s, running)
        await trio.sleep(POLL_S)


async def run(directory: Path) -> int:
    """Run the demonstration and return the exit code."""
    print("starting 9 processes ...", file=sys.stderr)
    async with running_fleet(directory, plan()) as fleet:
        await trio.sleep(SETTLE_S)
        entries = write_book_closing(
            fleet.sheet(), seed=SEED, duration_s=DURATION_S, routers=ROUTERS
        )
        entries.sort(key=lambda entry: entry.at_s)
        addresses = [router.address for router in fleet.routers]
        replayer = Replayer(addresses, fleet.keys, progress=True)
        usage = SlotUsage(slots=ENGINES.limit * len(fleet.engines))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_engines, fleet, usage)
            results = await replayer.run(entries)
            nursery.cancel_scope.cancel()
        servers = [process.address for process in fleet.backend_servers]
        harms = count_harms(results, await read_executions(servers))
        replayed = ReplayResult(results, harms)
    window = attrs.evolve(usage, samples=usage.between(FLOOD_FROM_S + 2, FLOOD_TO_S))
    print_table(replayed, plan().shares)
    outcomes = check_outcomes(replayed, window)
    for outcome in outcomes:
        print(outcome.describe())
    return 0 if all(outcome.holds for outcome in outcomes) else 1


def main() -> int:
    """Run the demonstration in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="teaseldyke-") as name:
        return trio.run(run, Path(name))


if __name__ == "__main__":
    sys.exit(main())
