"""Measures how long real routers are blocked while a large sheet is applied."""

from __future__ import annotations

import statistics
import time

import attrs
import msgspec
import trio

from benchmarks.large_sheet import large_sheet
from teaseldyke.configuration import Sheet
from teaseldyke.http import HttpClient
from teaseldyke.settings import Address
from tests.processes.fleet import OPERATOR_TOKEN, Fleet, FleetProcess

ENGINES = 24  # eight for each of three routers
PROBE_INTERVAL_S = 0.002
OBSERVATION_S = 1.0  # without changes, before the first sheet and after each
APPLY_TIMEOUT_S = 60.0
HEADERS = [("authorization", f"Bearer {OPERATOR_TOKEN}")]


@attrs.define
class LargeSheetMeasurement:
    """Applies two large sheets while probing the health of each router.

    Parameters
    ----------
    fleet : Fleet
        Running fleet whose sheet is at version 1.
    delays_ms : list of float
        Response time of each probe minus the median without changes.
    in_force_s : list of float
        Time from the request that applies a sheet until all routers have it in force.
    """

    fleet: Fleet
    delays_ms: list[float] = attrs.field(factory=list)
    in_force_s: list[float] = attrs.field(factory=list)
    client: HttpClient = attrs.field(factory=lambda: HttpClient(APPLY_TIMEOUT_S))

    async def run(self) -> None:
        """Probe the routers and apply the sheets."""
        sheet = large_sheet(engines=ENGINES)
        doubled = {
            name: attrs.evolve(organisation, share=2 * organisation.share)
            for name, organisation in sheet.organisations.items()
        }
        changed = attrs.evolve(sheet, organisations=doubled)
        bodies = [
            _encode_body(version, new_sheet)
            for version, new_sheet in enumerate((sheet, changed))
        ]
        async with trio.open_nursery() as nursery:
            for router in self.fleet.routers:
                nursery.start_soon(self._probe_health, router)
            await trio.sleep(OBSERVATION_S)
            baseline_ms = statistics.median(self.delays_ms)
            self.delays_ms.clear()
            for version, body in enumerate(bodies, start=2):
                await self._apply(version, body)
                await trio.sleep(OBSERVATION_S)
            nursery.cancel_scope.cancel()
        self.delays_ms = [delay_ms - baseline_ms for delay_ms in self.delays_ms]

    async def _apply(self, version: int, body: bytes) -> None:
        started_at_s = time.perf_counter()
        address = _administration_address(self.fleet.routers[0])
        response = await self.client.request(
            "PUT", address.host, address.port, "/v1/sheet", headers=HEADERS, body=body
        )
        assert response.status == 200, response
        with trio.fail_after(APPLY_TIMEOUT_S):
            while not await self._is_in_force(version):
                await trio.sleep(0.05)
        self.in_force_s.append(time.perf_counter() - started_at_s)

    async def _is_in_force(self, version: int) -> bool:
        address = _administration_address(self.fleet.routers[0])
        response = await self.client.request(
            "GET", address.host, address.port, "/v1/versions", headers=HEADERS
        )
        return all(entry["version"] == version for entry in response.json())

    async def _probe_health(self, router: FleetProcess) -> None:
        address = _administration_address(router)
        client = HttpClient(APPLY_TIMEOUT_S)
        while True:
            started_at_s = time.perf_counter()
            await client.request("GET", address.host, address.port, "/healthz")
            self.delays_ms.append(1000 * (time.perf_counter() - started_at_s))
            await trio.sleep(PROBE_INTERVAL_S)


def _encode_body(version: int, sheet: Sheet) -> bytes:
    body = {"change_id": f"whole-{version}", "base_version": version + 1}
    return msgspec.json.encode({**body, "sheet": sheet})


def _administration_address(router: FleetProcess) -> Address:
    assert router.administration is not None
    return router.administration
