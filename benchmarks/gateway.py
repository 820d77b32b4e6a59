"""Measures what a request and an event cost the gateway, with stand-ins around it.

Run by ``python -m benchmarks.gateway`` and as a part of ``benchmarks.path``, beside the
product's own router. Only the gateway's processor time counts; the stand-ins and the
callers share the measuring process.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import trio
import yaml

from benchmarks.measures import Measure, format_table
from benchmarks.processes import cpu_s, resident_bytes
from teaseldyke.settings import Address
from teaseldyke.telemetry import configure_decision_log, log_decision
from tests.platform.conftest import (
    BOUNDS,
    Caller,
    configuration,
    free_address,
    wait_until_listening,
)
from tests.platform.standins import EngineStandin, StoreStandin, stream_of

CALLERS = 8
PLAIN_REQUESTS = 4000
STREAMS = 40
STREAM_EVENTS = 250
WARM_REQUESTS = 400
CONFIGURED_S = 1.5  # from the open port to a configuration and known servers
LOG_LINES = 20_000
LINES_PER_S = 1e6  # so that none is left out of the measured run
MIB = 1024 * 1024
REQUEST_TARGET_US = 700.0
EVENT_TARGET_US = 40.0
MEMORY_TARGET_MB = 60.0


@attrs.frozen
class Running:
    """A gateway process between stand-ins."""

    process: subprocess.Popen[bytes]
    callers: Address
    engine: EngineStandin
    log: Path

    @property
    def cpu_s(self) -> float:
        """Processor time that the gateway has used."""
        return cpu_s(self.process.pid)


@asynccontextmanager
async def running_gateway(directory: Path) -> AsyncIterator[Running]:
    """Start a store, an engine and a gateway; end them with the block."""
    store, engine = StoreStandin(), EngineStandin("e-0")
    async with trio.open_nursery() as nursery:
        await nursery.start(store.run)
        await nursery.start(engine.run)
        store.put("op", "config", configuration())
        store.put("servers", "e-0", engine.entry("app", slots=CALLERS + STREAMS))
        callers = free_address()
        settings = {
            "name": "g-1",
            "failure_domain": "zone-a",
            "callers": str(callers),
            "readiness": str(free_address()),
            "exchange": str(free_address()),
            "metrics": str(free_address()),
            "platform": f"127.0.0.1:{store.port}",
            "bounds": attrs.asdict(BOUNDS),
            "log_lines_per_s": LINES_PER_S,
        }
        path = directory / "gateway.yaml"
        path.write_text(yaml.safe_dump(settings))
        log = directory / "gateway.log"
        command = [sys.executable, "-m", "teaseldyke.adapter.main", str(path)]
        with log.open("wb") as output:
            process = subprocess.Popen(command, stdout=output)
        try:
            await wait_until_listening(callers)
            await trio.sleep(CONFIGURED_S)
            yield Running(process, callers, engine, log)
        finally:
            process.kill()
            process.wait()
            nursery.cancel_scope.cancel()


async def send(running: Running, target: str, requests: int, callers: int) -> None:
    """Send requests one after the other from each of several callers."""
    numbers = iter(range(requests))

    async def request() -> None:
        caller = Caller(running.callers)
        for number in numbers:
            answer = await caller.request(target, request_id=f"{target}{number}")
            if answer.status != 200 or not answer.complete:
                raise ConnectionError(f"{target} was answered {answer.status}")
        await caller.close()

    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(request)


def line_cost_us() -> float:
    """Return the processor time of one line on a request that is sent."""
    saved = os.dup(sys.stdout.fileno())
    try:
        with open(os.devnull, "wb") as nowhere:
            os.dup2(nowhere.fileno(), sys.stdout.fileno())
        configure_decision_log("g-1", LINES_PER_S)
        before_s = time.process_time()
        for i in range(LOG_LINES):
            log_decision(
                "sent",
                id=f"r-{i}",
                route="safe",
                server="e-0",
                waited_s=0.0001,
                expected_first_s=0.05,
                running=4,
                version=7,
                left_s=2.47,
            )
        return 1e6 * (time.process_time() - before_s) / LOG_LINES
    finally:
        os.dup2(saved, sys.stdout.fileno())
        os.close(saved)


async def measure_gateway() -> list[Measure]:
    """Start a gateway and measure requests, events, memory and log lines."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_gateway(Path(directory)) as running:
            await send(running, "/safe/a", WARM_REQUESTS, CALLERS)
            lines_before = running.log.read_bytes().count(b"\n")
            before_s = running.cpu_s
            await send(running, "/safe/a", PLAIN_REQUESTS, CALLERS)
            request_us = 1e6 * (running.cpu_s - before_s) / PLAIN_REQUESTS
            lines = running.log.read_bytes().count(b"\n") - lines_before
            script = stream_of(1, STREAM_EVENTS)
            running.engine.scripts.extend([script] * STREAMS)
            before_s = running.cpu_s
            await send(running, "/stream/a", STREAMS, CALLERS)
            used_us = 1e6 * (running.cpu_s - before_s) - STREAMS * request_us
            event_us = used_us / (STREAMS * STREAM_EVENTS)
            memory_mb = resident_bytes(running.process.pid) / MIB
    lines_us = line_cost_us() * lines / PLAIN_REQUESTS
    return [
        Measure("gateway_request_cpu", "us", request_us, REQUEST_TARGET_US),
        Measure("gateway_event_cpu", "us", event_us, EVENT_TARGET_US),
        Measure("gateway_resident", "MB", memory_mb, MEMORY_TARGET_MB),
        Measure("gateway_log_share", "% of a request", 100 * lines_us / request_us),
    ]


def main() -> int:
    """Measure and print; return 1 if a target isn't met."""
    measures = trio.run(measure_gateway)
    print(format_table(measures))
    return 1 if any(measure.holds is False for measure in measures) else 0


if __name__ == "__main__":
    sys.exit(main())
