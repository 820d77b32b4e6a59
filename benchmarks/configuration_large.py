"""Measures by how much real routers are held up when a large sheet is applied."""

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
BEAT_S = 0.002
SETTLE_S = 1.0
APPLY_LIMIT_S = 60.0
HEADERS = [("authorization", f"Bearer {OPERATOR_TOKEN}")]


@attrs.define
class LargeSheetMeasurement:
    """Applies two whole sheets while each router is asked for its health.

    Parameters
    ----------
    fleet : Fleet
        Running fleet whose sheet is at version 1.
    delays_ms : list of float
        Time that each answer took beyond the usual.
    in_force_s : list of float
        Time from the request to apply until every router had the sheet.
    """

    fleet: Fleet
    delays_ms: list[float] = attrs.field(factory=list)
    in_force_s: list[float] = attrs.field(factory=list)
    client: HttpClient = attrs.field(factory=lambda: HttpClient(APPLY_LIMIT_S))

    async def run(self) -> None:
        """Measure."""
        sheet = large_sheet(engines=ENGINES)
        doubled = {
            name: attrs.evolve(organisation, share=2 * organisation.share)
            for name, organisation in sheet.organisations.items()
        }
        changed = attrs.evolve(sheet, organisations=doubled)
        bodies = [_body(version, part) for version, part in enumerate((sheet, changed))]
        async with trio.open_nursery() as nursery:
            for router in self.fleet.routers:
                nursery.start_soon(self._beat, router)
            await trio.sleep(SETTLE_S)
            usual_ms = statistics.median(self.delays_ms)
            self.delays_ms.clear()
            for version, body in enumerate(bodies, start=2):
                await self._apply(version, body)
                await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        self.delays_ms = [delay_ms - usual_ms for delay_ms in self.delays_ms]

    async def _apply(self, version: int, body: bytes) -> None:
        started_at_s = time.perf_counter()
        address = _administration(self.fleet.routers[0])
        answer = await self.client.request(
            "PUT", address.host, address.port, "/v1/sheet", headers=HEADERS, body=body
        )
        assert answer.status == 200, answer
        with trio.fail_after(APPLY_LIMIT_S):
            while not await self._is_in_force(version):
                await trio.sleep(0.05)
        self.in_force_s.append(time.perf_counter() - started_at_s)

    async def _is_in_force(self, version: int) -> bool:
        address = _administration(self.fleet.routers[0])
        answer = await self.client.request(
            "GET", address.host, address.port, "/v1/versions", headers=HEADERS
        )
        return all(entry["version"] == version for entry in answer.json())

    async def _beat(self, router: FleetProcess) -> None:
        address = _administration(router)
        client = HttpClient(APPLY_LIMIT_S)
        while True:
            started_at_s = time.perf_counter()
            await client.request("GET", address.host, address.port, "/healthz")
            self.delays_ms.append(1000 * (time.perf_counter() - started_at_s))
            await trio.sleep(BEAT_S)


def _body(version: int, sheet: Sheet) -> bytes:
    body = {"change_id": f"whole-{version}", "base_version": version + 1}
    return msgspec.json.encode({**body, "sheet": sheet})


def _administration(router: FleetProcess) -> Address:
    assert router.administration is not None
    return router.administration
