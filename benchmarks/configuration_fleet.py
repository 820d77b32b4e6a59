"""Measures the time until an accepted change is in force on each router of a fleet."""

from __future__ import annotations

import json
import time
from random import Random

import attrs
import trio

from teaseldyke.http import HttpClient
from teaseldyke.settings import Address
from teaseldyke.types import TeaseldykeError
from tests.processes.fleet import OPERATOR_TOKEN, Fleet, FleetProcess

POLL_INTERVAL_S = 0.01  # between two reads of a router's version
IN_FORCE_TIMEOUT_S = 30.0
STORE_RECOVERY_S = 1.5  # wait after an outage of the store
READ_RATE_WINDOW_S = 10.0
VERSION_METRIC = "teaseldyke_configuration_version"
READS_METRIC = 'teaseldyke_configuration_events_total{event="store_reads"}'


@attrs.define
class FleetFigures:
    """Measured values of a fleet.

    Parameters
    ----------
    in_force_s : list of float
        Time from the reply that accepts a change until a router has it in force; one
        value for each change and router.
    outage_in_force_s : list of float
        The same for changes where the store is down from the reply on.
    store_reads_per_s : float
        Reads of the store's head row by all routers.
    """

    in_force_s: list[float] = attrs.field(factory=list)
    outage_in_force_s: list[float] = attrs.field(factory=list)
    store_reads_per_s: float = 0.0


@attrs.define
class FleetMeasurement:
    """Takes a failure domain out and back in through random routers.

    Parameters
    ----------
    fleet : Fleet
        Running fleet.
    seed : int
        Seed for the choice of router.
    """

    fleet: Fleet
    seed: int
    figures: FleetFigures = attrs.field(factory=FleetFigures)
    client: HttpClient = attrs.field(factory=lambda: HttpClient(10.0))

    async def run(self, changes: int) -> FleetFigures:
        """Make changes; after every second one stop the store until it is in force."""
        random = Random(self.seed)
        for i in range(changes):
            router = random.choice(self.fleet.routers)
            outage = i % 2 == 1
            version = await self._switch_failure_domain(
                router, f"change-{i}", out=i % 4 < 2
            )
            accepted_at_s = time.perf_counter()
            if outage:
                await self.fleet.set_faults(down=True)
            times_s = await self._times_until_in_force_s(version, accepted_at_s)
            if outage:
                self.figures.outage_in_force_s.extend(times_s)
                await self.fleet.set_faults()
                await trio.sleep(STORE_RECOVERY_S)
                continue
            self.figures.in_force_s.extend(times_s)
        self.figures.store_reads_per_s = await self._reads_per_s()
        return self.figures

    async def _switch_failure_domain(
        self, router: FleetProcess, change_id: str, *, out: bool
    ) -> int:
        address = _administration_address(router)
        body = {
            "change_id": change_id,
            "kind": "failure-domain",
            "name": self.fleet.plan.failure_domains[0],
            "out": out,
        }
        response = await self.client.request(
            "POST",
            address.host,
            address.port,
            "/v1/switches",
            headers=[("authorization", f"Bearer {OPERATOR_TOKEN}")],
            body=json.dumps(body).encode(),
        )
        assert response.status == 200, response
        return int(response.json()["version"])

    async def _times_until_in_force_s(
        self, version: int, accepted_at_s: float
    ) -> list[float]:
        times_s: list[float] = []
        with trio.fail_after(IN_FORCE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for router in self.fleet.routers:
                    nursery.start_soon(
                        self._poll_until_in_force,
                        router,
                        version,
                        accepted_at_s,
                        times_s,
                    )
        return times_s

    async def _poll_until_in_force(
        self,
        router: FleetProcess,
        version: int,
        accepted_at_s: float,
        times_s: list[float],
    ) -> None:
        while await self._read_metric(router, VERSION_METRIC) < version:
            await trio.sleep(POLL_INTERVAL_S)
        times_s.append(time.perf_counter() - accepted_at_s)

    async def _reads_per_s(self) -> float:
        before = await self._total_reads()
        started_at_s = time.perf_counter()
        await trio.sleep(READ_RATE_WINDOW_S)
        after = await self._total_reads()
        return (after - before) / (time.perf_counter() - started_at_s)

    async def _total_reads(self) -> float:
        total = 0.0
        for router in self.fleet.routers:
            total += await self._read_metric(router, READS_METRIC)
        return total

    async def _read_metric(self, router: FleetProcess, name: str) -> float:
        address = _administration_address(router)
        try:
            response = await self.client.request(
                "GET", address.host, address.port, "/metrics"
            )
        except TeaseldykeError:
            return -1.0
        for line in response.body.decode().splitlines():
            if line.startswith(f"{name} "):
                return float(line.rpartition(" ")[2])
        return -1.0


def _administration_address(router: FleetProcess) -> Address:
    assert router.administration is not None
    return router.administration
