"""Measures how soon an accepted change is in force on every router of a fleet."""

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

LOOK_INTERVAL_S = 0.01  # between two looks at one router
IN_FORCE_LIMIT_S = 30.0
RECOVER_S = 1.5  # after an outage of the store
READS_S = 10.0
VERSION_METRIC = "teaseldyke_configuration_version"
READS_METRIC = 'teaseldyke_configuration_events_total{event="store_reads"}'


@attrs.define
class FleetFigures:
    """What a fleet showed.

    Parameters
    ----------
    in_force_s : list of float
        Time from the accepted answer until one router had the change.
    outage_in_force_s : list of float
        The same, the store being down from the accepted answer on.
    store_reads_per_s : float
        Reads of the head row by all routers.
    """

    in_force_s: list[float] = attrs.field(factory=list)
    outage_in_force_s: list[float] = attrs.field(factory=list)
    store_reads_per_s: float = 0.0


@attrs.define
class FleetMeasurement:
    """Switches a failure domain out and in through random routers.

    Parameters
    ----------
    fleet : Fleet
        Running fleet.
    seed : int
        Decides which router is asked.
    """

    fleet: Fleet
    seed: int
    figures: FleetFigures = attrs.field(factory=FleetFigures)
    client: HttpClient = attrs.field(factory=lambda: HttpClient(10.0))

    async def run(self, changes: int) -> FleetFigures:
        """Make half of the changes with the store up and half with it going down."""
        random = Random(self.seed)
        for i in range(changes):
            router = random.choice(self.fleet.routers)
            outage = i % 2 == 1
            version = await self._switch(router, f"change-{i}", out=i % 4 < 2)
            accepted_at_s = time.perf_counter()
            if outage:
                await self.fleet.set_faults(down=True)
            times_s = await self._in_force(version, accepted_at_s)
            if outage:
                self.figures.outage_in_force_s.extend(times_s)
                await self.fleet.set_faults()
                await trio.sleep(RECOVER_S)
                continue
            self.figures.in_force_s.extend(times_s)
        self.figures.store_reads_per_s = await self._reads_per_s()
        return self.figures

    async def _switch(self, router: FleetProcess, change_id: str, *, out: bool) -> int:
        address = _administration(router)
        body = {
            "change_id": change_id,
            "kind": "failure-domain",
            "name": self.fleet.plan.failure_domains[0],
            "out": out,
        }
        answer = await self.client.request(
            "POST",
            address.host,
            address.port,
            "/v1/switches",
            headers=[("authorization", f"Bearer {OPERATOR_TOKEN}")],
            body=json.dumps(body).encode(),
        )
        assert answer.status == 200, answer
        return int(answer.json()["version"])

    async def _in_force(self, version: int, accepted_at_s: float) -> list[float]:
        times_s: list[float] = []
        with trio.fail_after(IN_FORCE_LIMIT_S):
            async with trio.open_nursery() as nursery:
                for router in self.fleet.routers:
                    nursery.start_soon(
                        self._watch, router, version, accepted_at_s, times_s
                    )
        return times_s

    async def _watch(
        self,
        router: FleetProcess,
        version: int,
        accepted_at_s: float,
        times_s: list[float],
    ) -> None:
        while await self._metric(router, VERSION_METRIC) < version:
            await trio.sleep(LOOK_INTERVAL_S)
        times_s.append(time.perf_counter() - accepted_at_s)

    async def _reads_per_s(self) -> float:
        before = await self._total_reads()
        started_at_s = time.perf_counter()
        await trio.sleep(READS_S)
        after = await self._total_reads()
        return (after - before) / (time.perf_counter() - started_at_s)

    async def _total_reads(self) -> float:
        total = 0.0
        for router in self.fleet.routers:
            total += await self._metric(router, READS_METRIC)
        return total

    async def _metric(self, router: FleetProcess, name: str) -> float:
        address = _administration(router)
        try:
            answer = await self.client.request(
                "GET", address.host, address.port, "/metrics"
            )
        except TeaseldykeError:
            return -1.0
        for line in answer.body.decode().splitlines():
            if line.startswith(f"{name} "):
                return float(line.rpartition(" ")[2])
        return -1.0


def _administration(router: FleetProcess) -> Address:
    assert router.administration is not None
    return router.administration
