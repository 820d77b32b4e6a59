"""Measures the processor time of the gateway per request and per streamed event.

Run by ``python -m benchmarks.gateway`` and, after the measurements of the project's own
router, by ``benchmarks.path``. Requests, events and memory are measured on the gateway
process alone: the stand-ins and callers run in the measuring process, which also
measures the cost of a log line.
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
    wait_until_listening,
)
from tests.platform.standins import EngineStandin, stream_of
from tests.platform.store_standin import StoreStandin
from tests.processes.ports import free_address

CALLERS = 8
PLAIN_REQUESTS = 4000
STREAMS = 40
STREAM_EVENTS = 250
WARMUP_REQUESTS = 400
CONFIGURATION_WAIT_S = (
    1.5  # from the open port until configuration and servers are known
)
LOG_LINES = 20_000
LOG_LINE_LIMIT_PER_S = 1e6  # so high that no line is dropped
MIB = 1024 * 1024
REQUEST_TARGET_US = 700.0
EVENT_TARGET_US = 40.0
MEMORY_TARGET_MB = 60.0


@attrs.frozen
class RunningGateway:
    """A running gateway process, the engine stand-in behind it and its log file."""

    process: subprocess.Popen[bytes]
    address: Address
    engine: EngineStandin
    log: Path

    @property
    def cpu_s(self) -> float:
        """Processor time that the gateway process has used since it started."""
        return cpu_s(self.process.pid)


@asynccontextmanager
async def running_gateway(directory: Path) -> AsyncIterator[RunningGateway]:
    """Run a store, an engine and a gateway for the duration of the context."""
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
            "log_lines_per_s": LOG_LINE_LIMIT_PER_S,
        }
        path = directory / "gateway.yaml"
        path.write_text(yaml.safe_dump(settings))
        log = directory / "gateway.log"
        command = [sys.executable, "-m", "teaseldyke.adapter.main", str(path)]
        with log.open("wb") as output:
            process = subprocess.Popen(command, stdout=output)
        try:
            await wait_until_listening(callers)
            await trio.sleep(CONFIGURATION_WAIT_S)
            yield RunningGateway(process, callers, engine, log)
        finally:
            process.kill()
            process.wait()
            nursery.cancel_scope.cancel()


async def send(
    gateway: RunningGateway, target: str, requests: int, callers: int
) -> None:
    """Send requests from several concurrent callers, each one at a time."""
    numbers = iter(range(requests))

    async def run_caller() -> None:
        caller = Caller(gateway.address)
        for number in numbers:
            answer = await caller.request(target, request_id=f"{target}{number}")
            if answer.status != 200 or not answer.complete:
                raise ConnectionError(
                    f"{target}: expected a complete response with status 200, "
                    f"got status {answer.status}, complete: {answer.complete}"
                )
        await caller.close()

    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(run_caller)


def log_line_cpu_us() -> float:
    """Return the processor time in us of logging one ``sent`` decision."""
    saved_stdout = os.dup(sys.stdout.fileno())
    try:
        with open(os.devnull, "wb") as devnull:
            os.dup2(devnull.fileno(), sys.stdout.fileno())
        configure_decision_log("g-1", LOG_LINE_LIMIT_PER_S)
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
        os.dup2(saved_stdout, sys.stdout.fileno())
        os.close(saved_stdout)


async def measure_gateway() -> list[Measure]:
    """Measure the gateway: cost of requests, events and log lines, and memory."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_gateway(Path(directory)) as gateway:
            await send(gateway, "/safe/a", WARMUP_REQUESTS, CALLERS)
            lines_before = gateway.log.read_bytes().count(b"\n")
            before_s = gateway.cpu_s
            await send(gateway, "/safe/a", PLAIN_REQUESTS, CALLERS)
            request_us = 1e6 * (gateway.cpu_s - before_s) / PLAIN_REQUESTS
            lines = gateway.log.read_bytes().count(b"\n") - lines_before
            script = stream_of(1, STREAM_EVENTS)
            gateway.engine.scripts.extend([script] * STREAMS)
            before_s = gateway.cpu_s
            await send(gateway, "/stream/a", STREAMS, CALLERS)
            used_us = 1e6 * (gateway.cpu_s - before_s) - STREAMS * request_us
            event_us = used_us / (STREAMS * STREAM_EVENTS)
            memory_mb = resident_bytes(gateway.process.pid) / MIB
    logging_us = log_line_cpu_us() * lines / PLAIN_REQUESTS
    return [
        Measure("gateway_request_cpu", "us", request_us, REQUEST_TARGET_US),
        Measure("gateway_event_cpu", "us", event_us, EVENT_TARGET_US),
        Measure("gateway_resident", "MB", memory_mb, MEMORY_TARGET_MB),
        Measure("gateway_log_share", "% of a request", 100 * logging_us / request_us),
    ]


def main() -> int:
    """Measure and print; return 1 if a target is missed."""
    measures = trio.run(measure_gateway)
    print(format_table(measures))
    return 1 if any(measure.holds is False for measure in measures) else 0


if __name__ == "__main__":
    sys.exit(main())
