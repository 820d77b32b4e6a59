"""Roll-outs of a software version, ordered in the store."""

from __future__ import annotations

import base64
import json
from collections.abc import AsyncIterator
from typing import Any

import attrs
import pytest
import trio

from tests.platform.conftest import BOUNDS, Fleet, running_fleet, wait_until
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    answer_with,
    complete_answer,
)

EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 20.0
DURATION_S = 6.0
ROLLOUT_BOUNDS = attrs.evolve(
    BOUNDS, exposure_share=EXPOSURE_SHARE, exposure_slack=EXPOSURE_SLACK
)


async def fail(
    _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> None:
    await stream.send_all(complete_answer(arrival, b"", 500))


def state_of(fleet: Fleet) -> Any:
    row = fleet.store.rows.get(("status", "rollout/app"))
    return None if row is None else json.loads(base64.b64decode(row["value"]))


def order(fleet: Fleet, version: str = "v2") -> None:
    value = {"service": "app", "to": version, "durationS": DURATION_S}
    fleet.store.put("op", "rollout/app", value)


def sent_to(fleet: Fleet, name: str) -> int:
    return len(fleet.engines[name].arrivals)


async def add_new_engine(fleet: Fleet, name: str, script: Any) -> None:
    engine = fleet.engines[name] = EngineStandin(name, [script] * 10_000)
    await fleet.nursery.start(engine.run)
    fleet.store.put("servers", name, engine.entry("app", version="v2"))


async def load(fleet: Fleet, until: Any) -> list[int]:
    """Send requests to all gateways in turn until a condition holds."""
    statuses: list[int] = []

    async def run_caller(number: int) -> None:
        gateway = fleet.gateways[number % len(fleet.gateways)]
        while not until():
            caller = fleet.caller(gateway)  # an answer may end its connection
            answer = await caller.request("/safe/a", request_id=f"r-{len(statuses)}")
            await caller.close()
            statuses.append(answer.status)
            await trio.sleep(0.02)

    with trio.fail_after(4 * DURATION_S):
        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(run_caller, number)
    return statuses


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running_fleet(engines=2, bounds=ROLLOUT_BOUNDS) as running:
        await running.add_gateway("g-2", bounds=ROLLOUT_BOUNDS)
        for gateway in running.gateways:
            await wait_until(
                lambda gateway=gateway: (
                    gateway.is_ready
                    and len(gateway.view.states_of("app")) == 2
                    and gateway.totals.instances == 2
                )
            )
        yield running


async def test_sound_version_gets_all_traffic_before_the_old_one_ends(
    fleet: Fleet,
) -> None:
    order(fleet)
    for name in ("n-0", "n-1"):
        await add_new_engine(fleet, name, answer_with(200, body=b"new"))
    await load(fleet, lambda: (state_of(fleet) or {}).get("state") == "completed")
    assert state_of(fleet) == {"state": "completed", "to": "v2"}
    before = sent_to(fleet, "e-0") + sent_to(fleet, "e-1")
    for gateway in fleet.gateways:
        assert (await fleet.caller(gateway).request("/safe/a")).body == b"new"
    assert sent_to(fleet, "e-0") + sent_to(fleet, "e-1") == before


async def test_bad_version_is_rolled_back_and_gets_nothing_more(fleet: Fleet) -> None:
    order(fleet)
    await add_new_engine(fleet, "n-0", fail)
    statuses = await load(
        fleet, lambda: (state_of(fleet) or {}).get("state") == "rolled_back"
    )
    exposed = sent_to(fleet, "n-0")
    assert exposed <= EXPOSURE_SHARE * len(statuses) + EXPOSURE_SLACK
    await trio.sleep(0.3)  # all instances know
    exposed = sent_to(fleet, "n-0")
    for i in range(40):
        gateway = fleet.gateways[i % 2]
        assert (await fleet.caller(gateway).request("/safe/a")).status == 200
    assert sent_to(fleet, "n-0") == exposed


async def test_instance_that_starts_later_adopts_the_end_from_the_store(
    fleet: Fleet,
) -> None:
    """It sent to the bad version again, as it knew nothing of the verdict."""
    order(fleet)
    fleet.store.put("status", "rollout/app", {"state": "rolled_back", "to": "v2"})
    await add_new_engine(fleet, "n-0", fail)
    for gateway in list(fleet.gateways):
        fleet.kill_gateway(gateway)
    late = await fleet.add_gateway("late", bounds=ROLLOUT_BOUNDS)
    await wait_until(lambda: late.is_ready and len(late.view.states_of("app")) == 3)
    for _ in range(60):
        assert (await fleet.caller(late).request("/safe/a")).status == 200
    assert sent_to(fleet, "n-0") == 0
    assert state_of(fleet) == {"state": "rolled_back", "to": "v2"}


async def test_version_without_servers_is_rolled_back_at_the_deadline(
    fleet: Fleet,
) -> None:
    order(fleet, "v9")
    await load(fleet, lambda: (state_of(fleet) or {}).get("state") == "rolled_back")


async def test_nothing_is_written_or_told_without_a_rollout(fleet: Fleet) -> None:
    for gateway in fleet.gateways:
        assert gateway.rollouts.sums() == {}
    assert ("status", "rollout/app") not in fleet.store.rows
    assert not [call for call in fleet.store.calls if "table=status" in call]
