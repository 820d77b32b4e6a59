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

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_INPUT = 2


class Replay:
    """Replays recorded traces against running routers.

    Exit codes: 0 when every bound holds, 1 when one does not, 2 when the trace, the
    outcomes file or an argument is not readable.
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
        """Replay a trace and hold it against stated outcomes.

        Parameters
        ----------
        trace : str
            Trace file, JSON lines.
        expect : str
            Outcomes file, YAML with a list ``bounds``.
        routers : str
            Callers' addresses of the routers, ``host:port,host:port``.
        keys : str
            YAML file with the key of each organisation.
        backend_servers : str
            Addresses of stand-ins whose executions are counted.
        administration : str
            Administration addresses, needed when the trace switches anything.
        token_file : str
            File with an operator's token, likewise.
        speed : float
            Seconds of the trace that pass in one second.
        retries : int
            Further attempts of a caller without success.
        report : str
            File to write the figures to, JSON.
        """
        try:
            entries = read_trace(trace)
            expectations = load_settings(expect, Expectations)
            switch_client = _switchboard(administration, token_file)
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
            raise SystemExit(EXIT_INPUT) from exc
        replayed = trio.run(_replay, replayer, entries, servers)
        results = [bound.check(replayed) for bound in expectations.bounds]
        for result in results:
            print(result.describe())
        if report:
            _write_report(report, results)
        held = all(result.holds for result in results)
        raise SystemExit(EXIT_HELD if held else EXIT_BROKEN)

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
            Sheet whose organisations and services appear in the trace.
        to : str
            Trace file to write.
        seed : int
            Seed of every draw.
        duration_s : float
            Length of the trace.
        routers : int
            Routers that the arrivals are spread over.
        """
        writer = DEPLOYMENTS.get(deployment)
        if writer is None:
            known = ", ".join(sorted(DEPLOYMENTS))
            print(f"deployment {deployment!r}; known: {known}", file=sys.stderr)
            raise SystemExit(EXIT_INPUT)
        try:
            found = read_sheet(sheet)
        except TeaseldykeError as exc:
            print(exc, file=sys.stderr)
            raise SystemExit(EXIT_INPUT) from exc
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
        """Play a load pattern against the decisions, on a model of the engines.

        Parameters
        ----------
        name : str
            One of the patterns; an unknown name prints them.
        seed : int
            Seed of every draw.
        instances, engines : int
            Size of the fleet.
        totals_delay_s : float
            Until an instance knows what the others have at the engines.
        baseline : bool
            Whether decisions don't know which organisation got too little.
        plot : str
            Picture to write, worth by second for each kind and organisation.
        """
        found = PATTERNS.get(name)
        if found is None:
            known = ", ".join(PATTERNS)
            print(f"pattern {name!r}; known: {known}", file=sys.stderr)
            raise SystemExit(EXIT_INPUT)
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
    return [Address.parse(part) for part in str(text).split(",") if part]


def _switchboard(administration: str, token_file: str) -> SwitchClient | None:
    if not administration:
        return None
    token = Path(token_file).read_text(encoding="utf-8").strip()
    return SwitchClient(_addresses(administration), token)


def _read_keys(path: str) -> dict[str, str]:
    value = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    if not isinstance(value, dict):
        raise SettingsError(f"{path}: expected a mapping of organisations to keys")
    return {str(name): str(key) for name, key in value.items()}


def _write_report(path: str, results: list[BoundResult]) -> None:
    lines = [attrs.asdict(result) for result in results]
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(lines)))


def main() -> None:
    """Run the command line."""
    fire.Fire(Replay, name="teaseldyke-replay")
