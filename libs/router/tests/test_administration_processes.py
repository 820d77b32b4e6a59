"""Concurrent operators change switches while routers, store and responses fail."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path
from random import Random

import attrs
import pytest
import trio

from teaseldyke.configuration import ChangeRecord
from teaseldyke.http import HttpClient, Response
from teaseldyke.types import TeaseldykeError
from tests.processes.fleet import (
    OPERATOR_TOKEN,
    Fleet,
    FleetPlan,
    FleetProcess,
    running_fleet,
)

OPERATORS = 3
CHANGES = 6
SEED = 5
LIMIT_S = 60.0
VERSION_METRIC = "teaseldyke_configuration_version "
HEADERS = [("authorization", f"Bearer {OPERATOR_TOKEN}")]


@attrs.define
class SwitchRequest:
    """A switch change requested by an operator.

    Attributes
    ----------
    version : int
        Version that accepted the change; 0 if it was refused.
    """

    change_id: str
    out: bool
    version: int = 0


@attrs.define
class Race:
    """Concurrent operators and injected faults on one fleet."""

    fleet: Fleet
    requests: list[SwitchRequest] = attrs.field(factory=list)
    versions_seen: dict[int, list[int]] = attrs.field(factory=dict)
    client: HttpClient = attrs.field(factory=lambda: HttpClient(3.0))
    random: Random = attrs.field(factory=lambda: Random(SEED))

    async def run_operator(self, operator: int) -> None:
        for i in range(CHANGES):
            await trio.sleep(self.random.uniform(0.1, 0.6))
            switch = SwitchRequest(f"{operator}-{i}", self.random.random() < 0.5)
            self.requests.append(switch)
            await self._send_until_decided(switch)

    async def _send_until_decided(self, switch: SwitchRequest) -> None:
        """Retry through random routers until the change is accepted or refused."""
        body = (
            f'{{"change_id": "{switch.change_id}", "kind": "failure-domain",'
            f' "name": "north", "out": {str(switch.out).lower()}}}'
        ).encode()
        may_be_accepted = False
        while True:
            router = self.random.choice(self.fleet.routers)
            answer = await self._request(router, "POST", "/v1/switches", body)
            if answer is None:
                may_be_accepted = True
            elif answer.status == 200:
                switch.version = int(answer.json()["version"])
                return
            elif answer.json()["executed"] == "unknown":
                may_be_accepted = True
            elif not may_be_accepted:
                return
            await trio.sleep(0.2)

    async def inject_faults(self) -> None:
        routers = self.fleet.routers
        await self.fleet.set_faults(lose_answers=0.4)
        await trio.sleep(1.0)
        routers[0].kill()
        await trio.sleep(0.3)
        await self.fleet.restart(routers[0])
        await self.fleet.set_faults(down=True)
        await trio.sleep(1.5)
        await self.fleet.set_faults(lose_answers=0.4)
        routers[1].freeze()
        await trio.sleep(1.5)
        routers[1].unfreeze()
        await self.fleet.set_faults()

    async def watch_versions(self) -> None:
        while True:
            for router in self.fleet.routers:
                version = await self._version(router)
                if version is not None:
                    self.versions_seen.setdefault(router.process.pid, []).append(
                        version
                    )
            await trio.sleep(0.02)

    async def history(self) -> list[ChangeRecord]:
        answer = await self._request(self.fleet.routers[2], "GET", "/v1/history")
        assert answer is not None
        names = [field.name for field in attrs.fields(ChangeRecord)]
        return [
            ChangeRecord(*(entry[name] for name in names)) for entry in answer.json()
        ]

    async def wait_until_in_force(self, version: int) -> None:
        with trio.fail_after(5):
            for router in self.fleet.routers:
                while await self._version(router) != version:
                    await trio.sleep(0.05)

    async def _version(self, router: FleetProcess) -> int | None:
        answer = await self._request(router, "GET", "/metrics")
        if answer is None:
            return None
        for line in answer.body.decode().splitlines():
            if line.startswith(VERSION_METRIC):
                return int(float(line.removeprefix(VERSION_METRIC)))
        return None

    async def _request(
        self, router: FleetProcess, method: str, path: str, body: bytes = b""
    ) -> Response | None:
        address = router.administration
        assert address is not None
        try:
            return await self.client.request(
                method, address.host, address.port, path, headers=HEADERS, body=body
            )
        except TeaseldykeError:
            return None


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    plan = FleetPlan(routers=3, engines=1, services=1)
    async with running_fleet(tmp_path, plan) as fleet:
        yield fleet


@pytest.mark.processes
@pytest.mark.promise("configuration")
async def test_accepted_changes_persist_and_versions_never_decrease(
    fleet: Fleet,
) -> None:
    race = Race(fleet)
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as watching:
            watching.start_soon(race.watch_versions)
            async with trio.open_nursery() as nursery:
                for operator in range(OPERATORS):
                    nursery.start_soon(race.run_operator, operator)
                nursery.start_soon(race.inject_faults)
            records = await race.history()
            await race.wait_until_in_force(records[-1].version)
            watching.cancel_scope.cancel()
    assert [record.version for record in records] == list(range(1, len(records) + 1))
    versions = {record.change_id: record.version for record in records}
    for switch in race.requests:
        assert versions.get(switch.change_id, 0) == switch.version, switch
    assert sum(switch.version > 0 for switch in race.requests) > OPERATORS
    for versions_seen in race.versions_seen.values():
        assert versions_seen == sorted(versions_seen)
