"""Command ``teaseldyke-replay``."""

from __future__ import annotations

import sys
from pathlib import Path

import attrs
import fire
import msgspec
import trio
import yaml

from teaseldyke.configuration import read_sheet
from teaseldyke.patterns import PATTERNS, FleetSpec, ModelFleet
from teaseldyke.settings import Address, load_settings
from teaseldyke.types import SettingsError, TeaseldykeError

from .bounds import BoundResult, Expectations
from .deployments import DEPLOYMENTS
from .executions import count_harms, read_executions
from .measures import ReplayResult
from .replayer import Replayer
from .switching import SwitchClient
from .trace import Entry, read_trace, write_trace

EXIT_OK = 0
EXIT_BOUND_BROKEN = 1
EXIT_BAD_INPUT = 2


class Replay:
    """Replays request traces against running routers.

    Exit codes: 0 if every bound holds, 1 if one does not, 2 if the trace, the outcomes
    file or an argument is invalid.
    """

    def run(
        self,
        trace: str,
        *,
        expect: str,
        routers: str,
        keys: str,
        backend_servers: str = "",
        administration: str = "",
        token_file: str = "",
        speed: float = 1.0,
        retries: int = 0,
        report: str = "",
    ) -> None:
        """Replay a trace and check the results against expected outcomes.

        Parameters
        ----------
        trace : str
            Trace file, JSON lines.
        expect : str
            Outcomes file, YAML with a list ``bounds``.
        routers : str
            Addresses at which the routers serve callers, ``host:port,host:port``.
        keys : str
            YAML file with the API key of each organisation.
        backend_servers : str
            Addresses of the stand-ins whose executions are counted.
        administration : str
            Administration addresses of the routers; required if the trace contains
            switch orders.
        token_file : str
            File with an operator's token; required likewise.
        speed : float
            Replay speed, as a multiple of real time.
        retries : int
            Number of retries of a request without success.
        report : str
            File to which the figures are written as JSON.
        """
        try:
            entries = read_trace(trace)
            expectations = load_settings(expect, Expectations)
            switch_client = _switch_client(administration, token_file)
            replayer = Replayer(
                _addresses(routers),
                _read_keys(keys),
                switch_client,
                speed=float(speed),
                retries=int(retries),
                progress=True,
            )
            servers = _addresses(backend_servers)
        except (TeaseldykeError, ValueError, OSError) as exc:
            print(exc, file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT) from exc
        replay = trio.run(_replay, replayer, entries, servers)
        results = [bound.check(replay) for bound in expectations.bounds]
        for result in results:
            print(result.describe())
        if report:
            _write_report(report, results)
        held = all(result.holds for result in results)
        raise SystemExit(EXIT_OK if held else EXIT_BOUND_BROKEN)

    def write(
        self,
        deployment: str,
        *,
        sheet: str,
        to: str,
        seed: int = 1,
        duration_s: float = 60.0,
        routers: int = 3,
    ) -> None:
        """Write the example trace of a deployment.

        Parameters
        ----------
        deployment : str
            ``forth-valley`` or ``khurdan``.
        sheet : str
            Sheet with the organisations and services of the trace.
        to : str
            Trace file to write.
        seed : int
            Seed of all random draws.
        duration_s : float
            Length of the trace.
        routers : int
            Number of routers among which the arrivals are distributed.
        """
        writer = DEPLOYMENTS.get(deployment)
        if writer is None:
            known = ", ".join(sorted(DEPLOYMENTS))
            print(f"unknown deployment {deployment!r}; known: {known}", file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT)
        try:
            found = read_sheet(sheet)
        except TeaseldykeError as exc:
            print(exc, file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT) from exc
        entries = writer(found, seed=seed, duration_s=duration_s, routers=routers)
        write_trace(to, entries)
        print(f"{len(entries)} entries written to {to}")

    def pattern(
        self,
        name: str,
        *,
        seed: int = 1,
        instances: int = 6,
        engines: int = 6,
        totals_delay_s: float = 0.1,
        baseline: bool = False,
        plot: str = "",
    ) -> None:
        """Simulate a load pattern against the placement code, with model engines.

        Parameters
        ----------
        name : str
            Name of the pattern; an unknown name lists the known ones.
        seed : int
            Seed of all random draws.
        instances, engines : int
            Number of each in the simulated fleet.
        totals_delay_s : float
            Delay until the totals of an instance reach the other instances.
        baseline : bool
            Whether placement ignores the fair shares of the organisations.
        plot : str
            Image file for a plot of the worth by second, kind and organisation.
        """
        found = PATTERNS.get(name)
        if found is None:
            known = ", ".join(PATTERNS)
            print(f"unknown pattern {name!r}; known: {known}", file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT)
        spec = FleetSpec(
            instances=int(instances),
            engines=int(engines),
            totals_delay_s=float(totals_delay_s),
            uses_fair_shares=not baseline,
        )
        outcome = ModelFleet(spec, found, int(seed)).play()
        print(outcome.table())
        if plot:
            outcome.plot(Path(plot))


async def _replay(
    replayer: Replayer, entries: list[Entry], servers: list[Address]
) -> ReplayResult:
    results = await replayer.run(entries)
    if not servers:
        return ReplayResult(results)
    executions = await read_executions(servers)
    return ReplayResult(results, count_harms(results, executions))


def _addresses(text: str) -> list[Address]:
    return [Address.parse(item) for item in str(text).split(",") if item]


def _switch_client(administration: str, token_file: str) -> SwitchClient | None:
    if not administration:
        return None
    token = Path(token_file).read_text(encoding="utf-8").strip()
    return SwitchClient(_addresses(administration), token)


def _read_keys(path: str) -> dict[str, str]:
    value = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    if not isinstance(value, dict):
        raise SettingsError(f"{path}: expected a mapping of organisations to API keys")
    return {str(name): str(key) for name, key in value.items()}


def _write_report(path: str, results: list[BoundResult]) -> None:
    lines = [attrs.asdict(result) for result in results]
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(lines)))


def main() -> None:
    """Run the command line."""
    fire.Fire(Replay, name="teaseldyke-replay")
