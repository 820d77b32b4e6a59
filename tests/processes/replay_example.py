"""Replays an example trace against a fleet of the deployment's size.

Run ``python -m tests.processes.replay_example forth-valley`` or ``khurdan``.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import fire
import trio

from teaseldyke.configuration import read_sheet
from teaseldyke.replay import (
    Expectations,
    Replayer,
    ReplayResult,
    SwitchClient,
    count_harms,
    read_executions,
    read_trace,
)
from teaseldyke.settings import load_settings

from .fleet import OPERATOR_TOKEN, FleetPlan, running_fleet

EXAMPLES = Path(__file__).parents[2] / "examples"
ROUTERS = 6


async def replay_example(deployment: str, directory: Path) -> bool:
    """Replay a trace, print each bound and return whether all of them hold."""
    traces = EXAMPLES / "traces"
    entries = read_trace(traces / f"{deployment}.jsonl")
    expected = load_settings(traces / f"{deployment}-outcomes.yaml", Expectations)
    plan = FleetPlan(routers=ROUTERS, example=read_sheet(EXAMPLES / deployment))
    async with running_fleet(directory, plan) as fleet:
        administrations = [r.administration for r in fleet.routers if r.administration]
        replayer = Replayer(
            [router.address for router in fleet.routers],
            fleet.keys,
            SwitchClient(administrations, OPERATOR_TOKEN),
            progress=True,
        )
        results = await replayer.run(entries)
        servers = [server.address for server in fleet.backend_servers]
        executions = await read_executions(servers)
        ended = [
            p.name for p in fleet.processes.values() if p.process.poll() is not None
        ]
    replayed = ReplayResult(results, count_harms(results, executions))
    checked = [bound.check(replayed) for bound in expected.bounds]
    for result in checked:
        print(result.describe())
    print(
        f"{'BROKEN ' if ended else 'holds  '} processes that ended: {ended or 'none'}"
    )
    return not ended and all(result.holds for result in checked)


def main(deployment: str) -> None:
    """Run the command line; the exit status is 1 when a bound does not hold."""
    with tempfile.TemporaryDirectory() as directory:
        passed = trio.run(replay_example, deployment, Path(directory))
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    fire.Fire(main)
